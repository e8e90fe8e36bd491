"""Measures the decisions of version moves over seeded runs.

Run ``python -m pistachiowell.bench.moves --runs 40``. Requests arrive at several
routers; the real ``MoveController``, ``CircuitBreaker`` and ``version_weights``
decide; only servers, links and the store are modelled. The runs are deterministic
for a seed.
"""

import heapq
import itertools
import json
import sys
from collections import Counter
from dataclasses import dataclass
from random import Random

from absl import flags

from pistachiowell.core.commandline import parse_flags
from pistachiowell.moves import (
    Answer,
    CircuitBreaker,
    MoveController,
    TrafficToken,
    latency_bucket,
    version_weights,
)
from pistachiowell.moves.controller import DONE, StageDecision
from pistachiowell.moves.traffic_tokens import TRAFFIC_TOKEN_S
from pistachiowell.schema.generated.table import RouteRow

REPORT_S = 0.5
LINK_S = 0.002
STORE_S = 0.01
END_SLACK_S = 1.0
BASE_FAILURES = 0.002
LATENCY_S = 0.25
LATENCY_SIGMA = 0.4
SERVERS_EACH = 3
ROUTE = RouteRow("route", "chat", "model", {"old": 1.0})


@dataclass(frozen=True, slots=True)
class Scenario:
    """How the new version and the world behave.

    Attributes:
        name: Name of the scenario.
        is_bad: Whether the move must be taken back.
        failures: Failure rate of the new version once it is bad.
        slowdown: Factor on its latency once it is bad.
        late: Whether it turns bad at a random time after the start.
        load_rps: Rate above which it is bad; 0 for always.
        fault: ``server``, ``overload``, ``centre`` or empty; not the version's fault.
        rate_rps: Requests a second on the route.
        apart: Whether the new version runs in other data centres than the old one.
    """

    name: str
    is_bad: bool
    failures: float = BASE_FAILURES
    slowdown: float = 1.0
    late: bool = False
    load_rps: float = 0.0
    fault: str = ""
    rate_rps: float = 20.0
    apart: bool = False


SCENARIOS = [
    Scenario("good", False),
    Scenario("good-quiet", False, rate_rps=2.0),
    Scenario("good-server-fault", False, fault="server"),
    Scenario("good-centre-fault", False, fault="centre"),
    Scenario("good-overload", False, fault="overload"),
    Scenario("good-apart", False, fault="server", apart=True),
    Scenario("bad-at-once", True, failures=0.95),
    Scenario("bad-faint", True, failures=0.15),
    Scenario("bad-late", True, failures=0.9, late=True),
    Scenario("bad-under-load", True, failures=0.6, load_rps=5.0),
    Scenario("bad-slow", True, slowdown=2.0),
    Scenario("bad-slow-late", True, slowdown=2.5, late=True),
    Scenario("bad-quiet", True, failures=0.9, rate_rps=2.0),
    Scenario("bad-apart", True, failures=0.9, apart=True),
    Scenario("bad-overload", True, failures=0.9, fault="overload"),
]


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one run gave.

    Attributes:
        scenario: The ``Scenario``.
        end: End of the move; empty if it did not end in time.
        requests: Requests of the run.
        bad_requests: Requests that met the new version while it was bad.
        stop_s: Seconds from the first bad answer to the last request for the new
            version; None without a bad answer.
    """

    scenario: Scenario
    end: str
    requests: int
    bad_requests: int
    stop_s: float | None


class Run:
    """One seeded run.

    Args:
        scenario: The ``Scenario``.
        seed: Seed.
        duration_s: Time up to the deadline.
        routers: Number of routers.
        naive: Whether to use the naive judge and no brake.
    """

    def __init__(self, scenario, seed, duration_s=300.0, routers=4, naive=False):
        self._scenario = scenario
        self._rng = Random(f"{scenario.name}/{seed}")
        self._duration_s = duration_s
        self._naive = naive
        self._events = []
        self._order = itertools.count()
        judge = "naive" if naive else "sequential"
        self._mover = MoveController(0.0, duration_s, duration_s, judge=judge)
        self._mover.set_loaded()
        self._mover.set_spread(SERVERS_EACH, SERVERS_EACH)
        self._brakes = [CircuitBreaker() for _ in range(routers)]
        self._permits = [None] * routers
        self._probes = [0] * routers
        self._unsent = [[] for _ in range(routers)]
        self._writing = False
        self._end = ""
        self._requests = 0
        self._bad_requests = 0
        self._first_bad = None
        self._last_new = 0.0
        part = self._rng.uniform(0.1, 0.8)
        self._bad_from = part * duration_s if scenario.late else 0.0
        self._fault_from = self._rng.uniform(0.1, 0.7) * duration_s
        self._new_starts = []

    def run(self):
        """Runs to the deadline and returns the ``Outcome``."""
        for router in range(len(self._permits)):
            self._at(0.1 * router / len(self._permits), self._report, router, False)
            self._at(self._gap_s(), self._arrive, router)
        while self._events:
            now, _, function, args = heapq.heappop(self._events)
            if now > self._duration_s + END_SLACK_S:
                break
            function(now, *args)
        stop_s = None
        if self._first_bad is not None:
            stop_s = max(0.0, self._last_new - self._first_bad)
        return Outcome(
            self._scenario, self._end, self._requests, self._bad_requests, stop_s
        )

    def _at(self, when, function, *args):
        heapq.heappush(self._events, (when, next(self._order), function, args))

    def _gap_s(self):
        rate = self._scenario.rate_rps / len(self._permits)
        return self._rng.expovariate(rate)

    def _arrive(self, now, router):
        self._at(now + self._gap_s(), self._arrive, router)
        self._requests += 1
        is_new = self._pick(router, now)
        bad = is_new and self._is_bad(now)
        if is_new:
            self._last_new = now
            self._new_starts.append(now)
        self._bad_requests += bad
        server = self._rng.randrange(SERVERS_EACH)
        failed, latency_s = self._serve(is_new, bad, server, now)
        name = f"{'new' if is_new else 'old'}-{server}"
        answer = Answer(is_new, name, f"dc-{server}", failed, latency_bucket(latency_s))
        self._at(now + latency_s, self._end_answer, router, answer, now, bad)

    def _pick(self, router, now):
        if self._end:
            return self._end == DONE
        permit = self._permits[router]
        if self._probes[router] and permit.is_valid(now):
            self._probes[router] -= 1
            return True
        if not self._naive and not self._brakes[router].allows_traffic(now):
            return False
        weights = version_weights(ROUTE, permit, now)
        return self._rng.random() < weights.get("new", 0.0)

    def _is_bad(self, now):
        scenario = self._scenario
        if not scenario.is_bad or now < self._bad_from:
            return False
        self._new_starts = [at for at in self._new_starts if at > now - 2.0]
        return len(self._new_starts) / 2.0 >= scenario.load_rps

    def _serve(self, is_new, bad, server, now):
        scenario = self._scenario
        failures = scenario.failures if bad else BASE_FAILURES
        slowdown = scenario.slowdown if bad else 1.0
        if self._fault_from <= now < self._fault_from + 0.15 * self._duration_s:
            if scenario.fault == "overload":
                failures, slowdown = max(failures, 0.3), slowdown * 3.0
            if scenario.fault == "server" and is_new and server == 0:
                failures = 1.0
            if scenario.fault == "centre" and server == 0:
                failures = 1.0
        latency_s = LATENCY_S * self._rng.lognormvariate(0.0, LATENCY_SIGMA) * slowdown
        failed = self._rng.random() < failures
        return failed, latency_s * (0.2 if failed else 1.0)

    def _end_answer(self, now, router, answer, began, bad):
        if bad and (answer.failed or self._scenario.slowdown > 1.0):
            self._first_bad = now if self._first_bad is None else self._first_bad
        self._unsent[router].append((answer, began))
        tripped = self._brakes[router].record_answer(answer.is_new, answer.failed, now)
        if answer.is_new and (answer.failed or self._mover.is_version_suspected):
            self._at(now + LINK_S, self._receive, router, tripped, now)

    def _report(self, now, router, tripped):
        self._at(now + REPORT_S, self._report, router, False)
        self._at(now + LINK_S, self._receive, router, tripped, now)

    def _receive(self, now, router, tripped, sent_at):
        for answer, began in self._unsent[router]:
            self._mover.record_answers(answer, began, 1)
        self._unsent[router].clear()
        if tripped and not self._naive:
            self._trip(now)
        self._decide(now)
        permit = TrafficToken(
            "move", "old", "new", 1, self._mover.share(), sent_at + TRAFFIC_TOKEN_S
        )
        probes = self._mover.grant_probes(router, self._probes[router], now)
        self._at(now + LINK_S, self._take_permit, router, permit, probes)

    def _trip(self, now):
        if not self._mover.is_version_suspected:
            self._mover.suspect_version(now)
            stop = TrafficToken("move", "old", "new", 1, 0.0, now + TRAFFIC_TOKEN_S)
            for router in range(len(self._permits)):
                self._at(now + LINK_S, self._take_permit, router, stop, 0)

    def _take_permit(self, now, router, permit, probes):
        if permit.share > 0 and not self._brakes[router].allows_traffic(now):
            self._brakes[router].reset()
        self._permits[router] = permit
        self._probes[router] = probes

    def _decide(self, now):
        if self._writing or self._end:
            return
        action = self._mover.tick(now)
        if action is not None:
            self._writing = True
            self._at(now + STORE_S, self._written, action)

    def _written(self, now, action):
        self._writing = False
        self._mover.confirm(action, now)
        if not isinstance(action, StageDecision):
            self._end = action.end


def summarize(outcomes):
    """Returns figures over runs.

    Args:
        outcomes: ``Outcome`` items of one scenario.
    """
    ends = Counter(outcome.end or "open" for outcome in outcomes)
    requests = sum(outcome.requests for outcome in outcomes)
    bad = sum(outcome.bad_requests for outcome in outcomes)
    stops = sorted(o.stop_s for o in outcomes if o.stop_s is not None)
    figures = {"runs": len(outcomes), "ends": dict(ends)}
    figures["met_bad"] = round(bad / requests, 5)
    if stops and outcomes[0].scenario.is_bad:
        figures["stop_s_p50"] = round(stops[len(stops) // 2], 2)
        figures["stop_s_p95"] = round(stops[int(0.95 * (len(stops) - 1))], 2)
    return figures


def measure(seeds, naive):
    """Runs all scenarios.

    Args:
        seeds: Seeds; each scenario runs once with each.
        naive: Whether to use the naive judge and no brake.

    Returns:
        A mapping from scenario name to figures, and the totals.
    """
    report, right = {}, Counter()
    for scenario in SCENARIOS:
        outcomes = [Run(scenario, seed, naive=naive).run() for seed in seeds]
        report[scenario.name] = summarize(outcomes)
        wanted = "taken_back" if scenario.is_bad else "done"
        kind = "bad" if scenario.is_bad else "good"
        right[kind] += sum(outcome.end == wanted for outcome in outcomes)
        right[f"{kind} runs"] += len(outcomes)
    report["good done on time"] = f"{right['good']} of {right['good runs']}"
    report["bad taken back"] = f"{right['bad']} of {right['bad runs']}"
    return report


def main():
    """Prints the figures as JSON."""
    values = flags.FlagValues()
    define = {"flag_values": values}
    flags.DEFINE_integer("runs", 20, "Runs of each scenario.", **define)
    flags.DEFINE_integer("first_seed", 0, "Seed of the first run.", **define)
    flags.DEFINE_bool("naive", False, "Use no judgement and no brake.", **define)
    parse_flags(values, sys.argv, "Usage: [--runs N] [--first_seed N] [--naive]")
    seeds = range(values.first_seed, values.first_seed + values.runs)
    print(json.dumps(measure(seeds, values.naive), indent=1))


if __name__ == "__main__":
    main()
