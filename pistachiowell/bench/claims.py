"""Simulates claims of idempotency keys and measures their cost and latency.

Run ``python -m pistachiowell.bench.claims``. The decisions are those of the real
``ClaimTable`` and ``preferred_agents``. The rest is a discrete-event model in virtual
time: Poisson arrivals, and a store in memory with a constant latency. A second model
compares policies for outages of the store. Seeds are fixed, so that the figures are
the same each time.
"""

import dataclasses
import heapq
import itertools
import random
import statistics
from dataclasses import dataclass

import msgspec
from absl import app

from pistachiowell.claims import ClaimTable, DeletePage, ReadPage, preferred_agents
from pistachiowell.claims.keys import bucket_of
from pistachiowell.claims.pages import COLLECTION
from pistachiowell.core.errors import StoreConflict
from pistachiowell.store.memory import ObjectTable

STORE_LATENCY_S = 0.005
DURATION_S = 30.0
DAY_S = 86_400.0


@dataclass(frozen=True, slots=True)
class Load:
    """Load of claims on a fleet of agents.

    Attributes:
        claims_per_s: New keys per second in the whole fleet.
        agents: Number of agents.
        buckets: Number of buckets.
        preferred: Whether routers send the keys of a bucket to its preferred agent;
            otherwise to a random one.
        claim_page_size: Number of claims after which a page is sealed.
        claim_retention_s: Seconds for which a key stays claimed.
        claim_write_interval_s: Minimum time between two writes of a bucket in seconds.
        kept_answer_bytes: Bytes of answers kept for repeated requests.
    """

    claims_per_s: float
    agents: int
    buckets: int
    preferred: bool = True
    claim_page_size: int = 256
    claim_retention_s: float = DAY_S
    claim_write_interval_s: float = 0.0
    kept_answer_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Result:
    """Cost and latency of claims under a load.

    Attributes:
        claims: Number of granted claims.
        writes_per_claim: Writes to the store, including conflicts.
        conflicts_per_claim: Writes rejected because another agent wrote the page
            first.
        reads_per_claim: Reads from the store.
        bytes_per_claim: Bytes written.
        median_s: Median time from the request to its claim in seconds.
        p99_s: 99th percentile of that time in seconds.
        busiest_share: Claims of the busiest agent divided by the mean over agents.
    """

    claims: int
    writes_per_claim: float
    conflicts_per_claim: float
    reads_per_claim: float
    bytes_per_claim: float
    median_s: float
    p99_s: float
    busiest_share: float


class Simulation:
    """Simulation of agents that claim keys in one store.

    Args:
        load: A ``Load``.
        seed: Seed of the arrivals and of the agents' random draws.
    """

    __slots__ = (
        "_claim_tables",
        "_counts",
        "_events",
        "_granted",
        "_load",
        "_now",
        "_numbers",
        "_rng",
        "_started",
        "_table",
        "_times",
    )

    def __init__(self, load, seed=1):
        self._load = load
        self._rng = random.Random(seed)
        self._table = ObjectTable()
        self._events = []
        self._numbers = itertools.count()
        self._now = 0.0
        self._started = {}
        self._times = []
        self._granted = dict.fromkeys(self._names(), 0)
        self._counts = dict.fromkeys(("read", "write", "conflict", "bytes"), 0)
        self._claim_tables = {
            name: ClaimTable(name, load.buckets, load, random.Random(f"{seed} {name}"))
            for name in self._names()
        }

    def run(self, duration_s=DURATION_S):
        """Simulates arrivals for a time, then the rest, and returns the ``Result``.

        Args:
            duration_s: Virtual time during which keys arrive, in seconds.
        """
        at_s = 0.0
        while at_s < duration_s:
            at_s += self._rng.expovariate(self._load.claims_per_s)
            self._schedule(at_s, self._on_arrival)
        while self._events:
            self._now, _, function, args = heapq.heappop(self._events)
            function(*args)
        return self._result()

    def _names(self):
        return [f"agent-{number}" for number in range(self._load.agents)]

    def _schedule(self, at_s, function, *args):
        heapq.heappush(self._events, (at_s, next(self._numbers), function, args))

    def _on_arrival(self):
        digest = f"{self._rng.getrandbits(128):032x}"[:22]
        bucket = bucket_of(digest, self._load.buckets)
        agent = self._rng.choice(self._names())
        if self._load.preferred:
            agent = preferred_agents(bucket, self._names())[0]
        self._started[digest] = self._now
        self._claim_tables[agent].begin(digest, "b" * 22)
        self._advance(agent, bucket)

    def _advance(self, agent, index):
        bucket = self._claim_tables[agent].bucket(index)
        action = bucket.next_action(self._now, self._now)
        self._record_decisions(agent, index)
        if action is not None:
            at_s = self._now + STORE_LATENCY_S / 2
            self._schedule(at_s, self._reach_store, agent, index, action)
        elif bucket.busy and bucket.not_before > self._now:
            self._schedule(bucket.not_before, self._advance, agent, index)

    def _reach_store(self, agent, index, action):
        answer = self._apply(action)
        at_s = self._now + STORE_LATENCY_S / 2
        self._schedule(at_s, self._on_answer, agent, index, action, answer)

    def _apply(self, action):
        if isinstance(action, ReadPage):
            self._counts["read"] += 1
            return self._table.get(COLLECTION, action.name)
        if isinstance(action, DeletePage):
            return None
        value = msgspec.json.encode(action.page)
        self._counts["write"] += 1
        self._counts["bytes"] += len(value)
        try:
            version = action.expected_version
            return self._table.put(COLLECTION, action.name, value, version)
        except StoreConflict as error:
            self._counts["conflict"] += 1
            return error

    def _on_answer(self, agent, index, action, answer):
        bucket = self._claim_tables[agent].bucket(index)
        if isinstance(action, ReadPage):
            bucket.on_read(answer, self._now)
        elif isinstance(action, DeletePage):
            bucket.on_deleted()
        elif isinstance(answer, StoreConflict):
            bucket.on_conflict(self._now)
        else:
            bucket.on_written(answer)
        self._record_decisions(agent, index)
        self._advance(agent, index)

    def _record_decisions(self, agent, index):
        for decision in self._claim_tables[agent].pop_decisions(index):
            self._times.append(self._now - self._started.pop(decision.digest))
            self._granted[agent] += 1

    def _result(self):
        claims = len(self._times)
        counts = self._counts
        return Result(
            claims,
            counts["write"] / claims,
            counts["conflict"] / claims,
            counts["read"] / claims,
            counts["bytes"] / claims,
            statistics.median(self._times),
            statistics.quantiles(self._times, n=100)[98],
            max(self._granted.values()) * self._load.agents / claims,
        )


LOADS = (
    Load(2.0, 4, 64),
    Load(20.0, 4, 16),
    Load(20.0, 4, 64),
    Load(20.0, 4, 64, preferred=False),
    Load(345.0, 40, 64),
    Load(345.0, 40, 256),
    Load(345.0, 40, 64, preferred=False),
    Load(345.0, 40, 64, claim_page_size=64),
    Load(345.0, 40, 64, claim_write_interval_s=0.2),
    Load(345.0, 40, 64, claim_write_interval_s=0.5),
)


@dataclass(frozen=True, slots=True)
class OutagePolicy:
    """Policy for new keys while the store is down.

    Attributes:
        name: Name of the policy.
        window_s: Seconds for which an exclusive owner may claim keys in memory. If it
            dies, its successor must refuse the keys for as long, since it can't know
            which of them were claimed. 0 refuses all keys in an outage.
    """

    name: str
    window_s: float


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults in a month.

    Attributes:
        outages_s: Duration of each outage of the store in seconds.
        deaths: Number of agents that crash without a handover.
        agents: Number of agents that share the keys.
    """

    outages_s: tuple
    deaths: int
    agents: int


POLICIES = (
    OutagePolicy("refuse", 0.0),
    OutagePolicy("owner, window 60 s", 60.0),
    OutagePolicy("owner, window 600 s", 600.0),
    OutagePolicy("owner, window 3600 s", 3600.0),
)

MONTHS = (
    Faults((), 1, 4),
    Faults((30.0,), 1, 4),
    Faults((600.0,), 1, 4),
    Faults((3600.0,), 1, 4),
    Faults((600.0,), 25, 100),
)


def refused_seconds(policy, faults, seed=1):
    """Returns how many keys a policy refuses in a month because of faults.

    In the model one key arrives each second at a random agent, and outages and crashes
    start at random times. Keys carry their time. The window of an owner is renewed
    every second while the store answers, and the owner writes its claims to the store
    once the store is back.

    Args:
        policy: An ``OutagePolicy``.
        faults: The ``Faults``.
        seed: Seed of the random draws.

    Returns:
        The number of refused keys among ``30 * 86400``.
    """
    rng = random.Random(seed)
    month_s = int(30 * DAY_S)
    refused = set()
    for outage_s in faults.outages_s:
        start_s = rng.randrange(month_s - int(outage_s))
        covered_s = min(policy.window_s, outage_s)
        refused.update(range(start_s + int(covered_s), start_s + int(outage_s)))
    for _ in range(faults.deaths):
        start_s = rng.randrange(month_s)
        refused_range = range(start_s, start_s + int(policy.window_s))
        refused.update(s for s in refused_range if rng.randrange(faults.agents) == 0)
    return len(refused)


def main(argv):
    """Runs the simulations and prints the figures."""
    del argv
    for load in LOADS:
        print(load)
        result = dataclasses.asdict(Simulation(load).run())
        print(" ", " ".join(f"{name}={value:.4g}" for name, value in result.items()))
    for faults in MONTHS:
        print(faults)
        for policy in POLICIES:
            print(f"  {policy.name}: {refused_seconds(policy, faults)} refused")


if __name__ == "__main__":
    app.run(main)
