"""Guards against ends of evacuations that a process takes for known."""

import pytest

from pistachiowell.admission import EvacuationKnowledge
from pistachiowell.admission.evacuation_knowledge import MAX_UNCONFIRMED_S


@pytest.fixture
def knowledge():
    """Returns what a process knows that has read the state at 10 s."""
    knowledge = EvacuationKnowledge()
    knowledge.confirm(10.0)
    return knowledge


def test_process_that_starts_knows_what_ended_before(knowledge):
    assert EvacuationKnowledge().known_s(10.0) == 0.0
    assert knowledge.known_s(11.5) == 1.5
    # A process that itself has known less adds nothing.
    knowledge.extend(11.0)
    assert knowledge.since == 10.0


def test_process_that_heard_nothing_vouches_for_the_time(knowledge):
    knowledge.extend(0.0)
    later = 10.0 + 1.5 * MAX_UNCONFIRMED_S
    assert knowledge.known_s(later) == 0.0
    knowledge.confirm(later)
    assert knowledge.known_s(later + 1.0) == 1.0
    assert knowledge.read_at == later


def test_changes_that_were_read_later_make_servers_cold(knowledge):
    later = 10.0 + 10 * MAX_UNCONFIRMED_S
    knowledge.keep(later)
    knowledge.confirm(later)
    assert knowledge.since == 10.0
