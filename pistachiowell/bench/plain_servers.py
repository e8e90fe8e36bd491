"""Simulates plain requests at servers that differ in speed, and measures the answers.

Run ``python -m pistachiowell.bench.plain_servers``; it prints one JSON document. The
decisions are those of the real pickers and of ``LoadTable``. The rest is a model:
servers run ``SLOTS`` requests at once and queue the others, and each gateway knows only
its own requests, as plain servers report no load.
"""

import heapq
import json
from itertools import count
from random import Random

from absl import app

from pistachiowell.routing import PICKERS, Candidate, LoadTable, RoutingSettings

SEEDS = range(1, 5)
GATEWAYS = 8
SERVERS = 12
SLOTS = 4
SERVICE_S = 0.08
LENGTH_S = 60.0
# An answer after more than this counts as late.
LATE_S = 0.4
STALL_INTERVAL_S = 5.0
# Range of the length of a stall.
STALL_S = (0.2, 0.9)
# Share of its work that a server does not get done while it is slow.
STALL_SHARE = 0.9
# Offered load as a share of the capacity of fast servers, time of the slowest server
# over that of the fastest, and whether servers are slow for parts of a second.
SCENARIOS = {
    "equal": (0.6, 1.0, False),
    "uneven": (0.6, 1.5, False),
    "stalls": (0.5, 1.0, True),
    "all": (0.5, 1.5, True),
}


class _Server:
    __slots__ = ("factor", "queue", "running", "stalls")

    def __init__(self, factor, stalls):
        self.factor = factor
        self.stalls = stalls
        self.running = 0
        self.queue = []

    def end_at(self, now, work_s):
        """Returns the end of some work that begins now."""
        end = now + work_s * self.factor
        for begin, stop in self.stalls:
            if begin < end and stop > now:
                end += STALL_SHARE * (stop - max(begin, now))
        return end


class PlainModel:
    """Replays one drawn load with one policy.

    Args:
        picker: Name of the policy in ``PICKERS``.
        scenario: Name of the scenario in ``SCENARIOS``.
        seed: Seed of everything that is drawn.
    """

    def __init__(self, picker, scenario, seed):
        load, slow_factor, has_stalls = SCENARIOS[scenario]
        settings = RoutingSettings(picker=picker)
        self._rng = Random(seed)
        self._rate = load * SERVERS * SLOTS / SERVICE_S
        self._servers = {}
        for number in range(SERVERS):
            factor = 1.0 + (slow_factor - 1.0) * (number * 5 % 6) / 5
            stalls = self._draw_stalls() if has_stalls else []
            self._servers[f"s{number}"] = _Server(factor, stalls)
        self._tables = [LoadTable(settings) for _ in range(GATEWAYS)]
        self._pickers = [
            PICKERS.find(picker)(settings, table, Random(seed + number))
            for number, table in enumerate(self._tables)
        ]
        for table in self._tables:
            for name in self._servers:
                table.set_slots(name, SLOTS)
        self._events = []
        self._numbers = count()
        self._times_s = []

    def run(self):
        """Replays the load and returns times in seconds and the share of late ones."""
        now = 0.0
        while now < LENGTH_S:
            now += self._rng.expovariate(self._rate)
            self._push(now, self._arrive)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        times_s = sorted(self._times_s)
        return {
            "mean_s": sum(times_s) / len(times_s),
            "p95_s": times_s[int(0.95 * len(times_s))],
            "late": sum(time_s > LATE_S for time_s in times_s) / len(times_s),
        }

    def _draw_stalls(self):
        stalls, at = [], self._rng.expovariate(1 / STALL_INTERVAL_S)
        while at < LENGTH_S:
            until = at + self._rng.uniform(*STALL_S)
            stalls.append((at, until))
            at = until + self._rng.expovariate(1 / STALL_INTERVAL_S)
        return stalls

    def _push(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._numbers), action, arguments))

    def _arrive(self, now):
        number = self._rng.randrange(GATEWAYS)
        work_s = self._rng.expovariate(1 / SERVICE_S)
        candidates = [
            Candidate(name, distance=int((n >= SERVERS // 2) != (number % 2)))
            for n, name in enumerate(self._servers)
        ]
        name = self._pickers[number].pick(candidates, "", now).server
        self._tables[number].record_sent(name)
        self._servers[name].queue.append((number, now, work_s))
        self._start(now, name)

    def _start(self, now, name):
        server = self._servers[name]
        while server.running < SLOTS and server.queue:
            number, sent_at, work_s = server.queue.pop(0)
            server.running += 1
            self._push(server.end_at(now, work_s), self._end, name, number, sent_at)

    def _end(self, now, name, number, sent_at):
        self._servers[name].running -= 1
        self._tables[number].record_end(name)
        self._times_s.append(now - sent_at)
        self._start(now, name)


def measure(picker, scenario, seeds):
    """Returns the mean figures of a policy over several draws.

    Args:
        picker: Name of the policy in ``PICKERS``.
        scenario: Name of the scenario in ``SCENARIOS``.
        seeds: The seeds.
    """
    runs = [PlainModel(picker, scenario, seed).run() for seed in seeds]
    return {
        name: round(sum(run[name] for run in runs) / len(runs), 4) for name in runs[0]
    }


def main(argv):
    """Simulates all policies and prints their figures as JSON."""
    del argv
    figures = {
        f"{scenario}: {picker}": measure(picker, scenario, SEEDS)
        for scenario in SCENARIOS
        for picker in PICKERS
    }
    print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    app.run(main)
