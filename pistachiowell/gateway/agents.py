"""Reports between a gateway and the agents, at the gateway's end of the links."""

import zlib

import anyio

from pistachiowell.core.errors import LinkLost, LinkTimeout
from pistachiowell.core.logs import part_logger
from pistachiowell.routing import EngineLoad
from pistachiowell.schema.generated.messages_gateway import (
    AgentReport,
    CatalogDocument,
    FetchCatalog,
    GatewayLoad,
)

FETCH_DELAY_S = 0.25
LOAD_INTERVAL_S = 0.05
NO_LOAD = EngineLoad()
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
    """

    __slots__ = (
        "_catalog_watcher",
        "_fleet",
        "_follows_store",
        "_newer_link",
        "_runtime",
        "_selection",
        "_state",
        "_wake",
    )

    def __init__(self, runtime, fleet, state, catalog_watcher, handlers, selection):
        self._runtime = runtime
        self._fleet = fleet
        self._state = state
        self._catalog_watcher = catalog_watcher
        self._selection = selection
        self._follows_store = {}
        self._newer_link = None
        self._wake = anyio.Event()
        handlers.on(AgentReport)(self._handle_report)

    async def _handle_report(self, link, message):
        peer = self._fleet.record_heartbeat(link, leaving=message.leaving)
        if peer is None:
            return
        self._follows_store[peer.record.id] = message.follows_store
        if message.address:
            self._selection.record_load(message)
        current = self._state.catalog
        if message.catalog_revision > (current.revision if current else 0):
            self._newer_link = link
            self._wake.set()

    def has_enough_agents(self):
        """Returns whether enough agents follow the store's configuration."""
        following = sum(
            self._follows_store.get(name, False)
            for name, peer in self._fleet.agents.items()
            if peer.usable
        )
        return following >= MIN_AGENTS

    async def send_loads(self):
        """Sends each agent the load of this gateway at its engine until cancelled."""
        sent = {}
        while True:
            await anyio.sleep(LOAD_INTERVAL_S)
            loads = self._selection.loads_by_address()
            for peer in self._fleet.agents.values():
                load = loads.get(peer.record.server, NO_LOAD)
                if peer.link is None or sent.get(peer.link, NO_LOAD) == load:
                    continue
                sent[peer.link] = load
                self._send_load(peer.link, load)
            sent = {link: load for link, load in sent.items() if not link.closed}

    def _send_load(self, link, load):
        message = GatewayLoad(load.reading_tokens, load.running, load.kv_tokens)
        try:
            link.send(message)
        except LinkLost as error:
            _log.debug("Sending the load to an agent failed: {}", error)

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
