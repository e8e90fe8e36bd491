"""Links to a subset of the peers: alike at all processes, whole again after losses.

Guards against links, and their heartbeats, that grow with gateways times agents, and
against a subset whose peers are all lost while others could serve.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiowell.membership import PeerSubset, SubsetSettings

SETTINGS = SubsetSettings()
NAMES = frozenset(f"agent-{number}" for number in range(40))
STEP_S = 0.25


def run(subset, names, lost, start_s, duration_s):
    """Plays a time in which all chosen peers but the lost ones are usable."""
    now, chosen = start_s, set()
    while now < start_s + duration_s:
        chosen = subset.choose(names, chosen - lost, now)
        now += STEP_S
    return chosen


def test_links_grow_with_the_number_of_agents():
    chosen = run(PeerSubset(SETTINGS), NAMES, set(), 0.0, 30.0)
    assert len(chosen) == SETTINGS.usable


def test_gateways_choose_the_same_agents():
    first = run(PeerSubset(SETTINGS), NAMES, set(), 0.0, 2.0)
    assert first == run(PeerSubset(SETTINGS), set(NAMES), set(), 7.0, 2.0)


@pytest.mark.parametrize("lost_count", [1, 8, 32, 39])
def test_loss_of_any_number_of_agents_leaves_gateways_with_agents(lost_count):
    subset = PeerSubset(SETTINGS)
    ranking = sorted(run(subset, NAMES, set(), 0.0, 5.0))
    lost = set((ranking + sorted(NAMES - set(ranking)))[:lost_count])
    usable = run(subset, NAMES, lost, 5.0, 6.0) - lost
    assert len(usable) >= min(SETTINGS.usable, len(NAMES) - lost_count)


def test_agents_that_are_back_replace_their_substitutes():
    subset = PeerSubset(SETTINGS)
    first = run(subset, NAMES, set(), 0.0, 5.0)
    assert run(subset, NAMES, first, 5.0, 10.0) > first
    assert run(subset, NAMES, set(), 15.0, 2 * SETTINGS.linger_s) == first


def test_gateways_that_have_lost_different_agents_agree_again_at_once():
    cut, other = PeerSubset(SETTINGS), PeerSubset(SETTINGS)
    first = run(other, NAMES, set(), 0.0, 10.0)
    run(cut, NAMES, set(), 0.0, 2.0)
    run(cut, NAMES, set(NAMES), 2.0, 8.0)
    chosen = run(cut, NAMES, set(), 10.0, 2.0)
    assert chosen > first
    assert {name for name in chosen if cut.is_needed(name)} == first


@given(st.sets(st.sampled_from(sorted(NAMES))), st.sets(st.sampled_from(sorted(NAMES))))
def test_only_registered_agents_are_chosen(names, later):
    subset = PeerSubset(SETTINGS)
    subset.choose(names, set(), 0.0)
    assert subset.choose(later, set(), 0.1) <= later
