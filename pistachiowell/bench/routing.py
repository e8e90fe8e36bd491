"""Simulates routing and admission and measures waits, cache hits and refusals.

Run ``python -m pistachiowell.bench.routing``; it prints one JSON document. The
decisions are those of the real pickers, ``LoadTable`` and ``AdmissionQueue``. The rest
is a queueing model with Poisson arrivals and random service times. Seeds are fixed, so
that the figures are the same each time.
"""

import heapq
import json
from collections import OrderedDict
from random import Random

from absl import app

from pistachiowell.admission import AdmissionQueue, AdmissionSettings, Start, Ticket
from pistachiowell.routing import PICKERS, Candidate, LoadTable, RoutingSettings

SERVERS = 12
ROUTERS = 4
SLOTS = 8
SERVICE_S = 0.5
COLD_PROMPT_S = 0.3
PREFIXES = 96
CACHED_PREFIXES = 16
REPORT_LAG_S = 0.2
REQUESTS = 12000
CHAT_DEADLINE_S = 3.0
PRIORITY_SHARES = (("chat", 0.5), ("label", 0.2), ("report", 0.3))
REPORT_FACTOR = 4.0


class QueueModel:
    """Queueing model of servers behind routers that receive load reports at intervals.

    Each server runs ``SLOTS`` requests and queues the others. A request whose prefix
    is not in the server's cache takes ``COLD_PROMPT_S`` longer; a cache keeps the
    ``CACHED_PREFIXES`` prefixes that were used last.

    Args:
        picker: Name of the policy that picks servers.
        seed: Seed of arrivals, service times and picks.
        load: Offered load as a share of the capacity with cold caches.
        slow: Name of a server whose requests take four times as long; empty for none.
    """

    def __init__(self, picker, seed, load, slow=""):
        settings = RoutingSettings(picker=picker)
        self._rng = Random(seed)
        self._candidates = [Candidate(f"s{n}") for n in range(SERVERS)]
        self._load_tables = [LoadTable(settings) for _ in range(ROUTERS)]
        self._pickers = [
            PICKERS.find(picker)(settings, load_table, Random(seed + n))
            for n, load_table in enumerate(self._load_tables)
        ]
        self._running = {c.server: 0 for c in self._candidates}
        self._queues = {c.server: [] for c in self._candidates}
        self._caches = {c.server: OrderedDict() for c in self._candidates}
        self._arrival_rate = load * SERVERS * SLOTS / (SERVICE_S + COLD_PROMPT_S)
        self._slow = slow
        self._prefix_hits = 0
        self._waits_s = []
        self._imbalances = []

    def run(self):
        """Simulates all requests and returns the figures.

        Returns:
            A mapping with the median and 95th percentile of the wait for a slot in
            seconds, the share of requests whose prefix was cached, and
            ``load_imbalance``: the mean of the largest load of a server divided by
            the mean load.
        """
        now, count = 0.0, 0
        events = []
        for number in range(REQUESTS):
            now += self._rng.expovariate(self._arrival_rate)
            heapq.heappush(events, (now, number, "arrive", None))
        heapq.heappush(events, (0.0, -1, "report", None))
        count, left = REQUESTS, REQUESTS
        while left:
            now, _, kind, what = heapq.heappop(events)
            if kind == "arrive":
                self._arrive(now, events, count)
            elif kind == "end":
                left -= 1
                self._end(now, what, events, count)
            else:
                self._report(now)
                heapq.heappush(events, (now + REPORT_LAG_S, -count, "report", None))
            count += 1
        self._waits_s.sort()
        return {
            "wait_p50_s": round(self._waits_s[len(self._waits_s) // 2], 3),
            "wait_p95_s": round(self._waits_s[int(len(self._waits_s) * 0.95)], 3),
            "prefix_hits": round(self._prefix_hits / REQUESTS, 3),
            "load_imbalance": round(sum(self._imbalances) / len(self._imbalances), 2),
        }

    def _arrive(self, now, events, count):
        router = self._rng.randrange(ROUTERS)
        prefix = f"p{int(self._rng.paretovariate(0.9)) % PREFIXES}"
        server = self._pickers[router].pick(self._candidates, prefix, now).server
        self._load_tables[router].record_sent(server)
        self._queues[server].append((now, router, prefix))
        self._start(now, server, events, count)

    def _start(self, now, server, events, count):
        if self._running[server] >= SLOTS or not self._queues[server]:
            return
        arrived, router, prefix = self._queues[server].pop(0)
        self._running[server] += 1
        self._waits_s.append(now - arrived)
        service_s = self._rng.uniform(0.5, 1.5) * SERVICE_S
        if not self._is_cached(server, prefix):
            service_s += COLD_PROMPT_S
        if server == self._slow:
            service_s *= 4.0
        heapq.heappush(events, (now + service_s, count, "end", (server, router)))

    def _end(self, now, what, events, count):
        server, router = what
        self._running[server] -= 1
        self._load_tables[router].record_end(server)
        self._start(now, server, events, count)

    def _report(self, now):
        totals = []
        for server, running in self._running.items():
            waiting = len(self._queues[server])
            totals.append(running + waiting)
            for load_table in self._load_tables:
                load_table.record_load(server, running, waiting, SLOTS, now)
        mean = sum(totals) / len(totals)
        if mean:
            self._imbalances.append(max(totals) / mean)

    def _is_cached(self, server, prefix):
        cache = self._caches[server]
        hit = prefix in cache
        self._prefix_hits += hit
        cache[prefix] = None
        cache.move_to_end(prefix)
        if len(cache) > CACHED_PREFIXES:
            cache.popitem(last=False)
        return hit


def measure_admission(settings, load, seed):
    """Offers requests of all priority classes to one server and counts useful answers.

    Args:
        settings: An ``AdmissionSettings``.
        load: Offered load as a share of the capacity.
        seed: Seed of the random draws.

    Returns:
        A mapping with the numbers of offered, useful (finished within the deadline)
        and refused requests by class, the simulated seconds, and the longest time
        from a request to its refusal in seconds.
    """
    rng, queue = Random(seed), AdmissionQueue(settings)
    mean_factor = sum(
        share * (REPORT_FACTOR if name == "report" else 1.0)
        for name, share in PRIORITY_SHARES
    )
    rate = load * settings.slots / (SERVICE_S * mean_factor)
    counts = {name: [0, 0, 0] for name, _ in PRIORITY_SHARES}
    tickets, events, now, slowest_refusal_s = {}, [], 0.0, 0.0
    for number in range(4000):
        now += rng.expovariate(rate)
        heapq.heappush(events, (now, number, "arrive"))
    while events:
        now, number, kind = heapq.heappop(events)
        if kind == "arrive":
            names, shares = zip(*PRIORITY_SHARES, strict=True)
            name = rng.choices(names, shares)[0]
            span_s = CHAT_DEADLINE_S if name == "chat" else 60.0
            account = f"a{min(4, int(rng.paretovariate(1.0)))}"
            tickets[f"{number}"] = (
                now,
                Ticket(f"{number}", account, name, 1000, now + span_s),
            )
            counts[name][0] += 1
            actions = queue.offer(tickets[f"{number}"][1], now)
        else:
            ticket = tickets[f"{number}"][1]
            counts[ticket.priority][1] += now <= ticket.deadline
            actions = queue.finish(f"{number}", now)
        for action in actions:
            offered_at, ticket = tickets[action.request_id]
            if isinstance(action, Start):
                factor = REPORT_FACTOR if ticket.priority == "report" else 1.0
                end = now + rng.uniform(0.5, 1.5) * SERVICE_S * factor
                heapq.heappush(events, (end, int(action.request_id), "end"))
            else:
                counts[ticket.priority][2] += 1
                slowest_refusal_s = max(slowest_refusal_s, now - offered_at)
    return {
        **{
            name: dict(zip(("offered", "useful", "refused"), row, strict=True))
            for name, row in counts.items()
        },
        "seconds": round(now, 1),
        "slowest_refusal_s": round(slowest_refusal_s, 2),
    }


NAIVE_ADMISSION = AdmissionSettings(
    limit="fixed",
    discipline="fifo",
    max_waiting=10**9,
    max_waiting_bytes=10**12,
    wait_margin=10**9,
)


def main(argv):
    """Simulates all policies and prints their figures as JSON."""
    del argv
    picks = {
        f"{picker} load {load} {'one slow' if slow else ''}".strip(): QueueModel(
            picker, 1, load, slow
        ).run()
        for load in (0.6, 0.9)
        for slow in ("", "s3")
        for picker in PICKERS
        if load < 0.9 or not slow
    }
    admission = {
        f"{name} load {load}": measure_admission(settings, load, 1)
        for load in (0.5, 1.0, 2.0, 4.0)
        for name, settings in (
            ("fifo", NAIVE_ADMISSION),
            ("weighted_fair", AdmissionSettings()),
        )
    }
    print(json.dumps({"picks": picks, "admission": admission}, indent=1))


if __name__ == "__main__":
    app.run(main)
