"""Simulates hedged requests at servers with a slow tail and measures the answers.

Run ``python -m pistachiowell.bench.hedging``; it prints one JSON document. The
decisions are those of the real hedge policies and ``RetryShare``. Seeds are fixed, so
that the figures are the same each time.
"""

import heapq
import json
from itertools import count
from random import Random

from absl import app

from pistachiowell.routing import (
    HEDGE_POLICIES,
    HedgeSettings,
    RetryShare,
    RetryShareSettings,
)

KIND = ("desk", "read")
SERVERS, SLOTS = 8, 4
USUAL_S, SLOW_S, SLOW_SHARE = 0.04, 0.6, 0.03
MEAN_S = (1 - SLOW_SHARE) * USUAL_S + SLOW_SHARE * SLOW_S
DEADLINE_S = 2.0
REQUESTS = 12_000
SEEDS = (1, 2, 3)
LOADS = (0.3, 0.6, 0.9, 1.3)
FIXED_DELAYS_S = (0.03, 0.1, 0.4)
QUANTILES = (0.5, 0.95, 0.99, 0.999)


class HedgeModel:
    """Plays requests with drawn service times.

    A server runs as many requests as it has slots and lets the others wait, first come,
    first served. Each attempt draws its time: few take many times the usual.

    Args:
        policy: Name in ``HEDGE_POLICIES``.
        load: Offered load as a share of the capacity without hedges.
        seed: Seed of all draws.
        **settings: More ``HedgeSettings``.

    Attributes:
        times_s: Seconds to the answer of each request.
        requests: Number of requests so far.
        hedged_at: Number of requests so far at each hedge.
    """

    def __init__(self, policy, load, seed=1, **settings):
        self.rng = Random(seed)
        self.settings = HedgeSettings(policy=policy, **{"share": 0.05, **settings})
        self.policy = HEDGE_POLICIES.find(policy)(self.settings)
        self.retry_share = RetryShare(RetryShareSettings(), lambda: 3)
        self.gap_s = MEAN_S / (load * SERVERS * SLOTS)
        self.times_s, self.requests, self.hedged_at = [], 0, []
        self._events, self._order = [], count()
        self._running = [0] * SERVERS
        self._queues = [[] for _ in range(SERVERS)]

    def run(self, requests):
        """Plays so many requests to their ends."""
        self._later(0.0, self._arrive, requests)
        while self._events:
            now, _, step, args = heapq.heappop(self._events)
            step(now, *args)

    def quantile_s(self, quantile):
        """Returns a quantile of the times to the answer."""
        return sorted(self.times_s)[int(quantile * len(self.times_s))]

    def _later(self, at, step, *args):
        heapq.heappush(self._events, (at, next(self._order), step, args))

    def _arrive(self, now, left):
        if left > 1:
            gap_s = self.rng.expovariate(1 / self.gap_s)
            self._later(now + gap_s, self._arrive, left - 1)
        self.requests += 1
        self.retry_share.record_request(now)
        self.policy.record_request(KIND)
        request = {"at": now, "is_answered": False, "is_slow": False}
        pair = self.rng.sample(range(SERVERS), 2)
        request["server"] = min(pair, key=self._load)
        self._send(now, request, request["server"])
        delay_s = self.policy.delay_s(KIND)
        if delay_s is not None:
            self._later(now + delay_s, self._hedge, request)

    def _load(self, server):
        return self._running[server] + len(self._queues[server])

    def _hedge(self, now, request):
        if request["is_answered"]:
            return
        request["is_slow"] = True
        self.policy.record_slow(KIND)
        left_s = request["at"] + DEADLINE_S - now
        most = self.settings.max_load_per_slot * SLOTS
        others = [
            server
            for server in range(SERVERS)
            if server != request["server"] and self._load(server) < most
        ]
        if not others or self.policy.denial(KIND, left_s, now) is not None:
            return
        if self.policy.try_spend(self.retry_share, now):
            self.hedged_at.append(self.requests)
            self._send(now, request, self.rng.choice(others))

    def _send(self, now, request, server):
        if self._running[server] < SLOTS:
            self._begin(now, request, server)
        else:
            self._queues[server].append(request)

    def _begin(self, now, request, server):
        self._running[server] += 1
        is_slow = self.rng.random() < SLOW_SHARE
        time_s = self.rng.expovariate(1 / (SLOW_S if is_slow else USUAL_S))
        self._later(now + time_s, self._end, request, server)

    def _end(self, now, request, server):
        if not request["is_answered"]:
            request["is_answered"] = True
            time_s = now - request["at"]
            self.times_s.append(time_s)
            self.policy.record_answer(KIND, time_s, now, was_slow=request["is_slow"])
        self._running[server] -= 1
        queue = self._queues[server]
        while queue and self._running[server] < SLOTS:
            waiting = queue.pop(0)
            # The loser of two attempts leaves the queue.
            if not waiting["is_answered"]:
                self._begin(now, waiting, server)


def measure(policy, load, **settings):
    """Returns the means of the figures over all seeds."""
    models = [HedgeModel(policy, load, seed, **settings) for seed in SEEDS]
    for model in models:
        model.run(REQUESTS)
    figures = {
        f"{quantile * 100:g} % in ms": round(
            sum(model.quantile_s(quantile) for model in models) / len(SEEDS) * 1000
        )
        for quantile in QUANTILES
    }
    hedges = sum(len(model.hedged_at) for model in models)
    return {**figures, "hedges in %": round(100 * hedges / REQUESTS / len(SEEDS), 1)}


def main(argv):
    """Simulates all policies and prints their figures as JSON."""
    del argv
    figures = {}
    for load in LOADS:
        figures[f"none, load {load}"] = measure("none", load)
        for delay_s in FIXED_DELAYS_S:
            name = f"fixed_delay {delay_s} s, load {load}"
            figures[name] = measure("fixed_delay", load, fixed_delay_s=delay_s)
        figures[f"quantile, load {load}"] = measure("quantile", load)
    print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    app.run(main)
