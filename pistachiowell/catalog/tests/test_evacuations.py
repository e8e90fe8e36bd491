"""Guards against evacuations that an older state ends or that nobody has confirmed."""

import pytest

from pistachiowell.catalog import Evacuations
from pistachiowell.catalog.evacuations import MAX_UNCONFIRMED_S, RETURN_HOLD_S


@pytest.fixture
def evacuations():
    """Returns evacuations of ``east`` that were read at revision 7 of era 1."""
    evacuations = Evacuations(is_used=True)
    evacuations.apply({"east"}, (1, 7), 0.0)
    evacuations.confirm(0.0)
    return evacuations


def test_late_state_ends_an_evacuation(evacuations):
    assert not evacuations.apply((), (1, 6), 1.0)
    assert not evacuations.apply((), (0, 900), 1.0)
    assert evacuations.is_evacuated("east", 1.0)
    assert evacuations.apply((), (1, 8), 2.0)
    assert not evacuations.is_evacuated("east", 2.0)
    assert evacuations.ended_at("east", 3.0) == 2.0


def test_return_of_the_store_ends_an_evacuation_at_once(evacuations):
    evacuations.apply((), (2, 3), 5.0)
    assert evacuations.is_evacuated("east", 5.0 + RETURN_HOLD_S / 2)
    assert evacuations.ended_at("east", 6.0) is None
    assert not evacuations.is_evacuated("east", 5.0 + RETURN_HOLD_S)
    assert evacuations.ended_at("east", 30.0) == 5.0 + RETURN_HOLD_S


def test_evacuation_written_again_ends_with_the_hold_after_a_return(evacuations):
    evacuations.apply((), (2, 3), 5.0)
    evacuations.apply({"east"}, (2, 4), 6.0)
    assert evacuations.is_evacuated("east", 6.0 + 2 * RETURN_HOLD_S)


def test_process_that_heard_nothing_in_an_outage_sends_before_it_knows(evacuations):
    evacuations.require_confirmation(MAX_UNCONFIRMED_S / 2)
    assert evacuations.is_known
    evacuations.require_confirmation(2 * MAX_UNCONFIRMED_S)
    assert not evacuations.is_known
    evacuations.confirm(2 * MAX_UNCONFIRMED_S)
    assert evacuations.is_known


def test_deployment_without_evacuations_waits_for_them():
    assert Evacuations(is_used=False).is_known
