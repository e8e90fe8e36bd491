"""An unproven version gets no more requests than its order allows.

Guards against versions that are taken for good on few answers, against counts that are
lost with the processes that keep them, and against lists of servers without the old
version.
"""

import itertools
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from pistachiowell.gateway.moves.move_orders import MoveOrder, MoveState
from pistachiowell.gateway.moves.moves import GatewayMoves
from pistachiowell.gateway.moves.tests.test_moves import (
    DURATION_S,
    SERVERS,
    Simulation,
    Streams,
)
from pistachiowell.moves import trial
from pistachiowell.moves.judges import judge_naively
from pistachiowell.schema.generated.messages_moves import TrialPermit
from pistachiowell.store.era import REVISION_BITS

pytestmark = pytest.mark.anyio

SHORT_ANSWERS = (-4.0, 0.5)
OLD_SERVERS = [s for s in SERVERS if s.version == "v1"]
NEW_SERVERS = [s for s in SERVERS if s.version == "v2"]


def allowed_requests(sent):
    """Returns how many requests of a whole move a new version may get."""
    return 0.1 * len(sent) + 50


async def play_whole_move(slowdown, rate_rps, seed, wait_s=1.5, faults=None):
    """Plays a plain service to the end of its order, also after an early decision.

    Args:
        slowdown: See ``Streams``.
        rate_rps: Requests per second.
        seed: Seed of the draws.
        wait_s: Seconds after which a caller leaves.
        faults: Functions that are called with the simulation, by the step.

    Returns:
        The simulation and the versions to which requests were sent.
    """
    simulation = Simulation()
    for gateway in simulation.gateways:
        gateway.filter_servers("desk", OLD_SERVERS)
    simulation.apply_orders()
    steps = itertools.count(1)
    streams = Streams(
        simulation, slowdown, rate_rps, seed, rest=SHORT_ANSWERS, wait_s=wait_s
    )
    while simulation.time < 100.0 + DURATION_S:
        await simulation.step()
        streams.step(0.1)
        (faults or {}).get(next(steps), lambda simulation: None)(simulation)
    return simulation, streams.sent


def kill_gateways(simulation):
    """Replaces all gateways by new runs."""
    simulation.gateways = [simulation.make_gateway() for _ in range(3)]
    simulation.apply_orders()


def kill_one_gateway(simulation):
    """Replaces one gateway by a new run."""
    simulation.gateways[0] = simulation.make_gateway()
    simulation.apply_orders()


def kill_judge(simulation):
    """Replaces the judge by another one."""
    simulation.start_judge()
    simulation.apply_orders()


def return_from_copy(simulation):
    """Lets the store return from a copy that ``take_copy`` has taken."""
    simulation.return_from_copy()


def take_copy(simulation):
    """Takes a copy of the store."""
    simulation.take_copy()


FAULTS = {
    "none": {},
    "gateways": {20: kill_gateways, 50: kill_gateways, 80: kill_gateways},
    "judges": {30: kill_judge, 60: kill_judge, 100: kill_judge},
    "both": {30: kill_judge, 45: kill_gateways, 60: kill_judge, 90: kill_gateways},
    "both at once": {
        40: lambda simulation: (kill_judge(simulation), kill_gateways(simulation))
    },
    "store": {
        30: take_copy,
        60: return_from_copy,
        85: take_copy,
        113: return_from_copy,
    },
    "store and judge": {
        30: take_copy,
        58: kill_one_gateway,
        60: lambda simulation: (return_from_copy(simulation), kill_judge(simulation)),
    },
    "end is lost": {108: take_copy, 117: return_from_copy, 118: kill_one_gateway},
}


@pytest.fixture
def blind_judge(monkeypatch):
    """Makes every judge find every version good."""
    monkeypatch.setattr(trial, "find_judge", lambda name: judge_naively)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("rate_rps", [3, 17, 60, 150])
@pytest.mark.parametrize("faults", FAULTS)
async def test_version_taken_for_good_at_once_gets_too_many_requests(
    blind_judge, faults, rate_rps, seed
):
    _, sent = await play_whole_move((1, 1), rate_rps, seed, faults=FAULTS[faults])
    assert sent.count("v2") <= allowed_requests(sent)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("rate_rps", [17, 60])
# Nobody knows the age of an order if all are killed at once, and what killed processes
# were permitted counts as used.
@pytest.mark.parametrize("faults", sorted(FAULTS.keys() - {"both", "both at once"}))
async def test_good_version_is_late_as_its_judges_are_killed(faults, rate_rps, seed):
    simulation, _ = await play_whole_move((1, 1), rate_rps, seed, faults=FAULTS[faults])
    assert simulation.state is MoveState.completed


async def test_state_that_the_store_has_lost_is_written_again():
    simulation = Simulation()
    simulation.state = MoveState.in_progress
    simulation.apply_orders()
    simulation.take_copy()
    simulation.state = MoveState.completed
    simulation.version += 1
    simulation.apply_orders()
    simulation.return_from_copy()
    await simulation.step()
    assert simulation.state is MoveState.completed


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("rate_rps", [8, 17, 60])
@pytest.mark.parametrize("factor", [2, 3, 5])
async def test_slow_version_is_taken_for_good_and_gets_too_many_requests(
    factor, rate_rps, seed
):
    _, sent = await play_whole_move((factor, factor), rate_rps, seed)
    assert sent.count("v2") <= allowed_requests(sent)


def moves_of_one_gateway():
    """Returns a ``GatewayMoves`` that has seen the old version serve."""
    runtime = SimpleNamespace(now=lambda: 100.0)
    moves = GatewayMoves(runtime, None, Random(1))
    moves.apply_orders({})
    moves.filter_servers("desk", OLD_SERVERS)
    return moves


def order(state, version=7, target="v2"):
    """Returns a ``MoveOrder`` of the service."""
    return {"desk": MoveOrder("desk", target, DURATION_S, state, version)}


def test_list_without_the_old_version_establishes_a_rejected_one():
    moves = moves_of_one_gateway()
    moves.apply_orders(order(MoveState.in_progress))
    moves.apply_orders(order(MoveState.rolled_back, 8))
    assert moves.filter_servers("desk", NEW_SERVERS) == []
    assert moves.filter_servers("desk", SERVERS) == OLD_SERVERS


def test_open_move_without_an_old_server_sends_everything_to_the_new_version():
    moves = moves_of_one_gateway()
    moves.apply_orders(order(MoveState.in_progress))
    assert moves.filter_servers("desk", NEW_SERVERS) == []


@pytest.mark.parametrize("state", [MoveState.rolled_back, MoveState.completed])
def test_ended_move_begins_again_as_the_store_has_lost_its_status(state):
    moves = moves_of_one_gateway()
    moves.apply_orders(order(MoveState.in_progress))
    moves.apply_orders(order(state, 8))
    moves.apply_orders(order(MoveState.ordered, (1 << REVISION_BITS) + 7))
    assert moves.tracker("desk") is None
    served = OLD_SERVERS if state is MoveState.rolled_back else NEW_SERVERS
    assert moves.filter_servers("desk", SERVERS) == served


def test_version_is_used_before_the_orders_are_read_beside_another():
    moves = GatewayMoves(SimpleNamespace(now=lambda: 100.0), None, Random(1))
    assert moves.filter_servers("desk", SERVERS) == []
    moves.apply_orders(order(MoveState.in_progress))
    assert moves.filter_servers("desk", SERVERS) == OLD_SERVERS


def test_request_that_waited_starts_at_a_version_rejected_meanwhile():
    moves = moves_of_one_gateway()
    moves.apply_orders(order(MoveState.rolled_back))
    assert not moves.may_start("desk", NEW_SERVERS[0])
    assert moves.may_start("desk", OLD_SERVERS[0])


def test_answers_of_servers_that_still_warm_up_count_against_their_version():
    moves = moves_of_one_gateway()
    moves.apply_orders(order(MoveState.in_progress))
    permit = TrialPermit("desk", "v2", 1.0, 5, 2.0)
    moves.apply_permit(permit, 100.0)
    cold = [replace(server, cold_left_s=2.0) for server in NEW_SERVERS]
    assert moves.filter_servers("desk", OLD_SERVERS + cold) == OLD_SERVERS
    assert moves.filter_servers("desk", SERVERS) == NEW_SERVERS


@pytest.mark.parametrize("old_servers", [OLD_SERVERS, []])
def test_gateway_sends_more_requests_than_it_was_permitted(old_servers):
    moves = moves_of_one_gateway()
    moves.apply_orders(order(MoveState.in_progress))
    moves.apply_permit(TrialPermit("desk", "v2", 1.0, 5, 2.0), 100.0)
    sent = 0
    for _ in range(20):
        servers = moves.filter_servers("desk", old_servers + NEW_SERVERS)
        if servers == NEW_SERVERS:
            moves.record_start("desk", servers[0], 100.0)
            sent += 1
    assert sent == 5


def test_unproven_version_serves_as_the_order_changes_its_target():
    moves = moves_of_one_gateway()
    moves.apply_orders(order(MoveState.in_progress))
    moves.apply_orders(order(MoveState.ordered, 9, target="v3"))
    newest = [replace(server, version="v3") for server in NEW_SERVERS]
    assert moves.filter_servers("desk", SERVERS + newest) == OLD_SERVERS
    assert moves.filter_servers("desk", NEW_SERVERS + newest) == []


def test_version_without_an_order_serves_beside_a_trial():
    moves = moves_of_one_gateway()
    moves.apply_orders(order(MoveState.in_progress))
    unnamed = [replace(server, version="v3") for server in NEW_SERVERS]
    assert moves.filter_servers("desk", SERVERS + unnamed) == OLD_SERVERS
