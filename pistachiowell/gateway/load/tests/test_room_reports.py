"""Reports of the room of gateways, through an agent.

Guards against messages that grow with the fleet, against old and implausible reports,
and against gateways of another data centre.
"""

import math
from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.gateway.load.room_owner import MAX_TOLD, RoomOwner
from pistachiowell.schema.generated.messages_gateway import GatewayRoom
from pistachiowell.wire import Handlers, LinkSet

pytestmark = pytest.mark.anyio


class FakeLink:
    """Records what is sent to a gateway."""

    closed = False

    def __init__(self):
        self.sent = []
        self.close = lambda: None

    def send(self, message):
        """Records a message."""
        self.sent.append(message)

    def add_close_listener(self, function):
        """Registers a function to call at the end."""
        self.close = function


class Clock:
    """A clock that a test sets."""

    now_s = 100.0

    def now(self):
        """Returns the time in seconds."""
        return self.now_s


@pytest.fixture
def owner():
    """Returns an agent with its clock and a function that reports a gateway's room."""
    clock, handlers, links = Clock(), Handlers(), LinkSet()
    owner = RoomOwner(clock, links, handlers)

    async def report(
        address,
        busy,
        room_per_s,
        link=None,
        data_centre="east",
        leaving=False,
        excess=0.0,
    ):
        if link is None:
            link = FakeLink()
            links.add(link)
        message = GatewayRoom(data_centre, address, busy, room_per_s, excess, leaving)
        await handlers.find(message)(link, message)
        return link

    return SimpleNamespace(clock=clock, report=report, run=owner.run)


async def run_round(owner):
    """Lets the agent tell the gateways once."""
    with anyio.move_on_after(0.05):
        await owner.run()


async def test_gateway_near_its_limit_is_told_of_the_eight_with_the_most_room(owner):
    full = await owner.report("full:1", 0.95, 0.0)
    idle = [await owner.report(f"idle:{n}", 0.1, 10.0 + n) for n in range(40)]
    await owner.report("far:1", 0.0, 500.0, data_centre="west")
    await run_round(owner)
    rooms = full.sent[-1].rooms
    assert {room.address for room in rooms} == {f"idle:{n}" for n in range(32, 40)}
    assert len(rooms) == MAX_TOLD
    assert not any(link.sent for link in idle)


async def test_gateways_over_their_limit_share_the_room_by_their_excess(owner):
    first = await owner.report("full:1", 0.95, 0.0, excess=30.0)
    second = await owner.report("full:2", 0.95, 0.0, excess=10.0)
    await owner.report("idle:1", 0.1, 100.0)
    await run_round(owner)
    parts = [link.sent[-1].rooms[0].room_per_s for link in (first, second)]
    assert parts == [75.0, 25.0]


async def test_report_that_is_old_or_no_number_is_not_told(owner):
    await owner.report("old:1", 0.1, 50.0)
    owner.clock.now_s += 1.6
    await owner.report("odd:1", 0.1, math.nan)
    full = await owner.report("full:1", 0.95, 0.0)
    await run_round(owner)
    assert not full.sent


async def test_gateway_that_has_gone_is_not_told(owner):
    gone = await owner.report("gone:1", 0.1, 50.0)
    full = await owner.report("full:1", 0.95, 0.0)
    gone.close()
    await run_round(owner)
    assert not full.sent


async def test_gateway_that_leaves_is_announced_at_once(owner):
    full = await owner.report("full:1", 0.95, 0.0)
    link = await owner.report("other:1", 0.1, 50.0)
    await owner.report("other:1", 0.1, 0.0, link, leaving=True)
    assert full.sent[-1].left == ["other:1"]
