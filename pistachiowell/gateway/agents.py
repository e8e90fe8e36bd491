"""The gateway's end of the links to the agents."""

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
# So many must follow the store for this gateway to rely on them for the configuration.
FEWEST_AGENTS = 3
FETCH_TIMEOUT_S = 1.0

_log = part_logger("agents")


class AgentReports:
    """Takes the agents' reports: signs of life, loads and newer configurations.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        state: The ``GatewayState``.
        catalogs: The ``CatalogFeed``.
        handlers: Handlers of the links to agents; this adds its own.
        selection: The ``Selection``; takes the loads and tells this gateway's own.
    """

    __slots__ = (
        "_catalogs",
        "_fleet",
        "_following",
        "_newer",
        "_runtime",
        "_selection",
        "_state",
        "_wake",
    )

    def __init__(self, runtime, fleet, state, catalogs, handlers, selection):
        self._runtime = runtime
        self._fleet = fleet
        self._state = state
        self._catalogs = catalogs
        self._selection = selection
        self._following = {}
        self._newer = None
        self._wake = anyio.Event()
        handlers.on(AgentReport)(self._take_report)

    async def _take_report(self, link, message):
        peer = self._fleet.record_heartbeat(link, leaving=message.leaving)
        if peer is None:
            return
        self._following[peer.record.id] = message.follows_store
        if message.address:
            self._selection.take_report(message)
        present = self._state.catalog
        if message.catalog_revision > (present.revision if present else 0):
            self._newer = link
            self._wake.set()

    def agents_suffice(self):
        """Tells whether enough agents follow the store's configuration."""
        following = sum(
            self._following.get(name, False)
            for name, peer in self._fleet.agents.items()
            if peer.usable
        )
        return following >= FEWEST_AGENTS

    async def tell_loads(self):
        """Tells each agent what this gateway has at its engine until cancelled."""
        told = {}
        while True:
            await anyio.sleep(LOAD_INTERVAL_S)
            loads = self._selection.loads_by_address()
            for peer in self._fleet.agents.values():
                load = loads.get(peer.record.server, NO_LOAD)
                if peer.link is None or told.get(peer.link, NO_LOAD) == load:
                    continue
                told[peer.link] = load
                self._tell(peer.link, load)
            told = {link: load for link, load in told.items() if not link.closed}

    def _tell(self, link, load):
        message = GatewayLoad(load.reading_tokens, load.running, load.kv_tokens)
        try:
            link.send(message)
        except LinkLost as error:
            _log.debug("An agent was not told of the load: {}", error)

    async def run(self):
        """Fetches configurations that the store has not told of until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            if self._state.catalog is not None and self._catalogs.follows_store:
                # The own watch is about to tell as a rule.
                await anyio.sleep(FETCH_DELAY_S)
            link, self._newer = self._newer, None
            if link is not None:
                await self._fetch(link)

    async def _fetch(self, link):
        present = self._state.catalog
        revision = present.revision if present else 0
        try:
            reply = await link.call(FetchCatalog(revision), FETCH_TIMEOUT_S)
        except (LinkLost, LinkTimeout) as error:
            _log.info("An agent did not send its configuration.", error=str(error))
            return
        if not isinstance(reply, CatalogDocument) or not reply.value:
            return
        name = link.hello.id if link.hello else ""
        try:
            document = zlib.decompress(reply.value)
        except zlib.error as error:
            _log.warning(
                "An agent's configuration cannot be read.", agent=name, error=str(error)
            )
            return
        self._catalogs.take(document, name)
