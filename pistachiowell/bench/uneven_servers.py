"""Simulates prompts at engines that differ in speed and measures the first tokens.

Run ``python -m pistachiowell.bench.uneven_servers``; it prints one JSON document. The
decisions are those of the real placers and of ``EngineTable``. The rest is a model:
engines process prompts in turn, gateways hear of each other's requests some time later,
and demand moves between two data centres in waves. Seeds are fixed, so that the figures
are the same each time.
"""

import heapq
import json
import math
from collections import Counter
from dataclasses import dataclass
from itertools import count
from random import Random

from absl import app

from pistachiowell.catalog import EngineLimits
from pistachiowell.routing import (
    PLACERS,
    Candidate,
    EngineLoad,
    EngineRates,
    EngineRequest,
    EngineRun,
    EngineTable,
    LateRefusal,
    LateSettings,
    PlacementSettings,
    RateSettings,
)

SEEDS = range(1, 9)
SERVICE = "chat"
GATEWAYS = 4
ENGINES_A_CENTRE = 5
LIMITS = EngineLimits(slots=64, kv_tokens=560_000, tokens_per_event=6)
TOKENS_PER_S = 50_000.0
# Engines keep a prefix for 7 to 10 s after its last use.
CACHE_S = 8.0
REPORT_S = 0.15
# A first token after more than this counts as late.
OBJECTIVE_S = 0.4
# Between data centres.
TRANSIT_S = 0.0028
# Period with which demand moves between the data centres.
WAVE_S = 20.0
LENGTH_S = 60.0
STALL_S = (0.2, 0.9)
STALL_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """What engines and callers do.

    Attributes:
        requests_per_s: Mean rate of all callers.
        slow_factor: Time that the slowest engine needs, over that of the fastest.
        stalls: Whether engines stand still for parts of a second.
        waves: Whether demand moves between the data centres.
        left_s: Range of the seconds for which callers wait; None if they do not leave.
    """

    requests_per_s: float = 80.0
    slow_factor: float = 1.0
    stalls: bool = False
    waves: bool = False
    left_s: tuple | None = None


SCENARIOS = {
    "equal": Scenario(),
    "uneven": Scenario(slow_factor=1.5),
    "stalls": Scenario(stalls=True),
    "waves": Scenario(waves=True),
    "all": Scenario(slow_factor=1.5, stalls=True, waves=True),
    "all, high load": Scenario(120.0, 1.5, stalls=True, waves=True),
}
OVERLOADS = {
    "load 0.8": Scenario(120.0, 1.5, stalls=True, waves=True, left_s=(0.4, 3.0)),
    "load 1.3": Scenario(200.0, 1.5, stalls=True, waves=True, left_s=(0.4, 3.0)),
    "load 2": Scenario(300.0, 1.5, stalls=True, waves=True, left_s=(0.4, 3.0)),
}


class _Engine:
    """Processes prompts in turn and caches shared prefixes for ``CACHE_S``."""

    def __init__(self, factor, stalls):
        self.factor = factor
        self.stalls = stalls
        self.free_at = 0.0
        self.cached = {}
        self.read_again = 0

    def add(self, request, now, deadline=math.inf):
        """Adds a request and returns the time of its first token.

        It is given up at its deadline, before its prompt is begun or while it is read.
        """
        if self.free_at >= deadline:
            return math.inf
        uncached = request.prompt_tokens
        for key, tokens in request.shared_prefixes:
            if now - self.cached.get(key, -math.inf) > CACHE_S:
                break
            uncached -= tokens
        for key, tokens in request.shared_prefixes:
            used_at = self.cached.get(key)
            if used_at is not None and now - used_at > CACHE_S:
                self.read_again += tokens
            self.cached[key] = now
        start = max(now, self.free_at)
        end = self._after(start, uncached * self.factor / TOKENS_PER_S)
        self.free_at = min(end, deadline)
        return end if end <= deadline else math.inf

    def soonest(self, request, now):
        """Returns the time of the first token if all shared parts were cached."""
        work_s = request.parts[-1][1] * self.factor / TOKENS_PER_S
        return self._after(max(now, self.free_at), work_s)

    def _after(self, start, work_s):
        """Returns the end of some work, which stalls interrupt."""
        end = start + work_s
        for begin, stop in self.stalls:
            if begin < end and stop > start:
                end += stop - max(begin, start)
        return end


class UnevenModel:
    """Replays one drawn load with one policy.

    Args:
        placer: Name of the policy in ``PLACERS``.
        scenario: The ``Scenario``.
        seed: Seed of everything that is drawn.
        refuses: Whether requests that are late everywhere are refused.
    """

    def __init__(self, placer, scenario, seed, *, refuses=False):
        self._refuses = refuses
        self._refusals = [
            LateRefusal(LateSettings(), Random(seed + number))
            for number in range(GATEWAYS)
        ]
        self._counts = Counter()
        self._scenario = scenario
        self._rng = Random(seed)
        names = [f"e{n}" for n in range(2 * ENGINES_A_CENTRE)]
        self._engines = {
            name: _Engine(self._factor(number), self._draw_stalls())
            for number, name in enumerate(names)
        }
        settings = PlacementSettings(placer=placer)
        learns = placer == "learned_cost"
        self._tables = [
            EngineTable(settings, EngineRates(RateSettings()) if learns else None)
            for _ in range(GATEWAYS)
        ]
        self._placers = [
            PLACERS.find(placer)(settings, table, Random(seed + number))
            for number, table in enumerate(self._tables)
        ]
        self._candidates = [
            [
                Candidate(name, distance=int(n // ENGINES_A_CENTRE != centre))
                for n, name in enumerate(names)
            ]
            for centre in range(2)
        ]
        self._numbers = count()
        self._events = []
        self.waits_s = []

    def run(self):
        """Replays the load.

        Returns:
            A mapping with the share of late first tokens, their times in seconds, and
            the shared tokens that were read again, in thousands. With callers that
            leave, the numbers of requests that were served, refused, refused although
            an engine could have served them, and given up.
        """
        now = 0.0
        while now < LENGTH_S:
            now += self._rng.expovariate(self._scenario.requests_per_s)
            self._push(now, self._arrive)
        at = 0.0
        while at < LENGTH_S:
            at += REPORT_S
            self._push(at, self._report)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        if self._scenario.left_s is not None:
            return dict(self._counts)
        waits_s = sorted(self.waits_s)
        late = sum(wait_s > OBJECTIVE_S for wait_s in waits_s)
        return {
            "late": round(late / len(waits_s), 4),
            "mean_s": round(sum(waits_s) / len(waits_s), 4),
            "p95_s": round(waits_s[int(len(waits_s) * 0.95)], 3),
            "read_again_k": self._read_again // 1000,
        }

    @property
    def _read_again(self):
        return sum(engine.read_again for engine in self._engines.values())

    def _factor(self, number):
        share = (number * 3 % ENGINES_A_CENTRE) / (ENGINES_A_CENTRE - 1)
        return 1.0 + share * (self._scenario.slow_factor - 1.0)

    def _draw_stalls(self):
        stalls, at = [], self._rng.expovariate(1 / STALL_INTERVAL_S)
        while at < LENGTH_S:
            until = at + self._rng.uniform(*STALL_S)
            stalls.append((at, until))
            at = until + self._rng.expovariate(1 / STALL_INTERVAL_S)
        return stalls if self._scenario.stalls else []

    def _push(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._numbers), action, arguments))

    def _draw_request(self, now):
        rng = self._rng
        if rng.random() < 0.25:
            topic = f"long-{rng.randrange(40)}"
            own = int(rng.uniform(2_000, 10_000))
            parts = (("base", 500), (topic, 5_000), (f"own-{now}", own))
        else:
            topic = f"chat-{rng.randrange(80)}"
            own = int(rng.uniform(200, 1_500))
            parts = (("chat", 120), (topic, 800), (f"own-{now}", own))
        return EngineRequest(sum(tokens for _, tokens in parts), 300, parts)

    def _arrive(self, now):
        near_share = 0.5
        if self._scenario.waves:
            near_share += 0.35 * math.sin(2 * math.pi * now / WAVE_S)
        centre = 0 if self._rng.random() < near_share else 1
        request = self._draw_request(now)
        number = self._rng.randrange(GATEWAYS // 2) * 2 + centre
        overhead_s = self._rng.uniform(0.01, 0.04)
        decode_s = self._rng.uniform(0.5, 2.0)
        left_s = math.inf
        if self._scenario.left_s is not None:
            left_s = self._rng.uniform(*self._scenario.left_s)
        if self._try_refuse(now, number, request, left_s):
            return
        chosen, _ = self._placers[number].place(
            self._candidates[centre], request, LIMITS, now
        )
        table = self._tables[number]
        wait_s = table.expected_wait_s(chosen.server, SERVICE, request, now)
        placed = table.record_sent(chosen.server, request, now, EngineRun(SERVICE))
        first_at = self._engines[chosen.server].add(request, now, now + left_s)
        if first_at == math.inf:
            self._counts["given_up"] += 1
            self._push(now + left_s, self._record_end, number, placed)
            return
        self._counts["served"] += 1
        first_at += overhead_s + 2 * TRANSIT_S * chosen.distance
        self.waits_s.append(first_at - now)
        self._push(first_at, self._record_first_token, number, placed, wait_s)
        self._push(first_at + decode_s, self._record_end, number, placed)

    def _try_refuse(self, now, number, request, left_s):
        """Refuses and counts a request that is late everywhere; returns whether."""
        if not self._refuses:
            return False
        table = self._tables[number]
        waits_s = [
            table.expected_wait_s(name, SERVICE, request, now) for name in self._engines
        ]
        retry_after_s = self._refusals[number].retry_after_s(
            SERVICE, 0, waits_s, left_s, now
        )
        if retry_after_s is None:
            return False
        soonest = min(e.soonest(request, now) for e in self._engines.values())
        self._counts["refused"] += 1
        self._counts["refused_wrongly"] += soonest <= now + left_s
        return True

    def _record_first_token(self, now, number, placed, wait_s):
        self._refusals[number].record_wait(
            SERVICE, 0, now - placed.sent_at, wait_s, now
        )
        self._tables[number].record_first_token(placed, now)

    def _record_end(self, now, number, placed):
        del now
        self._tables[number].record_end(placed)

    def _report(self, now):
        """Has each gateway hear later what the others have at each engine."""
        for name in self._engines:
            loads = [table.own_load(name) for table in self._tables]
            total = sum(loads, EngineLoad())
            for number, load in enumerate(loads):
                self._push(now + REPORT_S, self._tell, number, name, total - load)

    def _tell(self, now, number, name, load):
        self._tables[number].record_remote_load(name, load, now)


def measure(placer, scenario, seeds):
    """Returns the mean figures of a policy over several draws.

    Args:
        placer: Name of the policy in ``PLACERS``.
        scenario: Name of the ``Scenario``.
        seeds: The seeds.
    """
    runs = [UnevenModel(placer, SCENARIOS[scenario], seed).run() for seed in seeds]
    return {
        name: round(sum(run[name] for run in runs) / len(runs), 4) for name in runs[0]
    }


def measure_refusals(scenario, seeds, *, refuses):
    """Returns the numbers of requests by their ends over several draws.

    Args:
        scenario: Name of the ``Scenario`` in ``OVERLOADS``.
        seeds: The seeds.
        refuses: Whether requests that are late everywhere are refused.
    """
    total = Counter()
    for seed in seeds:
        total.update(
            UnevenModel(
                "learned_cost", OVERLOADS[scenario], seed, refuses=refuses
            ).run()
        )
    return dict(total)


def main(argv):
    """Simulates all policies and prints their figures as JSON."""
    del argv
    figures = {
        f"{name}: {placer}": measure(placer, name, SEEDS)
        for name in SCENARIOS
        for placer in ("random", "least_cost", "learned_cost")
    }
    refusals = {
        f"{name}: {'refused' if refuses else 'sent'}": measure_refusals(
            name, SEEDS, refuses=refuses
        )
        for name in OVERLOADS
        for refuses in (False, True)
    }
    print(json.dumps({"waits": figures, "refusals": refusals}, indent=1))


if __name__ == "__main__":
    app.run(main)
