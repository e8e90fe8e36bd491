"""Keeps links to the registered processes."""

import contextlib

import anyio

from pistachiowell.core.decoding import decode_entries
from pistachiowell.core.errors import STORE_ERRORS, LinkLost, LinkTimeout
from pistachiowell.core.events import EventKind
from pistachiowell.membership import MembershipSettings, PeerTable
from pistachiowell.schema.generated.messages_requests import Hello, Ping
from pistachiowell.schema.generated.objects_membership import AgentRecord, RouterRecord
from pistachiowell.store.follow import follow_collection
from pistachiowell.wire import connect

AGENTS = "agents"
ROUTERS = "routers"
RECONNECT_DELAY_S = 0.3
CHECK_INTERVAL_S = 0.25
VM_LIST_INTERVAL_S = 5.0
VM_LIST_READS_PER_S = 6.0
AGENT_MEMBERSHIP = MembershipSettings()
ROUTER_MEMBERSHIP = MembershipSettings(heartbeat_s=2.0, silence_s=5.0, drop_s=7.0)


def vm_list_interval_s(routers):
    """Returns the seconds between two reads of the VM list by one router.

    The interval grows with the fleet to bound the reads of all routers together. The
    list is only a hint, as a process that leaves notifies its peers itself.

    Args:
        routers: Number of routers.

    Examples:
        >>> vm_list_interval_s(2), vm_list_interval_s(300)
        (5.0, 50.0)
    """
    return max(VM_LIST_INTERVAL_S, routers / VM_LIST_READS_PER_S)


class Peer:
    """A registered process and the link to it.

    Args:
        record: The ``AgentRecord`` or ``RouterRecord``.
        peer_table: The ``PeerTable`` of its role.
        now: Function that returns the monotonic time in seconds.

    Attributes:
        is_chosen: Whether a link to the process is kept.
        is_needed: Whether the process gets new work.
        is_linking: Whether a task keeps the link.
        link: The ``Link``; None while it is not connected.
        registered: Whether the process is still registered. When it no longer is, the
            link stays open until the process closes it, so that requests in progress
            can finish.
        registered_version: Version of the registration in the store.
    """

    __slots__ = (
        "_now",
        "_peer_table",
        "is_chosen",
        "is_linking",
        "is_needed",
        "link",
        "record",
        "registered",
        "registered_version",
    )

    def __init__(self, record, registered_version, peer_table, now):
        self.record = record
        self.registered_version = registered_version
        self._peer_table = peer_table
        self._now = now
        self.is_chosen = False
        self.is_linking = False
        self.is_needed = True
        self.link = None
        self.registered = True

    @property
    def usable(self):
        """Whether the link is open and the process gets and accepts new work."""
        return self.is_needed and self.is_well

    @property
    def is_well(self):
        """Whether the link is open and the process accepts new work."""
        linked = self.link is not None and not self.link.closed
        return linked and self._peer_table.usable(self.record.id, self._now())

    @property
    def address(self):
        """IP address and TCP port of the process."""
        record = self.record
        if isinstance(record, AgentRecord):
            return record.host, record.port
        return record.peer_host, record.peer_port


class Fleet:
    """Keeps links to all agents and to the other routers.

    Whether a peer gets new work depends on its link, its heartbeats and its own notice
    that it leaves. The registrations and the VM list lag behind; they only say to which
    peers to connect and which may be about to leave.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the messages that come over the links.
        collections: Names of the store collections with the registrations of the peers.
        agent_subset: The ``PeerSubset`` of the agents to link to; None to link to all.
    """

    __slots__ = (
        "_agent_subset",
        "_agents",
        "_announced_links",
        "_by_link",
        "_collections",
        "_handlers",
        "_link_listeners",
        "_peer_tables",
        "_routers",
        "_runtime",
    )

    def __init__(
        self, runtime, handlers, collections=(AGENTS, ROUTERS), agent_subset=None
    ):
        self._runtime = runtime
        self._handlers = handlers
        self._agent_subset = agent_subset
        self._collections = collections
        self._agents = {}
        self._routers = {}
        self._by_link = {}
        self._announced_links = set()
        self._link_listeners = []
        self._peer_tables = {
            AgentRecord: PeerTable(AGENT_MEMBERSHIP),
            RouterRecord: PeerTable(ROUTER_MEMBERSHIP),
        }
        runtime.metrics.watch("agents.usable", lambda: _usable_count(self._agents))
        runtime.metrics.watch("routers.usable", lambda: _usable_count(self._routers))
        handlers.on(Hello)(self._handle_hello)

    @property
    def agents(self):
        """The registered agents as ``Peer`` by name."""
        return self._agents

    @property
    def routers(self):
        """The other registered routers as ``Peer`` by name."""
        return self._routers

    @property
    def links(self):
        """All open links."""
        return list(self._by_link)

    def add_link_listener(self, function):
        """Registers a function to call with each new link."""
        self._link_listeners.append(function)

    def incarnation_of(self, link):
        """Returns the registered incarnation of a link's peer; None if unknown."""
        peer = self._by_link.get(link)
        return peer.record.incarnation if peer is not None else None

    def router_of(self, incarnation):
        """Returns the usable ``Peer`` of a router incarnation, or None."""
        return _usable_peer(self._routers, incarnation)

    def agent_of(self, incarnation):
        """Returns the usable ``Peer`` of an agent incarnation, or None."""
        return _usable_peer(self._agents, incarnation)

    def linked_agent_of(self, incarnation):
        """Returns the linked ``Peer`` of an agent incarnation, or None.

        One that leaves accepts no new work, but still the end of earlier work.
        """
        for peer in self._agents.values():
            is_linked = peer.link is not None and not peer.link.closed
            if peer.record.incarnation == incarnation and is_linked:
                return peer
        return None

    async def run(self):
        """Follows the registrations and maintains the links until cancelled."""
        async with anyio.create_task_group() as group:
            kinds = {
                AGENTS: (AgentRecord, self._agents),
                ROUTERS: (RouterRecord, self._routers),
            }
            for collection in self._collections:
                group.start_soon(
                    self._follow_registrations, group, collection, *kinds[collection]
                )
            group.start_soon(self._close_silent_links)
            group.start_soon(self._follow_vm_list)
            if ROUTERS in self._collections:
                group.start_soon(self._ping_routers)
            if self._agent_subset is not None:
                group.start_soon(self._choose_agents, group)

    def record_heartbeat(self, link, *, leaving=False):
        """Records a heartbeat of a peer.

        Args:
            link: The link over which it came.
            leaving: Whether the peer has announced that it leaves.

        Returns:
            The ``Peer``; None if the link was not opened by this fleet.
        """
        peer = self._by_link.get(link)
        if peer is None or link.hello is None:
            return peer
        peer_table = self._peer_tables[type(peer.record)]
        name, incarnation = peer.record.id, link.hello.incarnation
        if link not in self._announced_links:
            self._announced_links.add(link)
            self._runtime.events.add(EventKind.peer_connected, text=name)
        peer_table.record_connection(name, incarnation, self._runtime.now())
        if leaving:
            peer_table.record_leaving(name, incarnation)
        return peer

    async def _handle_hello(self, link, message):
        peer = self.record_heartbeat(link)
        if peer is not None:
            self._runtime.events.add(EventKind.peer_connected, text=peer.record.id)

    def broadcast(self, message):
        """Sends a message over all open links."""
        for link in self.links:
            with contextlib.suppress(LinkLost):
                link.send(message)

    async def _follow_registrations(self, group, collection, record_class, peers):
        async for objects in follow_collection(self._runtime.store, collection):
            records = {
                record.id: (record, item.version)
                for item, record in decode_entries(objects.values(), record_class)
                if record.incarnation != self._runtime.incarnation
            }
            self._apply_records(group, records, peers)

    def _apply_records(self, group, records, peers):
        for name in list(peers):
            if name not in records or records[name][0] != peers[name].record:
                peers.pop(name).registered = False
        for name, (record, version) in records.items():
            if name not in peers:
                peer_table = self._peer_tables[type(record)]
                peers[name] = Peer(record, version, peer_table, self._runtime.now)
                if peers is not self._agents or self._agent_subset is None:
                    peers[name].is_chosen = True
                    group.start_soon(self._keep_link, peers[name])
        self._link_chosen_agents(group)

    async def _choose_agents(self, group):
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self._link_chosen_agents(group)

    def _link_chosen_agents(self, group):
        if self._agent_subset is None:
            return
        well = {name for name, peer in self._agents.items() if peer.is_well}
        chosen = self._agent_subset.choose(
            self._agents.keys(), well, self._runtime.now()
        )
        for name, peer in self._agents.items():
            peer.is_needed = self._agent_subset.is_needed(name)
            if name in chosen and not peer.is_chosen:
                peer.is_chosen = True
                group.start_soon(self._keep_link, peer)
            elif name not in chosen and peer.is_chosen:
                peer.is_chosen = False
                if peer.link is not None:
                    peer.link.close()

    async def _keep_link(self, peer):
        if peer.is_linking:
            return
        peer.is_linking = True
        while peer.registered and peer.is_chosen:
            with contextlib.suppress(LinkLost):
                await self._run_link(peer)
            peer.link = None
            await anyio.sleep(RECONNECT_DELAY_S)
        peer.is_linking = False

    async def _run_link(self, peer):
        runtime = self._runtime
        host, port = peer.address
        async with connect(
            host, port, runtime.hello, self._handlers, runtime.clock, tls=runtime.tls
        ) as link:
            peer.link = link
            self._by_link[link] = peer
            for listener in self._link_listeners:
                listener(link)
            try:
                await link.wait_closed()
            finally:
                del self._by_link[link]
                self._announced_links.discard(link)
                if link.hello is not None:
                    peer_table = self._peer_tables[type(peer.record)]
                    peer_table.record_disconnection(
                        peer.record.id, link.hello.incarnation
                    )
        runtime.events.add(EventKind.peer_lost, text=peer.record.id)

    async def _close_silent_links(self):
        """Closes the links of peers without heartbeats, so that they connect again.

        A frozen process or a cut network leaves a connection open.
        """
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = self._runtime.now()
            silent = {
                name
                for peer_table in self._peer_tables.values()
                for name in peer_table.peers_to_disconnect(now)
            }
            for link, peer in list(self._by_link.items()):
                if peer.record.id in silent:
                    link.close()

    async def _ping_routers(self):
        while True:
            async with anyio.create_task_group() as group:
                for peer in self._routers.values():
                    if peer.link is not None:
                        group.start_soon(self._ping, peer.link)
                await anyio.sleep(ROUTER_MEMBERSHIP.heartbeat_s)

    async def _ping(self, link):
        message = Ping(table_revision=self._runtime.table_revision())
        with contextlib.suppress(LinkLost, LinkTimeout):
            pong = await link.call(message, ROUTER_MEMBERSHIP.heartbeat_s)
            self.record_heartbeat(link, leaving=getattr(pong, "leaving", False))

    async def _follow_vm_list(self):
        while True:
            with contextlib.suppress(*STORE_ERRORS):
                self._apply_vm_list(await self._runtime.store.vms())
            await anyio.sleep(vm_list_interval_s(len(self._routers) + 1))

    def _apply_vm_list(self, vms):
        names = {vm.name for vm in vms}
        leaving = {part for vm in vms if vm.leaving for part in (vm.name, vm.host)}
        for peers, record_class in (
            (self._agents, AgentRecord),
            (self._routers, RouterRecord),
        ):
            hosts = {
                name: name if name in names else peer.address[0]
                for name, peer in peers.items()
            }
            self._peer_tables[record_class].apply_vm_list(leaving, hosts)


def _usable_count(peers):
    return sum(peer.usable for peer in peers.values())


def _usable_peer(peers, incarnation):
    for peer in peers.values():
        if peer.record.incarnation == incarnation and peer.usable:
            return peer
    return None
