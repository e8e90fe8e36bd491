"""Reports between a gateway and the agents, at the gateway's end of the links."""

import zlib

import anyio

from pistachiowell.core.errors import LinkLost, LinkTimeout
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.common import ranked_agents
from pistachiowell.gateway.load.load_reports import (
    change_message,
    decode_changes,
    decode_loads,
    encode_load,
    reads_load_changes,
)
from pistachiowell.routing import NO_LOAD, LoadDecoder, LoadEncoder
from pistachiowell.schema.generated.messages_gateway import (
    AgentReport,
    CatalogDocument,
    FetchCatalog,
    GatewayLoad,
    LoadChanges,
)

FETCH_DELAY_S = 0.25
LOAD_INTERVAL_S = 0.1
# Finds a change of the agents while the loads stay as they are.
LOAD_CHECK_INTERVAL_S = 0.5
# A gateway relies on agents for its configuration only if at least this many follow the
# store, so that the loss of one or two does not leave it with an old configuration.
MIN_AGENTS = 3
FETCH_TIMEOUT_S = 1.0

_log = part_logger("agents")


class AgentReports:
    """Handles the agents' reports: heartbeats, loads and newer configurations.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        state: The ``GatewayState``.
        catalog_watcher: The ``CatalogWatcher``.
        handlers: Handlers of the links to agents; this registers its own.
        selection: The ``Selection``; records the loads that agents report and returns
            this gateway's own.

    Attributes:
        on_servers_digest: Function of an agent's name and the digest of the servers
            that it reports.
        on_evacuations: Function of an agent's name and its ``AgentReport``, for the
            evacuated data centres.
    """

    __slots__ = (
        "_catalog_watcher",
        "_cut_from_store",
        "_encoders",
        "_fleet",
        "_follows_evacuations",
        "_follows_store",
        "_gateways",
        "_load_changed",
        "_newer_link",
        "_reported",
        "_runtime",
        "_selection",
        "_sent_loads",
        "_state",
        "_summing_agents",
        "_wake",
        "on_evacuations",
        "on_servers_digest",
    )

    def __init__(self, runtime, fleet, state, catalog_watcher, handlers, selection):
        self._runtime = runtime
        self._fleet = fleet
        self._state = state
        self._catalog_watcher = catalog_watcher
        self._selection = selection
        self._follows_evacuations = {}
        self._follows_store = {}
        self._cut_from_store = {}
        self._gateways = {}
        self.on_servers_digest = lambda agent, digest: None
        self.on_evacuations = lambda agent, report: None
        self._newer_link = None
        self._wake = anyio.Event()
        self._load_changed = anyio.Event()
        self._sent_loads = {}
        self._encoders = {}
        self._reported = {}
        self._summing_agents = _SummingAgents(fleet)
        selection.engines.on_change = self._record_load_change
        handlers.on(AgentReport)(self._handle_report)
        handlers.on(LoadChanges)(self._handle_changes)

    async def _handle_report(self, link, message):
        if link in self._reported:
            self._reported[link].report = message
        elif not link.closed:
            self._reported[link] = _Reported(message)
            link.add_close_listener(lambda: self._reported.pop(link, None))
        if self._apply_report(link, message):
            self._selection.record_remote_loads(decode_loads(message.loads))

    async def _handle_changes(self, link, message):
        reported = self._reported.get(link)
        if reported is None:
            return
        # An agent repeats only what has changed; all else that it reported still holds.
        is_known = self._apply_report(link, reported.report)
        changed = decode_changes(link, reported.decoder, message)
        if is_known and changed is not None:
            self._selection.record_remote_loads({**reported.decoder.loads, **changed})

    def _apply_report(self, link, message):
        """Applies all but the loads, and returns whether the agent is known."""
        peer = self._fleet.record_heartbeat(link, leaving=message.leaving)
        if peer is None:
            return False
        name = peer.record.id
        self._follows_store[name] = message.follows_store
        # An agent follows the store from its first link on, so its first report may be
        # older than the first answer of the store.
        has_followed = message.catalog_revision > 0
        self._cut_from_store[name] = has_followed and not message.follows_store
        self._gateways[name] = message.gateways
        self._follows_evacuations[name] = message.follows_evacuations
        self.on_servers_digest(name, message.servers_digest)
        self.on_evacuations(name, message)
        current = self._state.catalog
        if message.catalog_revision > (current.revision if current else 0):
            self._newer_link = link
            self._wake.set()
        return True

    def is_cut_from_store(self, name):
        """Returns whether an agent's last report says that it lost the store.

        An agent that has not reported yet, or has had no configuration yet, is not
        taken for one that is cut off.
        """
        return self._cut_from_store.get(name, False)

    def has_enough_agents(self):
        """Returns whether enough agents follow the store's configuration."""
        return self._count_usable(self._follows_store) >= MIN_AGENTS

    def has_enough_for_evacuations(self):
        """Returns whether enough agents follow the store's evacuations."""
        return self._count_usable(self._follows_evacuations) >= MIN_AGENTS

    def _count_usable(self, follows):
        """Returns the number of usable agents that a mapping says yes of."""
        agents = self._fleet.agents.items()
        return sum(follows.get(name, False) for name, peer in agents if peer.usable)

    def _record_load_change(self):
        self._load_changed.set()

    @property
    def gateways(self):
        """Largest number of gateways that a usable agent has links to."""
        usable = [name for name, peer in self._fleet.agents.items() if peer.usable]
        return max((self._gateways.get(name, 0) for name in usable), default=0)

    async def send_loads(self):
        """Sends agents the loads of this gateway until cancelled.

        Each engine's load goes to the agent that ranks first for the engine, alike at
        all gateways, which sums the loads of all.
        """
        while True:
            with anyio.move_on_after(LOAD_CHECK_INTERVAL_S):
                await self._load_changed.wait()
            self._load_changed = anyio.Event()
            self.send_changed_loads()
            await anyio.sleep(LOAD_INTERVAL_S)

    def send_changed_loads(self):
        """Sends each agent those of its loads that have changed."""
        self._sent_loads = {
            link: sent for link, sent in self._sent_loads.items() if not link.closed
        }
        self._encoders = {
            link: encoder for link, encoder in self._encoders.items() if not link.closed
        }
        self._summing_agents.refresh()
        changes = {link: {} for link in self._sent_loads}
        loads = self._selection.loads_by_address()
        for address, load in loads.items():
            link = self._summing_agents.link(address)
            if link is not None and self._sent(link, address) != load:
                changes.setdefault(link, {})[address] = load
        for link, sent in self._sent_loads.items():
            for address in sent:
                is_elsewhere = self._summing_agents.link(address) is not link
                if is_elsewhere or address not in loads:
                    changes[link][address] = NO_LOAD
        for link, changed in changes.items():
            if changed:
                self._send_changes(link, changed)

    def _sent(self, link, address):
        return self._sent_loads.get(link, {}).get(address, NO_LOAD)

    def _send_changes(self, link, changed):
        try:
            link.send(self._load_message(link, changed))
        except LinkLost as error:
            _log.debug("Sending the loads to an agent failed: {}", error)
        else:
            sent = self._sent_loads.get(link, {}) | changed
            self._sent_loads[link] = _without_idle(sent)

    def _load_message(self, link, changed):
        if not reads_load_changes(link):
            return GatewayLoad([encode_load(a, load) for a, load in changed.items()])
        encoder = self._encoders.setdefault(link, LoadEncoder())
        if encoder.is_full:
            encoder.restart()
            loads = self._sent_loads.get(link, {}) | changed
            changed = _without_idle(loads)
        return change_message(encoder.encode(changed))

    async def run(self):
        """Fetches newer configurations that agents report until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            if self._state.catalog is not None and self._catalog_watcher.follows_store:
                # This gateway's own watch usually delivers the configuration meanwhile,
                # which saves the transfer from the agent.
                await anyio.sleep(FETCH_DELAY_S)
            link, self._newer_link = self._newer_link, None
            if link is not None:
                await self._fetch(link)

    async def _fetch(self, link):
        current = self._state.catalog
        revision = current.revision if current else 0
        try:
            reply = await link.call(FetchCatalog(revision), FETCH_TIMEOUT_S)
        except (LinkLost, LinkTimeout) as error:
            _log.info("Fetching an agent's configuration failed.", error=str(error))
            return
        if not isinstance(reply, CatalogDocument) or not reply.value:
            return
        name = link.hello.id if link.hello else ""
        try:
            document = zlib.decompress(reply.value)
        except zlib.error as error:
            _log.warning(
                "Ignored an agent's configuration that cannot be decompressed.",
                agent=name,
                error=str(error),
            )
            return
        self._catalog_watcher.apply(document, name)


def _without_idle(loads):
    """Returns the loads by address of the engines that have requests."""
    return {address: load for address, load in loads.items() if load != NO_LOAD}


class _Reported:
    """What an agent has reported over one link.

    Attributes:
        report: The last ``AgentReport``.
        decoder: The ``LoadDecoder`` of the link.
    """

    __slots__ = ("decoder", "report")

    def __init__(self, report):
        self.report = report
        self.decoder = LoadDecoder()


class _SummingAgents:
    """The agents that sum the loads of the engines, by the engines' addresses.

    Args:
        fleet: The ``Fleet`` with the agents.
    """

    __slots__ = ("_fleet", "_links", "_usable")

    def __init__(self, fleet):
        self._fleet = fleet
        self._usable = None
        self._links = {}

    def refresh(self):
        """Chooses the agents again if others are usable than before."""
        usable = {peer.link for peer in self._fleet.agents.values() if peer.usable}
        if usable != self._usable:
            self._usable = usable
            self._links = {}

    def link(self, address):
        """Returns the link to the agent of an engine; None without an agent."""
        if address not in self._links:
            ranked = ranked_agents(self._fleet, address)
            self._links[address] = ranked[0].link if ranked else None
        return self._links[address]
