"""Servers that refuse connections.

Guards against requests that are refused by one crashed server after the other, while
the servers that work wait for some.
"""

import pytest

from pistachiowell.catalog import RequestKind, Route
from pistachiowell.routing import (
    AttemptFailure,
    RetryShare,
    RetryShareSettings,
    RouteRetries,
    UnreachableServers,
    UnreachableSettings,
)

ONE, TWO = ("s1", "10.0.0.1:80", 5), ("s2", "10.0.0.2:80", 5)
REFUSED = AttemptFailure(
    "no_server", "no", may_have_arrived=False, has_other_server=True
)


@pytest.fixture
def unreachable():
    return UnreachableServers(UnreachableSettings(hold_s=1.0, max_hold_s=4.0))


def test_one_request_at_a_time_tries_a_server_for_longer_and_longer_times(unreachable):
    for _ in range(3):
        unreachable.record_refusal(ONE, 0.0)
    now, holds = 0.0, []
    for _ in range(4):
        started_at = now
        while unreachable.is_avoided(ONE, now):
            now += 0.25
        holds.append(now - started_at)
        unreachable.record_start(ONE, now)
        assert unreachable.usable([ONE, TWO], now) == [TWO]
        unreachable.record_refusal(ONE, now)
    assert holds == [1.0, 2.0, 4.0, 4.0]


def test_try_without_a_result_leaves_the_server_to_the_next_one(unreachable):
    unreachable.record_refusal(ONE, 0.0)
    unreachable.record_start(ONE, 1.0)
    unreachable.record_inconclusive(ONE)
    assert unreachable.usable([ONE, TWO], 1.1) == [ONE, TWO]


def test_only_answers_to_later_requests_end_the_avoidance(unreachable):
    unreachable.record_refusal(ONE, 0.5)
    unreachable.record_answer(ONE, 0.4)
    assert unreachable.is_avoided(ONE, 0.6)
    unreachable.record_answer(ONE, 0.6)
    assert not unreachable.is_avoided(ONE, 0.6)


def test_new_registration_is_used_at_once(unreachable):
    unreachable.record_refusal(ONE, 0.0)
    for restarted in (("s1", "10.0.0.1:81", 5), ("s1", "10.0.0.1:80", 6)):
        assert not unreachable.is_avoided(restarted, 0.1)


def make_retries():
    route = Route("r", "h", "/r", RequestKind("non_idempotent"), {"desk": 1}, 2.0, 0.2)
    share = RetryShare(RetryShareSettings(), lambda: 3)
    return RouteRetries(route, 2.0), share


def test_refused_connections_use_up_the_sends_of_a_request():
    retries, share = make_retries()
    for _ in range(12):
        retries.start(0.0, share)
        assert retries.may_retry(REFUSED, 0.0, share)
    assert share.retries == 0


def test_sends_are_bounded_once_no_server_is_left():
    retries, share = make_retries()
    last = AttemptFailure("no_server", "no", may_have_arrived=False)
    sends = 0
    while sends < 20:
        sends = retries.start(0.0, share)
        if not retries.may_retry(last, 0.0, share):
            break
    assert sends == 3
