"""A request that crashes servers crashes at most two, whichever routers send it.

Guards against a request that its caller repeats and that crashes one server after
another, because each router learns of the crashes late and picks a server of its own.
"""

import heapq

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from pistachiowell.core.rng import Random
from pistachiowell.routing import (
    CRASH_LEDGERS,
    Candidate,
    Crash,
    FingerprintStatus,
    place_crash_candidate,
    rendezvous,
)

SERVERS = [Candidate(f"s{number}") for number in range(8)]
ROUTERS = 5
REQUESTS = 20


def run_fleet(name, seed, report_delay_s, crash_delay_s):
    """Sends the crashing request each second, through the routers in turn."""
    rng = Random(seed)
    ledgers = [CRASH_LEDGERS.find(name)() for _ in range(ROUTERS)]
    # Each agent has a ledger too; it records crashes of its own server at once.
    agents = {c.server: CRASH_LEDGERS.find(name)() for c in SERVERS}
    crashed, running, refused_count = [], {c.server: [] for c in SERVERS}, 0
    queue = [(float(number), number, "send", None) for number in range(REQUESTS)]
    count = REQUESTS
    while queue:
        now, number, kind, payload = heapq.heappop(queue)
        count += 1
        if kind == "send":
            ledger = ledgers[number % ROUTERS]
            status = ledger.status("bad", now)
            if status is FingerprintStatus.quarantined:
                refused_count += 1
                continue
            chosen = rendezvous(SERVERS, f"prefix-{rng.random() < 0.2}")
            if status is FingerprintStatus.crash_candidate:
                chosen = place_crash_candidate(
                    SERVERS, "bad", ledger.crashed_servers("bad")
                )
            server = chosen.server
            if agents[server].status("bad", now) is FingerprintStatus.quarantined:
                refused_count += 1
                continue
            alone = (
                agents[server].status("bad", now) is FingerprintStatus.crash_candidate
            )
            companions = () if alone else (f"innocent-{now}",)
            running[server].append("bad")
            crash = (server, ("bad", *companions))
            heapq.heappush(queue, (now + crash_delay_s, count, "crash", crash))
        elif kind == "crash":
            server, fingerprints = payload
            if "bad" not in running[server]:
                continue
            running[server].clear()
            crashed.append(server)
            crash = Crash(f"c{count}", server, fingerprints)
            agents[server].record_crash(crash, now)
            for receiver in [*ledgers, *agents.values()]:
                arrival = now + rng.uniform(0, report_delay_s)
                heapq.heappush(queue, (arrival, count, "news", (receiver, crash)))
                count += 1
        else:
            receiver, crash = payload
            receiver.record_crash(crash, now)
    wrongly_quarantined = [
        name
        for ledger in ledgers
        for name in [f"innocent-{float(n)}" for n in range(REQUESTS)]
        if ledger.status(name, 100.0) is FingerprintStatus.quarantined
    ]
    assert not wrongly_quarantined
    assert len(crashed) <= 2, crashed
    assert refused_count >= REQUESTS - 4


@given(st.integers(0, 10**6), st.floats(0.0, 0.5), st.floats(0.0, 0.4))
def test_two_servers_at_most(seed, report_delay_s, crash_delay_s):
    run_fleet("count", seed, report_delay_s, crash_delay_s)


def test_without_a_ledger_more_servers_crash():
    with pytest.raises(AssertionError):
        run_fleet("none", 1, 0.1, 0.1)


@hypothesis_settings(max_examples=50)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=20))
def test_cleared_and_repeated_reports_quarantine_nobody(steps):
    ledger = CRASH_LEDGERS.find("count")()
    count = dict.fromkeys("abc", 0)
    for number, (name, clears) in enumerate(steps):
        if clears:
            ledger.clear(name, float(number))
            count[name] = count[name] if count[name] >= 2 else 0
            continue
        crash = Crash(f"c{number}", "s", (name,))
        count[name] += 1
        for _ in range(2):
            ledger.record_crash(crash, float(number))
        quarantined = (
            ledger.status(name, float(number)) is FingerprintStatus.quarantined
        )
        assert quarantined == (count[name] >= 2)
