"""Rate limits that servers name, without a network."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiowell.admission import (
    Incarnation,
    Observation,
    RateLimits,
    RateSettings,
    RateSlots,
)

DESK = Incarnation("desk-1", 7)
WINDOW_S = 4.0


@pytest.fixture
def limits():
    limits = RateLimits(RateSettings())
    limits.observe(DESK, Observation(2.0, 0.0), 0.0)
    return limits


def admitted_at(limits, rank, until, interval_s=0.01):
    """Returns the times of the requests that are admitted under endless demand."""
    times = [number * interval_s for number in range(int(until / interval_s))]
    return [now for now in times if not limits.try_take(DESK, rank, now)]


def most_in_a_window(times):
    return max(sum(a <= t < a + WINDOW_S for t in times) for a in times)


def test_rate_is_kept_and_used(limits):
    times = admitted_at(limits, 0, 20.0)
    assert 39 <= len(times) <= 41
    assert most_in_a_window(times) <= 2.0 * WINDOW_S + 1


def test_saved_room_is_bounded(limits):
    limits.try_take(DESK, 0, 0.0)
    late = [limits.try_take(DESK, 0, 100.0) for _ in range(10)]
    assert late.count(0.0) == 3


def test_limit_begins_without_room(limits):
    assert limits.try_take(DESK, 0, 0.0) == pytest.approx(0.5)


def test_urgent_requests_go_first(limits):
    admitted = {0: 0, 3: 0}
    for step in range(2_000):
        now = step * 0.01
        for rank in (3, 0):
            admitted[rank] += not limits.try_take(DESK, rank, now)
    assert admitted[0] >= 38
    assert admitted[3] <= 2


def test_less_urgent_requests_get_what_urgent_ones_leave(limits):
    admitted = {0: 0, 3: 0}
    for step in range(2_000):
        now = step * 0.01
        admitted[3] += not limits.try_take(DESK, 3, now)
        if step % 100 == 0:
            admitted[0] += not limits.try_take(DESK, 0, now)
    assert admitted[0] >= 19
    assert 16 <= admitted[3] <= 21


@pytest.mark.parametrize("per_s", [None, 5.0])
def test_older_answer_does_not_undo_a_newer_one(limits, per_s):
    assert not limits.observe(DESK, Observation(per_s, -1.0), 0.5)
    assert not limits.observe(DESK, Observation(per_s, 0.0), 0.5)
    assert limits.latest(DESK).per_s == 2.0


def test_limit_ends_with_an_answer_without_it_to_a_later_request(limits):
    assert limits.observe(DESK, Observation(None, 0.5), 1.0)
    assert not limits.in_force
    assert limits.try_take(DESK, 9, 1.0) == 0.0
    assert not limits.observe(DESK, Observation(2.0, 0.4), 1.1)
    assert limits.observe(DESK, Observation(2.0, 1.2), 1.3)


def test_new_incarnation_starts_without_a_limit(limits):
    assert limits.try_take(Incarnation("desk-1", 8), 0, 0.0) == 0.0


def test_changed_limit_takes_effect_at_once(limits):
    admitted_at(limits, 0, 5.0)
    limits.observe(DESK, Observation(20.0, 5.0), 5.0)
    times = [5 + n * 0.01 for n in range(1_000)]
    assert 190 <= sum(not limits.try_take(DESK, 0, now) for now in times) <= 201
    limits.observe(DESK, Observation(1.0, 15.0), 15.0)
    times = [15 + n * 0.01 for n in range(1_000)]
    assert sum(not limits.try_take(DESK, 0, now) for now in times) <= 12


def test_server_that_takes_nothing_is_still_asked_now_and_then(limits):
    limits.observe(DESK, Observation(0.0, 1.0), 1.0)
    times = [t for t in admitted_at(limits, 0, 40.0) if t > 10.0]
    assert 5 <= len(times) <= 7


@given(per_s=st.floats(0.0, 1e12), rank=st.integers(-5, 20))
def test_wait_is_finite_for_any_rate(per_s, rank):
    limits = RateLimits(RateSettings())
    limits.observe(DESK, Observation(per_s, 0.0), 0.0)
    assert 0.0 <= limits.try_take(DESK, rank, 0.0) <= 10.0


@pytest.mark.parametrize("routers", [2, 4, 30, 350])
def test_turns_of_routers_without_an_agent_keep_to_the_sum(routers):
    settings, per_s = RateSettings(), 2.5
    slots = [RateSlots(settings, n / routers) for n in range(routers)]
    times = sorted(
        now
        for slot in slots
        for now in (step * 0.05 for step in range(4_000))
        if not slot.try_take(per_s, routers, now)
    )
    assert most_in_a_window(times) <= (WINDOW_S + settings.slot_s) * per_s + 1
    assert len(times) >= 0.9 * 200.0 * per_s


def test_turn_that_is_not_used_is_not_saved():
    slots = RateSlots(RateSettings(), 0.0)
    assert [slots.try_take(2.0, 4, 20.0), slots.try_take(2.0, 4, 20.1)][0] == 0.0
    assert slots.try_take(2.0, 4, 20.2) == pytest.approx(1.8)
