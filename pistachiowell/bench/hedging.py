"""Simulates hedged requests at servers with a slow tail and measures the answers.

Run ``python -m pistachiowell.bench.hedging``; it prints one JSON document. The
decisions are those of the real hedge policies and ``RetryShare``. Seeds are fixed, so
that the figures are the same each time.
"""

import heapq
import json
import math
from collections import Counter
from dataclasses import dataclass, replace
from itertools import count
from random import Random

from absl import app

from pistachiowell.gateway.load import REPORT_INTERVAL_S
from pistachiowell.routing import (
    HEDGE_POLICIES,
    HedgeSettings,
    RetryShare,
    RetryShareSettings,
    TimesSum,
)
from pistachiowell.routing.hedging import QuantileHedges
from pistachiowell.routing.recent_times import RecentTimes

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
# The agent tells the gateways in the middle between their reports.
TELL_AFTER_S = REPORT_INTERVAL_S / 2


@HEDGE_POLICIES.add("service_quantile")
class ServiceQuantileHedges(QuantileHedges):
    """Hedges after the quantile of all routes of a service where one has few answers.

    The quantile is multiplied by the ratio of the medians of the route and the service,
    so that a route that is always slower is not taken for slow answers. It is kept here
    for comparison.
    """

    __slots__ = ("_services",)

    MIN_ROUTE_SAMPLES = 10

    def __init__(self, settings):
        super().__init__(settings)
        self._services = {}

    def delay_s(self, kind, now):
        """Returns the quantile of the route or of the service; see ``HedgePolicy``."""
        own_s = super().delay_s(kind, now)
        service, state = self._services.get(kind[0]), self._kinds.get(kind)
        if own_s is not None or service is None or state is None:
            return own_s
        settings = self._settings
        if (
            service.recent_count(now) < settings.min_samples
            or state.times.recent_count(now) < self.MIN_ROUTE_SAMPLES
        ):
            return None
        ratio = state.times.quantile_s(0.5) / service.quantile_s(0.5)
        delay_s = max(1.0, ratio) * service.quantile_s(settings.quantile)
        return max(settings.min_delay_s, delay_s)

    def record_answer(self, kind, time_s, now, *, was_slow):
        """Records an answer of a route and of its service; see ``HedgePolicy``."""
        super().record_answer(kind, time_s, now, was_slow=was_slow)
        if kind[0] not in self._services:
            self._services[kind[0]] = RecentTimes(self._settings.window_s)
        self._services[kind[0]].record(time_s, now)


@dataclass(frozen=True, slots=True)
class FleetShape:
    """The gateways that send the requests, and their routes.

    Attributes:
        gateways: Number of gateways, all with the same share of the requests.
        data_centres: Number of data centres; the gateways of each share their times.
        factors: For each route, how much longer its answers take than the usual ones.
        slowdown_s: Time in seconds from which on all answers take twice as long;
            infinite for never.
        hedgeable: Share of the service's requests that may be hedged; the others only
            load the servers and add to the allowed retries.
    """

    gateways: int = 1
    data_centres: int = 1
    factors: tuple[float, ...] = (1.0,)
    slowdown_s: float = math.inf
    hedgeable: float = 1.0

    @property
    def kinds(self):
        """The kind of each route's requests."""
        return [KIND, *((KIND[0], f"read-{n}") for n in range(1, len(self.factors)))]


FLEET = FleetShape(48, 4, (1.0, 1.0, 3.0), hedgeable=0.3)
FLEET_REQUESTS = 20_000


class _Gateway:
    """One gateway: it knows its own requests at the servers only."""

    __slots__ = ("loads", "policy", "retry_share")

    def __init__(self, settings, gateways):
        self.loads = [0] * SERVERS
        self.policy = HEDGE_POLICIES.find(settings.policy)(settings)
        self.retry_share = RetryShare(RetryShareSettings(), lambda: max(3, gateways))


class HedgeModel:
    """Plays requests with drawn service times.

    A server runs as many requests as it has slots and lets the others wait, first come,
    first served. Each attempt draws its time: few take many times the usual.

    Args:
        policy: Name in ``HEDGE_POLICIES``.
        load: Offered load as a share of the capacity without hedges.
        seed: Seed of all draws.
        shape: ``FleetShape``.
        **settings: More ``HedgeSettings``.

    Attributes:
        times_s: Seconds to the answer of each request.
        times_by_kind: The same, by the kind of the request.
        requests: Number of requests so far that may be hedged.
        hedged_at: Number of these requests so far at each hedge.
        hedges_by_kind: Number of hedges by the kind of the request.
        late_hedges: Number of hedges after the slowdown.
        first_hedge_s: Time of the first hedge in seconds.
        last_hedge_s: Time of the last one.
    """

    def __init__(self, policy, load, seed=1, shape=None, **settings):
        self.rng, self.fleet_rng = Random(seed), Random(seed)
        self.settings = HedgeSettings(policy=policy, **{"share": 0.05, **settings})
        self.shape = shape = shape or FleetShape()
        self.gateways = [
            _Gateway(self.settings, shape.gateways) for _ in range(shape.gateways)
        ]
        factor = sum(shape.factors) / len(shape.factors)
        self.gap_s = factor * MEAN_S / (load * SERVERS * SLOTS)
        self.times_s, self.requests, self.hedged_at = [], 0, []
        self.times_by_kind = {kind: [] for kind in shape.kinds}
        self.hedges_by_kind = Counter()
        self.late_hedges = 0
        self.first_hedge_s, self.last_hedge_s = math.inf, 0.0
        self._events, self._order = [], count()
        self._unanswered = 0
        self._running = [0] * SERVERS
        self._queues = [[] for _ in range(SERVERS)]

    def run(self, requests):
        """Plays so many requests to their ends."""
        self._unanswered = requests
        self._later(0.0, self._arrive, requests)
        if self.gateways[0].policy.shared is not None:
            for number in range(self.shape.data_centres):
                members = self.gateways[number :: self.shape.data_centres]
                self._later(0.0, self._report, members, TimesSum(self.settings), 0)
        while self._events:
            now, _, step, args = heapq.heappop(self._events)
            step(now, *args)

    def quantile_s(self, quantile, kind=None):
        """Returns a quantile of the times to the answer, of one kind or of all."""
        times_s = self.times_s if kind is None else self.times_by_kind[kind]
        return sorted(times_s)[int(quantile * len(times_s))]

    def _later(self, at, step, *args):
        heapq.heappush(self._events, (at, next(self._order), step, args))

    def _report(self, now, gateways, total, number):
        for gateway in gateways:
            for times in gateway.policy.shared.take():
                total.add(times, now)
        if self._unanswered:
            self._later(now + TELL_AFTER_S, self._tell, gateways, total, number + 1)

    def _tell(self, now, gateways, total, number):
        summaries = total.summaries(now)
        if summaries:
            for gateway in gateways:
                gateway.policy.shared.record_summaries(
                    "agent-1", number, summaries, now
                )
        left_s = REPORT_INTERVAL_S - TELL_AFTER_S
        if self._unanswered:
            self._later(now + left_s, self._report, gateways, total, number)

    def _arrive(self, now, left):
        if left > 1:
            gap_s = self.rng.expovariate(1 / self.gap_s)
            self._later(now + gap_s, self._arrive, left - 1)
        gateway = self.fleet_rng.choice(self.gateways)
        route = self.fleet_rng.randrange(len(self.shape.factors))
        kind = self.shape.kinds[route]
        gateway.retry_share.record_request(now)
        is_hedgeable = self.fleet_rng.random() < self.shape.hedgeable
        request = {"at": now, "is_answered": False, "is_slow": False}
        request |= {"gateway": gateway, "kind": kind}
        request["factor"] = self.shape.factors[route]
        pair = self.rng.sample(range(SERVERS), 2)
        request["server"] = min(pair, key=gateway.loads.__getitem__)
        request["is_hedgeable"] = is_hedgeable
        self._send(now, request, request["server"])
        if not is_hedgeable:
            return
        self.requests += 1
        gateway.policy.record_request(kind)
        delay_s = gateway.policy.delay_s(kind, now)
        if delay_s is not None:
            self._later(now + delay_s, self._hedge, request)

    def _hedge(self, now, request):
        if request["is_answered"]:
            return
        gateway, kind = request["gateway"], request["kind"]
        request["is_slow"] = True
        gateway.policy.record_slow(kind)
        left_s = request["at"] + DEADLINE_S - now
        most = self.settings.max_load_per_slot * SLOTS
        others = [
            server
            for server in range(SERVERS)
            if server != request["server"] and gateway.loads[server] < most
        ]
        if not others or gateway.policy.denial(kind, left_s, now) is not None:
            return
        if gateway.policy.try_spend(gateway.retry_share, now):
            self.hedged_at.append(self.requests)
            self.hedges_by_kind[kind] += 1
            self.late_hedges += now > self.shape.slowdown_s
            self.first_hedge_s = min(self.first_hedge_s, now)
            self.last_hedge_s = now
            self._send(now, request, self.rng.choice(others))

    def _send(self, now, request, server):
        request["gateway"].loads[server] += 1
        if self._running[server] < SLOTS:
            self._begin(now, request, server)
        else:
            self._queues[server].append(request)

    def _begin(self, now, request, server):
        self._running[server] += 1
        is_slow = self.rng.random() < SLOW_SHARE
        time_s = self.rng.expovariate(1 / (SLOW_S if is_slow else USUAL_S))
        time_s *= request["factor"] * (2.0 if now > self.shape.slowdown_s else 1.0)
        self._later(now + time_s, self._end, request, server)

    def _end(self, now, request, server):
        if not request["is_answered"]:
            request["is_answered"] = True
            self._unanswered -= 1
            if request["is_hedgeable"]:
                self._record_answer(now, request)
        request["gateway"].loads[server] -= 1
        self._running[server] -= 1
        queue = self._queues[server]
        while queue and self._running[server] < SLOTS:
            waiting = queue.pop(0)
            # The loser of two attempts leaves the queue.
            if waiting["is_answered"]:
                waiting["gateway"].loads[server] -= 1
            else:
                self._begin(now, waiting, server)

    def _record_answer(self, now, request):
        kind, time_s = request["kind"], now - request["at"]
        self.times_s.append(time_s)
        self.times_by_kind[kind].append(time_s)
        policy, was_slow = request["gateway"].policy, request["is_slow"]
        policy.record_answer(kind, time_s, now, was_slow=was_slow)


def measure(policy, load, shape=None, requests=REQUESTS, **settings):
    """Returns the means of the figures over all seeds."""
    models = [HedgeModel(policy, load, seed, shape, **settings) for seed in SEEDS]
    for model in models:
        model.run(requests)
    figures = {
        f"{quantile * 100:g} % in ms": round(
            sum(model.quantile_s(quantile) for model in models) / len(SEEDS) * 1000
        )
        for quantile in QUANTILES
    }
    total = sum(len(model.times_s) for model in models)
    hedges = sum(len(model.hedged_at) for model in models)
    figures["hedges in %"] = round(100 * hedges / total, 1)
    if shape is not None:
        figures["first hedge in s"] = [
            round(model.first_hedge_s) if model.hedged_at else None for model in models
        ]
        by_kind = sum((model.hedges_by_kind for model in models), Counter())
        figures["hedges in % by route"] = [
            round(100 * by_kind[kind] * len(shape.kinds) / total, 1)
            for kind in shape.kinds
        ]
        if shape.slowdown_s < math.inf:
            late = sum(model.late_hedges for model in models)
            figures["hedges after the slowdown in %"] = round(100 * late / total, 1)
    return figures


def measure_fleet():
    """Returns the figures of the ways to learn the delay in a large fleet."""
    ways = {
        "none": ("none", {}),
        "own times": ("quantile", {}),
        "own times, window 600 s": ("quantile", {"window_s": 600.0}),
        "times of the service": ("service_quantile", {}),
        "times of the service, window 600 s": ("service_quantile", {"window_s": 600.0}),
        "shared times": ("shared_quantile", {}),
    }
    figures = {}
    for load in LOADS:
        for name, (policy, settings) in ways.items():
            figures[f"fleet, {name}, load {load}"] = measure(
                policy, load, FLEET, FLEET_REQUESTS, **settings
            )
    slower = replace(FLEET, slowdown_s=40.0)
    for load in (0.3, 0.7):
        for name, (policy, settings) in ways.items():
            figures[f"fleet, {name}, load {load}, twice as slow after 40 s"] = measure(
                policy, load, slower, FLEET_REQUESTS, **settings
            )
    return figures


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
    print(json.dumps({**figures, **measure_fleet()}, indent=1))


if __name__ == "__main__":
    app.run(main)
