"""Simulates version moves and measures how they are decided.

Run ``python -m pistachiowell.bench.moves --runs 40``. It measures how often a move to
a good version completes and one to a bad version is rolled back, which share of the
requests reached a bad version, and how fast traffic to it stopped.

The decisions are those of the real ``MoveController``, ``CircuitBreaker`` and
``version_weights``. The rest is a discrete-event model: Poisson arrivals at several
routers, servers with log-normal latency and random failures, and links and a store
with constant latency. The runs are deterministic for a seed.
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

REPORT_INTERVAL_S = 0.5
LINK_LATENCY_S = 0.002
STORE_LATENCY_S = 0.01
END_SLACK_S = 1.0
BASE_FAILURE_RATE = 0.002
MEDIAN_LATENCY_S = 0.25
LATENCY_SIGMA = 0.4
SERVERS_PER_VERSION = 3
ROUTE = RouteRow("route", "chat", "model", {"old": 1.0})


@dataclass(frozen=True, slots=True)
class Scenario:
    """Behaviour of the new version and of its environment.

    Attributes:
        name: Name of the scenario.
        is_bad: Whether the version is bad, so that the move must be rolled back.
        failures: Share of its requests that the new version fails while it is bad.
        slowdown: Factor on its latency while it is bad.
        late: Whether it becomes bad at a random time instead of at the start.
        load_rps: Rate of its requests per second from which it is bad; 0 for always.
        fault: Temporary fault that the version does not cause: ``server``,
            ``overload``, ``centre`` (data centre), or empty for none.
        rate_rps: Requests per second on the route.
        apart: Whether the new version runs in other data centres than the old one.
    """

    name: str
    is_bad: bool
    failures: float = BASE_FAILURE_RATE
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
    """Result of one run.

    Attributes:
        scenario: The ``Scenario``.
        end: End of the move, ``done`` or ``taken_back``; empty if it did not end in
            time.
        requests: Number of requests in the run.
        bad_requests: Number of requests that the new version served while it was bad.
        stop_s: Seconds from the first bad answer to the last request to the new
            version; None without a bad answer.
    """

    scenario: Scenario
    end: str
    requests: int
    bad_requests: int
    stop_s: float | None


class Run:
    """Simulation of one move.

    Args:
        scenario: The ``Scenario``.
        seed: Seed of the random draws.
        duration_s: Time from the start to the deadline of the move in seconds.
        routers: Number of routers.
        naive: Whether to use the naive judge and no circuit breaker.
    """

    def __init__(self, scenario, seed, duration_s=300.0, routers=4, naive=False):
        self._scenario = scenario
        self._rng = Random(f"{scenario.name}/{seed}")
        self._duration_s = duration_s
        self._naive = naive
        self._events = []
        self._sequence = itertools.count()
        judge = "naive" if naive else "sequential"
        self._controller = MoveController(0.0, duration_s, duration_s, judge=judge)
        self._controller.set_loaded()
        self._controller.set_spread(SERVERS_PER_VERSION, SERVERS_PER_VERSION)
        self._breakers = [CircuitBreaker() for _ in range(routers)]
        self._tokens = [None] * routers
        self._probes = [0] * routers
        self._unsent_answers = [[] for _ in range(routers)]
        self._is_writing = False
        self._end = ""
        self._requests = 0
        self._bad_requests = 0
        self._first_bad_s = None
        self._last_new_s = 0.0
        bad_share = self._rng.uniform(0.1, 0.8)
        self._bad_from_s = bad_share * duration_s if scenario.late else 0.0
        self._fault_from_s = self._rng.uniform(0.1, 0.7) * duration_s
        self._new_starts = []

    def run(self):
        """Simulates the move to its deadline and returns the ``Outcome``."""
        for router in range(len(self._tokens)):
            self._schedule(
                0.1 * router / len(self._tokens), self._report, router, False
            )
            self._schedule(self._gap_s(), self._arrive, router)
        while self._events:
            now, _, function, args = heapq.heappop(self._events)
            if now > self._duration_s + END_SLACK_S:
                break
            function(now, *args)
        stop_s = None
        if self._first_bad_s is not None:
            stop_s = max(0.0, self._last_new_s - self._first_bad_s)
        return Outcome(
            self._scenario, self._end, self._requests, self._bad_requests, stop_s
        )

    def _schedule(self, when, function, *args):
        heapq.heappush(self._events, (when, next(self._sequence), function, args))

    def _gap_s(self):
        rate = self._scenario.rate_rps / len(self._tokens)
        return self._rng.expovariate(rate)

    def _arrive(self, now, router):
        self._schedule(now + self._gap_s(), self._arrive, router)
        self._requests += 1
        is_new = self._picks_new(router, now)
        bad = is_new and self._is_bad(now)
        if is_new:
            self._last_new_s = now
            self._new_starts.append(now)
        self._bad_requests += bad
        server = self._rng.randrange(SERVERS_PER_VERSION)
        failed, latency_s = self._simulate_server(is_new, bad, server, now)
        name = f"{'new' if is_new else 'old'}-{server}"
        answer = Answer(is_new, name, f"dc-{server}", failed, latency_bucket(latency_s))
        self._schedule(now + latency_s, self._record_answer, router, answer, now, bad)

    def _picks_new(self, router, now):
        if self._end:
            return self._end == DONE
        token = self._tokens[router]
        if self._probes[router] and token.is_valid(now):
            self._probes[router] -= 1
            return True
        if not self._naive and not self._breakers[router].allows_traffic(now):
            return False
        weights = version_weights(ROUTE, token, now)
        return self._rng.random() < weights.get("new", 0.0)

    def _is_bad(self, now):
        scenario = self._scenario
        if not scenario.is_bad or now < self._bad_from_s:
            return False
        self._new_starts = [start for start in self._new_starts if start > now - 2.0]
        return len(self._new_starts) / 2.0 >= scenario.load_rps

    def _simulate_server(self, is_new, bad, server, now):
        scenario = self._scenario
        failures = scenario.failures if bad else BASE_FAILURE_RATE
        slowdown = scenario.slowdown if bad else 1.0
        if self._fault_from_s <= now < self._fault_from_s + 0.15 * self._duration_s:
            if scenario.fault == "overload":
                failures, slowdown = max(failures, 0.3), slowdown * 3.0
            if scenario.fault == "server" and is_new and server == 0:
                failures = 1.0
            if scenario.fault == "centre" and server == 0:
                failures = 1.0
        latency_s = (
            MEDIAN_LATENCY_S * self._rng.lognormvariate(0.0, LATENCY_SIGMA) * slowdown
        )
        failed = self._rng.random() < failures
        return failed, latency_s * (0.2 if failed else 1.0)

    def _record_answer(self, now, router, answer, started_at, bad):
        if bad and (answer.failed or self._scenario.slowdown > 1.0):
            self._first_bad_s = now if self._first_bad_s is None else self._first_bad_s
        self._unsent_answers[router].append((answer, started_at))
        tripped = self._breakers[router].record_answer(
            answer.is_new, answer.failed, now
        )
        if answer.is_new and (answer.failed or self._controller.is_version_suspected):
            self._schedule(now + LINK_LATENCY_S, self._receive, router, tripped, now)

    def _report(self, now, router, tripped):
        self._schedule(now + REPORT_INTERVAL_S, self._report, router, False)
        self._schedule(now + LINK_LATENCY_S, self._receive, router, tripped, now)

    def _receive(self, now, router, tripped, sent_at):
        for answer, started_at in self._unsent_answers[router]:
            self._controller.record_answers(answer, started_at, 1)
        self._unsent_answers[router].clear()
        if tripped and not self._naive:
            self._suspect_version(now)
        self._decide(now)
        token = TrafficToken(
            "move", "old", "new", 1, self._controller.share(), sent_at + TRAFFIC_TOKEN_S
        )
        probes = self._controller.grant_probes(router, self._probes[router], now)
        self._schedule(
            now + LINK_LATENCY_S, self._apply_traffic_token, router, token, probes
        )

    def _suspect_version(self, now):
        if not self._controller.is_version_suspected:
            self._controller.suspect_version(now)
            stop = TrafficToken("move", "old", "new", 1, 0.0, now + TRAFFIC_TOKEN_S)
            for router in range(len(self._tokens)):
                self._schedule(
                    now + LINK_LATENCY_S, self._apply_traffic_token, router, stop, 0
                )

    def _apply_traffic_token(self, now, router, token, probes):
        if token.share > 0 and not self._breakers[router].allows_traffic(now):
            self._breakers[router].reset()
        self._tokens[router] = token
        self._probes[router] = probes

    def _decide(self, now):
        if self._is_writing or self._end:
            return
        action = self._controller.tick(now)
        if action is not None:
            self._is_writing = True
            self._schedule(now + STORE_LATENCY_S, self._on_written, action)

    def _on_written(self, now, action):
        self._is_writing = False
        self._controller.confirm(action, now)
        if not isinstance(action, StageDecision):
            self._end = action.end


def summarize(outcomes):
    """Returns the figures of one scenario over its runs.

    Args:
        outcomes: List of ``Outcome``.

    Returns:
        A mapping with the number of runs, the ends of moves by name (``open`` for
        none) and ``met_bad``, the share of all requests that the new version served
        while it was bad. For a bad version that gave bad answers, also the median and
        95th percentile of ``Outcome.stop_s``.
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
    """Simulates all scenarios.

    Args:
        seeds: Seeds; each scenario runs once with each.
        naive: Whether to use the naive judge and no circuit breaker.

    Returns:
        A mapping from scenario name to its figures, and the number of good versions
        whose move completed and of bad versions whose move was rolled back.
    """
    report, correct = {}, Counter()
    for scenario in SCENARIOS:
        outcomes = [Run(scenario, seed, naive=naive).run() for seed in seeds]
        report[scenario.name] = summarize(outcomes)
        wanted = "taken_back" if scenario.is_bad else "done"
        kind = "bad" if scenario.is_bad else "good"
        correct[kind] += sum(outcome.end == wanted for outcome in outcomes)
        correct[f"{kind} runs"] += len(outcomes)
    report["good done on time"] = f"{correct['good']} of {correct['good runs']}"
    report["bad taken back"] = f"{correct['bad']} of {correct['bad runs']}"
    return report


def main():
    """Runs the simulations and prints the figures as JSON."""
    values = flags.FlagValues()
    define = {"flag_values": values}
    flags.DEFINE_integer("runs", 20, "Runs of each scenario.", **define)
    flags.DEFINE_integer("first_seed", 0, "Seed of the first run.", **define)
    flags.DEFINE_bool(
        "naive", False, "Use no judgement and no circuit breaker.", **define
    )
    parse_flags(values, sys.argv, "Usage: [--runs N] [--first_seed N] [--naive]")
    seeds = range(values.first_seed, values.first_seed + values.runs)
    print(json.dumps(measure(seeds, values.naive), indent=1))


if __name__ == "__main__":
    main()
