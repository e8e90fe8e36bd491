"""Assembles the parts of one gateway."""

import random

from pistachiowell.core.loop_watch import LoopWatch
from pistachiowell.core.runtime import Runtime
from pistachiowell.gateway.common import GatewayState
from pistachiowell.gateway.connections import CallerServers, ReadyApp, make_server
from pistachiowell.gateway.deputy import Deputy
from pistachiowell.gateway.feeds import (
    CatalogWatcher,
    EvacuationWatcher,
    MoveOrderWatcher,
    ServerFeed,
    ServerWatcher,
    StoreFallback,
    StoreReturns,
)
from pistachiowell.gateway.load import (
    AgentReports,
    GatewayCount,
    LoadSharing,
    RetryShares,
)
from pistachiowell.gateway.money import (
    GatewaySpending,
    GrantMemory,
    GrantUseAnswers,
    HolderDirectory,
    ReservationAnswers,
)
from pistachiowell.gateway.moves import GatewayMoves
from pistachiowell.gateway.requests import Dispatch, GatewayApp, Hedges
from pistachiowell.gateway.selection import Selection, SelectionSources
from pistachiowell.gateway.servers import (
    ClosedServers,
    ColdServers,
    CrashRelays,
    Places,
    ServerCrashes,
    ServerLimits,
    ServerStates,
    SilenceMonitor,
)
from pistachiowell.gateway.stops import PlannedStop
from pistachiowell.gateway.where import WherePage, WhereReporter, WhereSources
from pistachiowell.membership import PeerSubset, SubsetSettings
from pistachiowell.router.crash_candidates import CrashCandidates
from pistachiowell.router.fleet import AGENTS, Fleet
from pistachiowell.routing import SHARED_SERVER_CRASHES
from pistachiowell.wire import AcknowledgedReports, Handlers


class GatewayParts:
    """The parts of one gateway, each made after those that it needs.

    Args:
        settings: ``GatewaySettings``.
        store: The platform's store.
        adapter: See ``Gateway``.

    Attributes:
        agent_reports: The ``AgentReports``.
        caller_servers: The ``CallerServers``.
        catalog_fallback: The ``StoreFallback`` of the configuration.
        catalog_watcher: The ``CatalogWatcher``.
        crash_candidates: The ``CrashCandidates``.
        crashes: The ``ServerCrashes``.
        deputy: The ``Deputy``.
        dispatch: The ``Dispatch``.
        evacuation_fallback: The ``StoreFallback`` of the evacuations.
        fleet: The ``Fleet`` with the agents.
        grant_memory: The ``GrantMemory``.
        hedges: The ``Hedges``.
        load: The ``LoadSharing``.
        loop_watch: The ``LoopWatch``.
        move_watcher: The ``MoveOrderWatcher``.
        moves: The ``GatewayMoves``.
        quarantine_fallback: The ``StoreFallback`` of the quarantine.
        ready_server: The ``EmbeddedServer`` for health checks.
        gateway_count: The ``GatewayCount``.
        retry_shares: The ``RetryShares``.
        runtime: The process's ``Runtime``.
        selection: The ``Selection``.
        server_feed: The ``ServerFeed``.
        server_watcher: The ``ServerWatcher``.
        silence: The ``SilenceMonitor``.
        spending: The ``GatewaySpending``.
        state: The ``GatewayState``.
        stop: The ``PlannedStop``.
        where_page: The ``WherePage``.
    """

    __slots__ = (
        "_adapter",
        "_closed",
        "_handlers",
        "_limits",
        "_rng",
        "agent_reports",
        "caller_servers",
        "catalog_fallback",
        "catalog_watcher",
        "crash_candidates",
        "crashes",
        "deputy",
        "dispatch",
        "evacuation_fallback",
        "fleet",
        "grant_memory",
        "hedges",
        "load",
        "loop_watch",
        "move_watcher",
        "moves",
        "quarantine_fallback",
        "ready_server",
        "reports",
        "retry_shares",
        "gateway_count",
        "runtime",
        "selection",
        "server_feed",
        "server_watcher",
        "silence",
        "spending",
        "state",
        "stop",
        "where_page",
    )

    def __init__(self, settings, store, adapter):
        self._adapter = adapter
        self._handlers = Handlers()
        self._rng = random.Random()
        self.runtime = runtime = Runtime(
            "router", settings, store, reads_load_changes=True
        )
        self.state = GatewayState(settings)
        self.stop = PlannedStop(runtime.metrics, runtime.now)
        self.gateway_count = GatewayCount(runtime)
        subset = PeerSubset(SubsetSettings())
        self.fleet = Fleet(runtime, self._handlers, (AGENTS,), subset)
        self.reports = AcknowledgedReports(runtime, self.fleet, self._handlers)
        self._closed = ClosedServers(runtime)
        self.deputy = Deputy(runtime, self.fleet, self._closed, adapter)
        self.loop_watch = LoopWatch(lambda: bool(self.stop.in_progress))
        self._make_watchers()
        self._make_selection()
        self._make_fallbacks()
        self._make_spending()
        self._make_dispatch()
        self._make_where_page()
        self._make_servers()

    def _make_watchers(self):
        runtime, state, adapter = self.runtime, self.state, self._adapter
        self.catalog_watcher = CatalogWatcher(runtime, state, adapter.configuration)
        self.server_watcher = ServerWatcher(runtime, state, adapter.servers)
        self.moves = GatewayMoves(runtime, self.fleet, self._rng)
        self.move_watcher = MoveOrderWatcher(
            runtime, adapter.moves, self.moves.apply_orders
        )
        if not runtime.settings.follows_moves:
            self.moves.apply_orders({})

    def _make_selection(self):
        runtime, state = self.runtime, self.state
        fleet, handlers, rng = self.fleet, self._handlers, self._rng
        places, cold = Places(runtime, state), ColdServers(runtime, state)
        cold.gateways = lambda: self.gateway_count.names
        self.server_watcher.on_registration = cold.record_registration
        self.silence = silence = SilenceMonitor(
            runtime, fleet, state, handlers, self.loop_watch
        )
        self.load = load = LoadSharing(runtime, fleet, self.loop_watch, handlers, rng)
        runtime.metrics.watch(
            "requests.refused_share", lambda: load.overload.refused_share
        )
        self._limits = limits = ServerLimits(
            runtime,
            fleet,
            self._closed,
            places,
            cold,
            handlers,
            self.reports,
            lambda: self.gateway_count.count,
            rng,
        )
        sources = SelectionSources(
            servers=state.servers,
            moves=self.moves,
            silence=silence,
            limits=limits,
            places=places,
            states=ServerStates(runtime, state, self._closed, limits, silence, places),
        )
        self.selection = selection = Selection(
            sources, runtime.settings, rng, runtime.now
        )
        runtime.metrics.watch("servers.avoided", lambda: selection.avoided_servers)
        runtime.metrics.watch("servers.slow", lambda: selection.slow_servers)

    def _make_fallbacks(self):
        """Makes what agents report, and what is read from the store without them."""
        runtime, state = self.runtime, self.state
        self.agent_reports = reports = AgentReports(
            runtime,
            self.fleet,
            state,
            self.catalog_watcher,
            self._handlers,
            self.selection,
        )
        self.server_feed = ServerFeed(
            self.server_watcher,
            state.servers,
            self.fleet,
            reports.has_enough_agents,
            runtime.now,
        )
        reports.on_servers_digest = self.server_feed.check.record
        self.catalog_fallback = StoreFallback(
            self.catalog_watcher, reports.has_enough_agents, runtime.now
        )
        watcher = EvacuationWatcher(runtime, state, self._adapter.evacuations)
        reports.on_evacuations = watcher.apply_report
        self.evacuation_fallback = StoreFallback(
            watcher, reports.has_enough_for_evacuations, runtime.now
        )
        self.crash_candidates = CrashCandidates(
            runtime,
            CrashRelays(self.fleet),
            self._handlers,
            SHARED_SERVER_CRASHES,
            passes_on=False,
        )
        self.quarantine_fallback = StoreFallback(
            self.crash_candidates.store, reports.has_enough_agents, runtime.now
        )

    def _make_spending(self):
        runtime, fleet, handlers = self.runtime, self.fleet, self._handlers
        self.spending = GatewaySpending(
            runtime, fleet, self.state, self.agent_reports.is_cut_from_store
        )
        ReservationAnswers(self.spending, handlers)
        GrantUseAnswers(self.spending.uses, handlers)
        self.grant_memory = GrantMemory(runtime, fleet, handlers)
        self.grant_memory.on_closed = self.spending.uses.forget
        HolderDirectory(fleet, handlers)
        StoreReturns(runtime, self.reports)

    def _make_dispatch(self):
        runtime = self.runtime
        self.crashes = ServerCrashes(self.crash_candidates, runtime.now)
        self.retry_shares = RetryShares(runtime)
        self.gateway_count.on_count = self.retry_shares.record_gateways
        self.hedges = Hedges(
            runtime,
            self.fleet,
            self._handlers,
            self.selection,
            self.crashes,
            self.retry_shares,
            self.loop_watch,
            lambda: self.load.overload.refused_share,
        )
        self.dispatch = Dispatch(
            runtime,
            self.selection,
            self.silence,
            self._limits,
            self.crashes,
            self.retry_shares,
            self.hedges,
            self.loop_watch,
            self.stop,
            self._adapter.heads,
            self._rng,
        )

    def _make_where_page(self):
        sources = WhereSources(
            state=self.state,
            stop=self.stop,
            load=self.load,
            spending=self.spending,
            grants=self.grant_memory,
            crashes=self.crashes,
            dispatch=self.dispatch,
            parts=self.selection.parts,
        )
        reporter = WhereReporter(self.runtime, sources)
        self.where_page = WherePage(reporter, self.runtime)

    def _make_servers(self):
        runtime, state = self.runtime, self.state
        app = GatewayApp(
            runtime,
            state,
            self._adapter.heads,
            self.stop,
            self.spending,
            self.dispatch,
            self.load,
        )
        self.caller_servers = CallerServers(runtime, app, self.load)
        self.catalog_watcher.on_change = self.caller_servers.apply_limits
        ready_app = ReadyApp(state, self._adapter.ready_path)
        address = runtime.settings.ready_address
        self.ready_server = make_server(runtime, ready_app, address)
