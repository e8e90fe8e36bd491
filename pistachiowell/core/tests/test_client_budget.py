"""Which connections give way, replayed without a network.

Guards against strangers that hold the descriptors or the memory of a process, and
against budgets that refuse ordinary requests beside them.
"""

import pytest

from pistachiowell.core.client_budget import SMALL_BYTES, ClientBudget, ClientLimits
from pistachiowell.core.connection_order import Stage

LIMIT = 1_000_000
LARGE = 400_000


@pytest.fixture
def budget():
    return ClientBudget(ClientLimits(connections=4, held_bytes=LIMIT))


def fill(budget, stage, held_bytes, count):
    """Adds connections that are in a stage and hold bytes; they stay if they may."""
    for number in range(count):
        budget.add(number, float(number))
        for other in budget.update(number, stage, held_bytes, float(number)):
            budget.remove(other)


def test_those_that_have_done_nothing_give_way_before_those_that_were_served(budget):
    fill(budget, Stage.serving, 0, 2)
    budget.add("served", 3.0)
    budget.update("served", Stage.idle, 0, 4.0)
    budget.add("silent", 5.0)
    assert budget.add("new", 6.0) == ["silent"]
    budget.remove("silent")
    budget.update("new", Stage.serving, 0, 7.0)
    assert budget.add("newer", 8.0) == ["served"]


def test_requests_in_progress_are_not_closed_for_a_new_connection(budget):
    fill(budget, Stage.serving, 0, 4)
    assert budget.add("new", 9.0) == ["new"]


def test_oldest_body_gives_way_to_a_new_one(budget):
    fill(budget, Stage.body, LARGE, 2)
    budget.add("new", 9.0)
    assert budget.update("new", Stage.body, LARGE, 9.0) == [0]


def test_answers_in_progress_are_not_closed_for_a_new_body(budget):
    fill(budget, Stage.serving, LARGE, 2)
    budget.add("new", 9.0)
    assert budget.update("new", Stage.body, LARGE, 9.0) == ["new"]


def test_small_request_is_let_in_without_room(budget):
    fill(budget, Stage.serving, LIMIT, 1)
    budget.add("new", 9.0)
    assert budget.update("new", Stage.head, SMALL_BYTES, 9.0) == []


def test_single_request_may_exceed_the_memory(budget):
    budget.add("new", 9.0)
    assert budget.update("new", Stage.body, 2 * LIMIT, 9.0) == []


def test_unread_answer_gives_way_to_one_that_is_read_from_a_server(budget):
    fill(budget, Stage.stalled, LARGE, 2)
    assert budget.hold_answers(LARGE) == [0]


@pytest.mark.parametrize("stage", Stage)
def test_bytes_are_given_back(budget, stage):
    fill(budget, stage, LARGE, 4)
    for number in range(4):
        budget.remove(number)
    assert (len(budget), budget.held_bytes) == (0, 0)
