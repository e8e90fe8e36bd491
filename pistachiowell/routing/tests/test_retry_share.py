"""Retries of all routers together while every request fails.

Guards against a retry storm, in which all routers together overload the failing servers
although each keeps within a limit of its own.
"""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiowell.catalog import RequestKind, Route
from pistachiowell.routing import (
    AttemptFailure,
    RetryShare,
    RetryShareSettings,
    RouteRetries,
)
from pistachiowell.routing.tests.retry_excess import worst_excess_over_time

SETTINGS = RetryShareSettings(ratio=0.2, fixed=50.0, window_s=10.0)
ROUTERS = 4

steps = st.lists(
    st.tuples(st.integers(0, ROUTERS - 1), st.floats(0, 2.0), st.integers(0, 30)),
    max_size=40,
)


def run_fleet(steps, make_share, start_s=0.0):
    """Returns the requests and the retries of a fleet whose requests all fail."""
    shares = [make_share() for _ in range(ROUTERS)]
    now, requests, retries = start_s, [], []
    for router, gap_s, count in steps:
        now += gap_s
        for _ in range(count):
            shares[router].record_request(now)
            requests.append(now)
            while len(retries) < 10_000 and shares[router].try_spend(now):
                retries.append(now)
    return requests, retries


def worst_excess(requests, retries):
    """Returns by how much the worst window exceeds the retry budget of the fleet."""
    worst = float("-inf")
    for end in retries:
        begin = end - SETTINGS.window_s
        sent = sum(begin < at <= end for at in retries)
        received = sum(begin < at <= end for at in requests)
        worst = max(worst, sent - SETTINGS.ratio * received - SETTINGS.fixed)
    return worst


@given(steps)
def test_fleet_keeps_to_its_allowance(steps):
    requests, retries = run_fleet(steps, lambda: RetryShare(SETTINGS, lambda: ROUTERS))
    assert worst_excess(requests, retries) <= 0


@given(steps, st.integers(0, 30))
def test_routers_that_start_again_do_not_get_their_whole_share_twice(steps, restart):
    """Restarts all routers at once in the middle of a window."""
    half = min(restart, len(steps))
    now = sum(gap_s for _, gap_s, _ in steps[:half])
    old = run_fleet(steps[:half], lambda: RetryShare(SETTINGS, lambda: ROUTERS))
    new = run_fleet(
        steps[half:],
        lambda: RetryShare(SETTINGS, lambda: ROUTERS, started_at=now),
        start_s=now,
    )
    assert worst_excess(old[0] + new[0], old[1] + new[1]) <= 0


@pytest.mark.parametrize("mean_run_s", [0.5, 1.5, 4.0, 9.0, 20.0])
@pytest.mark.parametrize("seed", range(12))
def test_series_of_restarts_gives_the_fixed_retries_anew(seed, mean_run_s):
    """Restarts routers at drawn times while all requests fail for some seconds."""
    rng = Random(f"{seed} {mean_run_s}")
    shares = [RetryShare(SETTINGS, lambda: ROUTERS) for _ in range(ROUTERS)]
    requests, retries = [], []
    rate, now = rng.uniform(2.0, 60.0), 0.0
    fails_at = rng.uniform(5.0, 15.0)
    while now < fails_at + 15.0:
        gap_s = rng.expovariate(rate)
        now += gap_s
        for router in range(ROUTERS):
            if now > fails_at and rng.random() < gap_s / mean_run_s:
                shares[router] = RetryShare(SETTINGS, lambda: ROUTERS, started_at=now)
        share = shares[rng.randrange(ROUTERS)]
        share.record_request(now)
        requests.append(now)
        for _ in range(3 if now > fails_at else 0):
            if share.try_spend(now):
                retries.append(now)
    assert worst_excess_over_time(requests, retries, SETTINGS) <= 0


@pytest.mark.parametrize("stay_s", [1.0, 3.0, 10.0])
@pytest.mark.parametrize("seed", range(6))
def test_callers_move_to_routers_with_their_whole_share(seed, stay_s):
    """Sends all requests to one router after the other while they fail."""
    rng = Random(f"{seed} {stay_s}")
    shares = [RetryShare(SETTINGS, lambda: ROUTERS) for _ in range(ROUTERS)]
    requests, retries = [], []
    rate, now, moved_at, router = rng.uniform(20.0, 200.0), 0.0, 0.0, 0
    fails_at = 10.0 + rng.uniform(0.0, 2.0) * stay_s
    while now < fails_at + 15.0:
        now += rng.expovariate(rate)
        if now > moved_at + stay_s:
            moved_at, router = now, rng.randrange(ROUTERS)
        share = shares[router]
        share.record_request(now)
        requests.append(now)
        for _ in range(3 if now > fails_at else 0):
            if share.try_spend(now):
                retries.append(now)
    assert worst_excess_over_time(requests, retries, SETTINGS) <= 0


def test_without_a_share_the_same_load_passes_it():
    class OneRetryPerRequest:
        def __init__(self):
            self.left = 0

        def record_request(self, now):
            self.left += 1

        def try_spend(self, now):
            self.left -= 1
            return self.left >= 0 or self.reset()

        def reset(self):
            self.left = 0
            return False

    requests, retries = run_fleet([(0, 0.1, 30)] * 10, OneRetryPerRequest)
    assert worst_excess(requests, retries) > 0


@pytest.fixture
def share():
    return RetryShare(RetryShareSettings(fixed=1_000.0), lambda: 1)


def route_retries(kind, attempts, **options):
    route = Route(
        "r", "h", "/", kind, {"s": 1.0}, 5, 1, max_attempts=attempts, **options
    )
    return RouteRetries(route, deadline=5.0)


@pytest.mark.parametrize(
    ("kind", "ran", "may"),
    [
        (RequestKind.idempotent, "unknown", True),
        (RequestKind.idempotent, "no", True),
        (RequestKind.non_idempotent, "unknown", False),
        (RequestKind.non_idempotent, "no", True),
        (RequestKind.streaming, "unknown", False),
    ],
)
def test_only_safe_attempts_are_repeated(share, kind, ran, may):
    retries = route_retries(kind, 2)
    retries.start(0.0, share)
    assert retries.may_retry(AttemptFailure("server_failed", ran), 0.1, share) is may


def test_attempts_that_may_have_run_are_bounded_by_the_route(share):
    retries = route_retries(RequestKind.idempotent, 2)
    answers = []
    for _ in range(3):
        retries.start(0.0, share)
        failure = AttemptFailure("server_failed", "unknown")
        answers.append(retries.may_retry(failure, 0.1, share))
    assert answers == [True, False, False]


def test_begun_stream_is_given_up_without_a_retry_for_the_way_back():
    share = RetryShare(RetryShareSettings(0.0, 3.0, safety=1.0), lambda: 1)
    streams = [route_retries(RequestKind.streaming, 2, is_resumable=True) for _ in "ab"]
    for retries in streams:
        retries.start(0.0, share)
    moved = [retries.try_move_on(0.1, share, is_begun=True) for retries in streams]
    assert moved == [True, False]
    failure = AttemptFailure("server_failed", "unknown")
    assert streams[0].may_retry(failure, 0.1, share)
    assert share.try_spend(0.1) and not share.try_spend(0.1)
    assert streams[0].try_send_later(0.3, share, is_paid=False)
    assert not streams[0].try_send_later(0.5, share, is_paid=False)


def test_retry_for_the_way_back_is_lost_though_no_server_refuses(share):
    retries = route_retries(RequestKind.streaming, 2, is_resumable=True)
    retries.start(0.0, share)
    assert retries.try_move_on(0.1, share, is_begun=True) and share.retries == 2
    for _ in range(2):
        retries.return_kept(share)
    assert share.retries == 1
