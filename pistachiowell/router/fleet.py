"""Links to the registered processes."""

import contextlib

import anyio
import msgspec

from pistachiowell.core.errors import LinkLost
from pistachiowell.core.events import EventKind
from pistachiowell.platform.follow import follow_collection
from pistachiowell.schema.generated.objects_membership import AgentRecord, RouterRecord
from pistachiowell.wire import connect

RECONNECT_DELAY_S = 0.3


class Peer:
    """A registered process and the link to it.

    Attributes:
        record: The ``AgentRecord`` or ``RouterRecord``.
        link: The ``Link``; None while there is none.
        load: Latest ``LoadReport`` of an agent; None before the first.
        leaving: Whether the process has said that it leaves.
        scope: Cancel scope of the task that keeps the link.
    """

    __slots__ = ("leaving", "link", "load", "record", "scope")

    def __init__(self, record):
        self.record = record
        self.link = None
        self.load = None
        self.leaving = False
        self.scope = anyio.CancelScope()

    @property
    def usable(self):
        """Whether there is a link and the process takes new work."""
        return self.link is not None and not self.link.closed and not self.leaving


class Fleet:
    """Keeps links to all agents and to the other routers.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of messages that come over the links.
    """

    __slots__ = ("_agents", "_handlers", "_routers", "_runtime")

    def __init__(self, runtime, handlers):
        self._runtime = runtime
        self._handlers = handlers
        self._agents = {}
        self._routers = {}

    @property
    def agents(self):
        """The agents as ``Peer`` by name."""
        return self._agents

    @property
    def routers(self):
        """The other routers as ``Peer`` by name."""
        return self._routers

    async def run(self):
        """Follows the registrations and keeps the links until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow, group, "agents", AgentRecord, self._agents)
            group.start_soon(
                self._follow, group, "routers", RouterRecord, self._routers
            )

    async def _follow(self, group, collection, record_class, peers):
        async for values in follow_collection(self._runtime.store, collection):
            decoded = [
                msgspec.json.decode(value, type=record_class)
                for value in values.values()
            ]
            records = {
                record.id: record
                for record in decoded
                if record.incarnation != self._runtime.incarnation
            }
            self._update(group, records, peers)

    def _update(self, group, records, peers):
        for name in list(peers):
            if records.get(name) != peers[name].record:
                peers.pop(name).scope.cancel()
        for name, record in records.items():
            if name not in peers:
                peers[name] = Peer(record)
                group.start_soon(self._keep_link, peers[name])

    async def _keep_link(self, peer):
        with peer.scope:
            while True:
                with contextlib.suppress(LinkLost):
                    await self._hold_link(peer)
                peer.link = None
                await anyio.sleep(RECONNECT_DELAY_S)

    async def _hold_link(self, peer):
        record = peer.record
        host = record.host if isinstance(record, AgentRecord) else record.peer_host
        port = record.port if isinstance(record, AgentRecord) else record.peer_port
        runtime = self._runtime
        async with connect(
            host,
            port,
            runtime.hello,
            self._handlers,
            runtime.clock,
            tls=runtime.tls,
        ) as link:
            peer.link = link
            runtime.events.add(EventKind.peer_connected, text=record.id)
            await link.wait_closed()
        runtime.events.add(EventKind.peer_lost, text=record.id)
