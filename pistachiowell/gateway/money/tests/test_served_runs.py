"""The list of gateways that an agent may reserve tokens for.

Guards against tokens reserved for a gateway that the next run of the agent would not
ask, and against a write to the store for each gateway that starts.
"""

from types import SimpleNamespace

import anyio
import msgspec
import pytest

from pistachiowell.budgets import GrantHolder
from pistachiowell.budgets.lost_runs import LostRuns
from pistachiowell.budgets.served_runs import COLLECTION, UNLINKED_S
from pistachiowell.core.errors import OwnerUnready
from pistachiowell.gateway.money.served_runs import OUTAGE_CACHE_S, ServedRunsWriter
from pistachiowell.schema.generated.objects_budgets import ServedRuns
from pistachiowell.store.memory import MemoryStore
from pistachiowell.wire import LinkSet

pytestmark = pytest.mark.anyio

AGENT = "agent"
GATEWAYS = 30


class GatewayLink:
    """A link to a gateway run."""

    def __init__(self, run, gateway):
        self.hello = SimpleNamespace(role="router", incarnation=run, id=gateway)
        self.close = lambda: None

    def add_close_listener(self, function):
        self.close = function


class Rig:
    """The list of one run of an agent over a shared store."""

    def __init__(self, store, incarnation):
        self.now = 100.0
        self.lost = LostRuns()
        self.links = LinkSet()
        runtime = SimpleNamespace(
            store=store, now=lambda: self.now, settings=SimpleNamespace(id=AGENT)
        )
        holder = GrantHolder(incarnation, 1)
        self.writer = ServedRunsWriter(runtime, holder, self.links, self.lost)

    def link(self, run, gateway=None):
        """Adds a link to a run of a gateway and returns it."""
        link = GatewayLink(run, gateway or run)
        self.links.add(link)
        return link


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def rig(store):
    return Rig(store, "run-1")


def stored(store):
    """Returns the ``ServedRuns`` in the store."""
    return msgspec.json.decode(
        store.table.get(COLLECTION, AGENT).value, type=ServedRuns
    )


async def test_many_gateways_cost_few_writes(store, rig):
    async with anyio.create_task_group() as group:
        for number in range(GATEWAYS):
            rig.link(f"gate-{number}")
            group.start_soon(rig.writer.ensure_listed, f"gate-{number}")
    assert len(stored(store).current.gateways) == GATEWAYS
    assert store.table.version <= 2


async def test_outage_holds_up_only_gateways_that_are_not_listed(store, rig):
    await rig.writer.ensure_listed("gate-1")
    store.faults.down = True
    await rig.writer.ensure_listed("gate-1")
    with pytest.raises(OwnerUnready):
        await rig.writer.ensure_listed("gate-2")
    store.faults.down = False
    rig.now += OUTAGE_CACHE_S
    await rig.writer.ensure_listed("gate-2")
    assert stored(store).current.gateways == ["gate-1", "gate-2"]


async def test_write_without_effect_lists_nobody(store, rig):
    store.faults.drop_writes = 4
    with pytest.raises(OwnerUnready):
        await rig.writer.ensure_listed("gate-1")


async def test_ended_gateway_is_taken_off_the_list(store, rig):
    ended = rig.link("gate-1")
    rig.link("gate-2")
    await rig.writer.ensure_listed("gate-1")
    ended.close()
    await rig.writer.check()
    rig.now += UNLINKED_S
    await rig.writer.check()
    assert stored(store).current.gateways == ["gate-2"]


async def test_replaced_gateway_run_is_taken_off_the_list_at_once(store, rig):
    ended = rig.link("run-a", "gate")
    await rig.writer.ensure_listed("run-a")
    await rig.writer.check()
    ended.close()
    rig.link("run-b", "gate")
    await rig.writer.check()
    assert stored(store).current.gateways == ["run-b"]


async def test_gateway_that_links_again_in_an_outage_is_still_served(store, rig):
    link = rig.link("gate-1")
    await rig.writer.ensure_listed("gate-1")
    link.close()
    await rig.writer.check()
    rig.now += UNLINKED_S
    store.faults.down = True
    await rig.writer.check()
    rig.link("gate-1")
    await rig.writer.ensure_listed("gate-1")
    await rig.writer.ensure_listed("gate-1")


async def test_gateway_taken_off_by_a_write_in_doubt_is_listed_again(store, rig):
    link = rig.link("gate-1")
    rig.link("gate-2")
    await rig.writer.ensure_listed("gate-1")
    link.close()
    await rig.writer.check()
    rig.now += UNLINKED_S
    store.faults.drop_writes = 4
    await rig.writer.check()
    rig.link("gate-1")
    await rig.writer.ensure_listed("gate-1")


async def test_list_of_a_killed_run_outlives_the_next_one(store, rig):
    await rig.writer.ensure_listed("gate-1")
    await Rig(store, "run-2").writer.ensure_listed("gate-2")
    third = Rig(store, "run-3")
    await third.writer.ensure_listed("gate-3")
    lost = [(run.holder, run.gateways) for run in third.lost.records]
    assert lost == [("run-1", ["gate-1"]), ("run-2", ["gate-2"])]


async def test_replaced_run_lists_no_more_gateways(store, rig):
    await rig.writer.ensure_listed("gate-1")
    await Rig(store, "run-2").writer.ensure_listed("gate-2")
    with pytest.raises(OwnerUnready):
        await rig.writer.ensure_listed("gate-3")
    assert stored(store).current.holder == "run-2"
