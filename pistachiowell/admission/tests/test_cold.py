"""Guards against a surge at servers that are cold, without a network."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiowell.admission import (
    ColdAdmission,
    ColdSettings,
    ColdTimes,
    ColdTurns,
    Incarnation,
    divide_bound,
)
from pistachiowell.bench.cold_servers import BOUND, SITUATIONS, play

SETTINGS = ColdSettings(1.5, 5.0)
PER_S = 12.0
SERVER = Incarnation("s1", 5)


def most_within(times, window_s):
    return max((sum(a <= t <= a + window_s for t in times) for a in times), default=0)


@pytest.mark.parametrize("situation", SITUATIONS)
@pytest.mark.parametrize("gateways", [3, 40])
def test_surge_at_a_cold_server_exceeds_its_bound(situation, gateways):
    got = play("divided, three for gateways without an agent", situation, gateways)
    assert got.most_in_window <= BOUND
    # Nobody is starved either: one agent alone gives out two thirds of the rate.
    assert got.per_s > (0.65 * PER_S if situation == "one agent" else 1.0)


def test_two_agents_with_saved_room_exceed_the_bound():
    # What named limits use, and why cold servers do not.
    assert play("as for named limits", "two agents", 30).most_in_window > BOUND


@given(st.floats(0, 500), st.floats(1, 4), st.integers(0, 50))
def test_parts_exceed_the_bound(per_s, overshoot, extra):
    settings = ColdSettings(overshoot, extra)
    shares = divide_bound(settings, per_s)
    window_s = 1.0 + settings.permit_s
    agent = int(shares.agent_per_s * window_s) + 1 if shares.agent_per_s else 0
    turns = shares.gateways_a_turn * settings.turns_in_window
    assert 2 * agent + turns <= per_s * overshoot + extra + 1e-6


@given(st.lists(st.floats(0, 0.05), max_size=300), st.integers(1, 4))
def test_agents_that_follow_each_other_add_up(gaps, changes):
    # Each agent that takes over begins empty, so that kills in a row add little.
    shares = divide_bound(SETTINGS, PER_S)
    rng, now, times = Random(changes), 0.0, []
    takeovers = sorted(rng.uniform(0, 2) for _ in range(changes))
    admission = ColdAdmission()
    for gap in gaps:
        now += gap
        if takeovers and now >= takeovers[0]:
            takeovers.pop(0)
            admission = ColdAdmission()
        if not admission.try_take("s1", shares.agent_per_s, now):
            times.append(now)
    assert most_within(times, 1.0) <= shares.agent_per_s + 1 + changes


def test_gateway_that_the_others_do_not_know_adds_a_request_in_each_turn():
    known = {f"gate-{number}" for number in range(20)}
    names = [*known, "gate-new"]
    turns = {name: ColdTurns(SETTINGS, name) for name in names}
    sent = 0
    for number in range(200):
        for name in names:
            seen = known if name != "gate-new" else known | {name}
            sent += not turns[name].try_take("s1", 1, seen, number * SETTINGS.turn_s)
    assert 200 <= sent <= 230


def test_gateway_that_knows_no_others_takes_turns():
    assert ColdTurns(SETTINGS, "a").try_take("s1", 1, frozenset(), 7.0) > 0


def test_late_statement_ends_the_time_that_a_server_is_cold():
    times = ColdTimes()
    times.state(SERVER, 3.0, 10.0)
    times.state(SERVER, 0.0, 10.5)
    assert times.left_s(SERVER, 10.5) == 2.5
    times.state(SERVER, 0.0, 11.5)
    assert times.left_s(SERVER, 11.5) == 0.0


def test_server_that_is_cold_again_counts_as_cold_since_its_first_time():
    times = ColdTimes()
    assert times.state(SERVER, 1.0, 10.0)
    assert not times.state(SERVER, 0.5, 10.5)
    assert times.span(SERVER) == (10.0, 11.0)
    assert times.state(SERVER, 2.0, 20.0)
    assert times.span(SERVER) == (20.0, 22.0)
