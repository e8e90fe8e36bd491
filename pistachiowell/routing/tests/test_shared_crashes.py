"""Requests that crash servers on which other requests run, sent by several routers.

Guards against two failures: a request that crashes one server after another although
its crashes are known, and a healthy request that is taken for it because it was in
progress at the same crashes.
"""

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from pistachiowell.core.rng import Random
from pistachiowell.routing import (
    CRASH_LEDGERS,
    SHARED_SERVER_CRASHES,
    Crash,
    CrashLedger,
    CrashSettings,
    FingerprintStatus,
)
from pistachiowell.routing.tests.crash_model import LENGTH_S, ROUTERS, Fleet, Sent

MAX_SENDS_AFTER_THIRD_CRASH = 3


def play(seed, servers, bad, load, *, ledger=None):
    """Plays bad requests, repeated by their callers, beside healthy ones."""
    make = ledger or (lambda: CrashLedger(SHARED_SERVER_CRASHES))
    fleet, rng = Fleet(seed, servers, make), Random(seed)
    for number in range(bad):
        at = rng.uniform(0.5, 2.0)
        while at < LENGTH_S:
            sent = Sent(f"bad-{number}", rng.randrange(ROUTERS), 0.02, number % 2)
            fleet.at(at, fleet.send, sent)
            at += rng.uniform(0.2, 1.0)
    for number in range(int(load * LENGTH_S)):
        at = rng.uniform(0.0, LENGTH_S)
        name, work_s = f"healthy-{number}", rng.choice((0.03, 0.3, 1.5))
        # Its caller sends a request that failed once more.
        for repeat in range(2):
            at_repeat = at + repeat * rng.uniform(0.3, 2.0)
            sent = Sent(name, rng.randrange(ROUTERS), work_s, 1)
            fleet.at(at_repeat, fleet.send, sent)
    fleet.run()
    return fleet


@hypothesis_settings(max_examples=60)
@given(
    seed=st.integers(0, 10**6),
    servers=st.integers(3, 9),
    bad=st.integers(1, 4),
    load=st.sampled_from((5, 40)),
)
def test_crashing_request_is_stopped_and_no_healthy_one_is_taken_for_it(
    seed, servers, bad, load
):
    fleet = play(seed, servers, bad, load)
    names = [f"bad-{number}" for number in range(bad)]
    late = {name: fleet.late_sends(name) for name in names}
    assert max(late.values()) <= MAX_SENDS_AFTER_THIRD_CRASH, late
    assert fleet.quarantined() <= set(names)


@pytest.mark.parametrize("name", ["none", "count"])
def test_naive_ledgers_fail_under_the_same_load(name):
    fleet = play(1, 4, 4, 40, ledger=CRASH_LEDGERS.find(name))
    names = [f"bad-{number}" for number in range(4)]
    is_sent_on = max(map(fleet.late_sends, names)) > MAX_SENDS_AFTER_THIRD_CRASH
    assert is_sent_on or not fleet.quarantined() <= set(names)


def test_companion_of_all_crashes_is_not_quarantined_before_the_two_differ():
    ledger = CrashLedger(SHARED_SERVER_CRASHES)
    for number in range(3):
        crash = Crash(f"c{number}", f"s{number}", ("bad", "companion"))
        ledger.record_crash(crash, float(number))
        assert not ledger.judge(number + 0.6)
    assert ledger.status("companion", 3.0) is FingerprintStatus.crash_candidate
    ledger.record_crash(Crash("c3", "s3", ("bad",)), 4.0)
    ledger.record_crash(Crash("c4", "s4", ("bad",)), 5.0)
    assert ledger.judge(5.6) == ["bad"]
    assert ledger.status("companion", 5.6) is FingerprintStatus.clear


def test_reports_of_several_routers_about_one_crash_count_once():
    ledger = CrashLedger(SHARED_SERVER_CRASHES)
    for number in range(6):
        crash = Crash(f"c{number}", "s", ("bad",), age_s=0.1 * number)
        ledger.record_crash(crash, 10.0 + 0.1 * number)
    assert ledger.judge(20.0) == []
    assert ledger.crashed_servers("bad") == ("s",)


def test_later_report_under_a_known_id_adds_the_requests_it_names():
    ledger = CrashLedger(SHARED_SERVER_CRASHES)
    for number in range(3):
        crash_id, server = f"c{number}", f"s{number}"
        ledger.record_crash(Crash(crash_id, server, ("healthy",)), float(number))
        whole = Crash(crash_id, server, ("bad", "healthy"), age_s=0.1)
        assert not ledger.is_known(whole, number + 0.1)
        ledger.record_crash(whole, number + 0.1)
        assert ledger.is_known(whole, number + 0.1)
        ledger.clear("healthy", number + 0.2)
    assert ledger.judge(2.6) == ["bad"]


def test_request_is_held_until_the_reports_about_its_last_crash_are_in():
    ledger = CrashLedger(SHARED_SERVER_CRASHES)
    for number in range(3):
        ledger.record_crash(Crash(f"c{number}", f"s{number}", ("bad",)), float(number))
    assert ledger.status("bad", 2.1) is FingerprintStatus.held
    assert ledger.judge(2.6) == ["bad"]


def test_new_peer_learns_what_is_known():
    old, new = (CrashLedger(SHARED_SERVER_CRASHES) for _ in range(2))
    for number in range(2):
        old.record_crash(Crash(f"c{number}", f"s{number}", ("bad",)), float(number))
    old.quarantine("worse", 2.0)
    for crash in old.crashes_for_new_peer(100.0):
        new.record_crash(crash, 5.0)
    for known in old.quarantines(100.0):
        new.quarantine(known.fingerprint, 5.0, known.left_s)
    assert new.status("bad", 5.0) is FingerprintStatus.crash_candidate
    assert new.status("worse", 5.0) is FingerprintStatus.quarantined
    new.record_crash(Crash("c2", "s2", ("bad",)), 6.0)
    assert new.judge(6.6) == ["bad"]


def test_many_crashes_keep_the_ledger_small_and_quarantines_in_force():
    limits = {
        "max_crash_records": 10,
        "max_crash_fingerprints": 20,
        "max_fingerprints": 50,
    }
    ledger = CrashLedger(CrashSettings(quarantine_crashes=3, max_crashes=3, **limits))
    ledger.quarantine("bad", 0.0)
    for number in range(200):
        names = tuple(f"request-{number}-{index}" for index in range(40))
        ledger.record_crash(Crash(f"c{number}", f"s{number}", names), float(number))
    kept = ledger.crashes_for_new_peer(200.0)
    assert len(kept) <= 10
    assert max(len(crash.fingerprints) for crash in kept) <= 20
    candidates = [
        name
        for number in range(200)
        for name in (f"request-{number}-{index}" for index in range(40))
        if ledger.status(name, 200.0) is not FingerprintStatus.clear
    ]
    assert len(candidates) <= 50
    assert ledger.status("bad", 200.0) is FingerprintStatus.quarantined


def test_quarantine_ends_and_new_crashes_begin_another():
    ledger = CrashLedger(SHARED_SERVER_CRASHES)
    ledger.quarantine("bad", 0.0)
    assert ledger.status("bad", 3_599.0) is FingerprintStatus.quarantined
    assert ledger.status("bad", 3_601.0) is FingerprintStatus.clear
    for number in range(3):
        at = 3_601.0 + number
        ledger.record_crash(Crash(f"c{number}", f"s{number}", ("bad",)), at)
    assert ledger.judge(3_604.0) == ["bad"]
