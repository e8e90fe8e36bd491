"""Retries of a fleet that grows and shrinks while every request fails.

Guards against routers that take what others have left over while the retries of these
still count.
"""

from random import Random

import pytest

from pistachiowell.routing import RetryShare, RetryShareSettings, RouterCount
from pistachiowell.routing.tests.retry_excess import worst_excess_over_time

SETTINGS = RetryShareSettings(ratio=0.2, fixed=50.0, window_s=10.0)
COUNT_INTERVAL_S = 5.0
REGISTERED_AFTER_S = 0.5
LIST_AFTER_S = 1.0
OUTAGE_S = 15.0


class Router:
    """A router that counts the registered routers from time to time."""

    def __init__(self, now, rng):
        self.registered_at = now + REGISTERED_AFTER_S * rng.random()
        self.counts_at = now + LIST_AFTER_S * rng.random()
        self.count = RouterCount(SETTINGS)
        self.now = now
        self.share = RetryShare(
            SETTINGS, lambda: self.count.largest(self.now), now, lambda: False
        )

    def advance(self, now, registered):
        self.now = now
        if now >= self.counts_at:
            self.count.record(registered, now)
            self.counts_at += COUNT_INTERVAL_S


def play(rng, start_s, joining, staying):
    """Returns the requests and retries of a fleet that changes in an outage.

    Args:
        rng: A ``Random``.
        start_s: Seconds from the start of the fleet to the outage.
        joining: Number of routers that start at once in it.
        staying: Number of routers that are left when others leave at once.
    """
    routers = [Router(0.0, rng) for _ in range(12)]
    joins_at, leaves_at = (start_s + rng.uniform(1.0, 6.0) for _ in range(2))
    rate, now, requests, retries = rng.uniform(5.0, 20.0), 0.0, [], []
    while now < start_s + OUTAGE_S:
        now += rng.expovariate(rate)
        if now > leaves_at:
            leaves_at = float("inf")
            del routers[staying:]
        if now > joins_at:
            joins_at = float("inf")
            routers += [Router(now, rng) for _ in range(joining)]
        registered = sum(router.registered_at <= now for router in routers)
        for router in routers:
            router.advance(now, registered)
        share = rng.choice(routers).share
        share.record_request(now)
        requests.append(now)
        for _ in range(6 if now > start_s else 0):
            if share.try_spend(now):
                retries.append(now)
    return requests, retries


@pytest.mark.parametrize(("joining", "staying"), [(0, 2), (20, 12), (6, 2)])
@pytest.mark.parametrize("start_s", [1.0, 12.0, 25.0])
@pytest.mark.parametrize("seed", range(6))
def test_routers_take_retries_that_others_have_used(seed, start_s, joining, staying):
    rng = Random(f"{seed} {start_s} {joining} {staying}")
    requests, retries = play(rng, start_s, joining, staying)
    assert worst_excess_over_time(requests, retries, SETTINGS) <= 0
