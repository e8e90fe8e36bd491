"""Assembles the agent: the process beside a backend server that serves gateways."""

import zlib

import anyio

from pistachiowell.core.logs import part_logger
from pistachiowell.core.metrics_page import serve_metrics
from pistachiowell.core.runtime import Runtime
from pistachiowell.gateway.common import GatewayState
from pistachiowell.gateway.feeds import (
    CatalogWatcher,
    EvacuationWatcher,
    LinkedWatches,
    MoveOrderWatcher,
    ServerWatcher,
    StoreReturns,
)
from pistachiowell.gateway.load import LoadReporter, RoomOwner, TimesOwner
from pistachiowell.gateway.money import BudgetOwner
from pistachiowell.gateway.moves import MoveJudge
from pistachiowell.gateway.servers import (
    ClosedServers,
    ColdReports,
    ColdServers,
    LeavingServers,
    LimitOwner,
    Places,
    SilenceProbes,
)
from pistachiowell.router.crash_candidates import CrashCandidates
from pistachiowell.routing import SHARED_SERVER_CRASHES
from pistachiowell.schema.generated.messages_gateway import (
    CatalogDocument,
    FetchCatalog,
)
from pistachiowell.signals.watch import SignalWatch
from pistachiowell.store.registration import (
    agent_record,
    keep_registered,
    unregister_process,
)
from pistachiowell.wire import AcknowledgedReports, Handlers, LinkSet, serve
from pistachiowell.wire.status import register_status_handlers

COMPRESSION_LEVEL = 3
# Reports of the gateways about one crash within this time are passed on as one.
CRASH_MERGE_S = 0.05
# A stop waits for so long for the settlements of the requests in progress; their
# tokens would stay charged in full.
SETTLING_S = 5.0

_log = part_logger("agent")


class GatewayAgent:
    """Owns budget pages, judges moves and sends reports and configurations to gateways.

    Args:
        settings: ``GatewayAgentSettings``.
        store: The platform's store.
        adapter: Object with the codecs ``heads``, ``configuration``, ``servers``,
            ``evacuations`` and ``moves``; see ``pistachiowell.platform.programs``.
        is_deputy: Whether it runs in a gateway, in place of an agent.
        closed: The ``ClosedServers`` of its gateway; None to keep its own.
        clients: The ``Clients`` of its gateway; None to count its own.
    """

    __slots__ = (
        "_budget_owner",
        "_catalog_watcher",
        "_cold_reports",
        "_compressed_document",
        "_compressed_source",
        "_crash_candidates",
        "_handlers",
        "_is_deputy",
        "_links",
        "_load_reporter",
        "_move_judge",
        "_move_watcher",
        "_room_owner",
        "_runtime",
        "_silence_probes",
        "_state",
        "_times_owner",
        "_watches",
    )

    def __init__(
        self, settings, store, adapter, *, is_deputy=False, closed=None, clients=None
    ):
        self._is_deputy = is_deputy
        self._runtime = runtime = Runtime(
            "agent", settings, store, clients, reads_load_changes=True
        )
        self._state = state = GatewayState(settings)
        self._handlers = Handlers()
        register_status_handlers(self._handlers, runtime)
        self._catalog_watcher = CatalogWatcher(runtime, state, adapter.configuration)
        self._compressed_source = None
        self._compressed_document = b""
        # Gateways have no links to each other; each agent passes on their reports.
        self._links = LinkSet()
        self._budget_owner = BudgetOwner(
            runtime, state, self._handlers, self._links, is_deputy=is_deputy
        )
        reports = AcknowledgedReports(runtime, self._links, self._handlers)
        StoreReturns(runtime, reports)
        self._room_owner = RoomOwner(runtime, self._links, self._handlers)
        self._times_owner = TimesOwner(runtime, self._handlers)
        self._move_judge = MoveJudge(runtime, self._handlers, adapter.moves)
        self._move_watcher = MoveOrderWatcher(
            runtime, adapter.moves, self._move_judge.apply_orders
        )
        self._handlers.on(FetchCatalog, quick=True)(self._handle_fetch)
        server_watcher = ServerWatcher(runtime, state, adapter.servers)
        evacuation_watcher = EvacuationWatcher(runtime, state, adapter.evacuations)
        self._load_reporter = LoadReporter(
            runtime,
            state,
            self._catalog_watcher,
            server_watcher,
            evacuation_watcher,
            self._handlers,
        )
        watchers = [self._catalog_watcher, server_watcher]
        if state.evacuations.is_used:
            watchers.append(evacuation_watcher)
        if settings.follows_moves:
            watchers.append(self._move_watcher)
        self._watches = LinkedWatches(watchers, self._links, runtime.now)
        self._links.add_link_listener(self._load_reporter.add_link)
        self._crash_candidates = CrashCandidates(
            runtime,
            self._links,
            self._handlers,
            SHARED_SERVER_CRASHES,
            merge_s=CRASH_MERGE_S,
        )
        cold = ColdServers(runtime, state)
        server_watcher.on_registration = cold.record_registration
        self._cold_reports = ColdReports(runtime, reports, cold)
        limits = LimitOwner(runtime, self._links, state, cold, self._handlers)
        closed = closed or ClosedServers(runtime)
        leaving = LeavingServers(self._links, closed, self._handlers)
        self._silence_probes = SilenceProbes(
            runtime,
            state,
            adapter.heads,
            self._links,
            limits,
            closed,
            cold,
            leaving,
            Places(runtime, state),
            self._handlers,
        )

    @property
    def state(self):
        """The ``GatewayState``; only its catalog is used."""
        return self._state

    @property
    def incarnation(self):
        """Unique id of this run of the process."""
        return self._runtime.incarnation

    async def run(self, wait_for_stop=None):
        """Runs until it is stopped, then returns idle tokens and unregisters.

        Args:
            wait_for_stop: Async function that returns when it has to stop; None to
                follow the signals of the process.
        """
        async with anyio.create_task_group() as group:
            if wait_for_stop is None:
                signals = SignalWatch()
                group.start_soon(signals.run)
                wait_for_stop = signals.wait_for_stop
            await group.start(self._serve_gateways)
            group.start_soon(self._watches.run)
            group.start_soon(self._budget_owner.run)
            group.start_soon(self._move_judge.run)
            group.start_soon(self._load_reporter.run)
            group.start_soon(self._room_owner.run)
            group.start_soon(self._times_owner.run)
            group.start_soon(self._crash_candidates.run_merging)
            group.start_soon(self._silence_probes.run)
            group.start_soon(self._cold_reports.run)
            group.start_soon(serve_metrics, self._runtime)
            _log.info(
                "Agent starts.",
                incarnation=self._runtime.incarnation,
                engine=self._runtime.settings.engine_address,
            )
            group.start_soon(self._register)
            await wait_for_stop()
            self._runtime.start_leaving()
            self._load_reporter.send_all()
            with anyio.move_on_after(SETTLING_S):
                await self._budget_owner.wait_until_settled()
            with anyio.move_on_after(1.0):
                await self._budget_owner.return_idle_tokens()
                await unregister_process(self._runtime.store, "agents", self._record())
            _log.info("Agent stops.")
            group.cancel_scope.cancel()

    async def _register(self):
        await keep_registered(self._runtime.store, "agents", self._record())

    async def _serve_gateways(self, *, task_status):
        settings = self._runtime.settings
        await serve(
            settings.host,
            settings.port,
            self._runtime.hello,
            self._handlers,
            self._runtime.clock,
            clients=self._runtime.clients,
            on_link=self._links.add,
            task_status=task_status,
        )

    async def _handle_fetch(self, link, message):
        del link
        catalog = self._state.catalog
        is_newer = catalog is not None and catalog.revision > message.revision
        return CatalogDocument(self._compress_catalog() if is_newer else b"")

    def _compress_catalog(self):
        """Returns the configuration in force, compressed once for all gateways.

        Compressing it for each request would cost processor time whenever a new
        configuration reaches all gateways at once.
        """
        document = self._catalog_watcher.document
        if self._compressed_source is not document:
            self._compressed_source = document
            self._compressed_document = zlib.compress(document, COMPRESSION_LEVEL)
        return self._compressed_document

    def _record(self):
        address = self._runtime.settings.engine_address
        return agent_record(self._runtime, address, is_deputy=self._is_deputy)
