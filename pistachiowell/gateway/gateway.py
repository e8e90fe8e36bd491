"""Assembles the parts of one gateway."""

import math
import random

import anyio

from pistachiowell.core.errors import STORE_ERRORS, HeadersTooLarge
from pistachiowell.core.http_protocol import bounded_protocol
from pistachiowell.core.logs import part_logger
from pistachiowell.core.loop_watch import LoopWatch
from pistachiowell.core.metrics_page import serve_metrics
from pistachiowell.core.runtime import Runtime
from pistachiowell.core.web import http_server
from pistachiowell.gateway.agents import AgentReports
from pistachiowell.gateway.app import GatewayApp, ReadyApp
from pistachiowell.gateway.closed_servers import ClosedServers
from pistachiowell.gateway.cold_servers import ColdServers
from pistachiowell.gateway.crash_relays import CrashRelays
from pistachiowell.gateway.deputy import Deputy
from pistachiowell.gateway.dispatch import Dispatch
from pistachiowell.gateway.evacuation_watch import EvacuationWatcher
from pistachiowell.gateway.grant_notices import GrantMemory
from pistachiowell.gateway.hedges import Hedges
from pistachiowell.gateway.holder_states import HolderDirectory
from pistachiowell.gateway.load_sharing import LoadSharing
from pistachiowell.gateway.lost_grants import GrantUseAnswers
from pistachiowell.gateway.moves import GatewayMoves
from pistachiowell.gateway.places import Places
from pistachiowell.gateway.planned_stop import ENDING_S, PlannedStop
from pistachiowell.gateway.reservation_checks import ReservationAnswers
from pistachiowell.gateway.retry_shares import RetryShares
from pistachiowell.gateway.selection import Selection
from pistachiowell.gateway.server_crashes import ServerCrashes
from pistachiowell.gateway.server_feed import ServerFeed
from pistachiowell.gateway.server_limits import ServerLimits
from pistachiowell.gateway.server_states import ServerStates
from pistachiowell.gateway.silence import SilenceMonitor
from pistachiowell.gateway.spending import GatewaySpending
from pistachiowell.gateway.state import GatewayState
from pistachiowell.gateway.store_fallback import StoreFallback
from pistachiowell.gateway.store_returns import StoreReturns
from pistachiowell.gateway.watchers import (
    CatalogWatcher,
    MoveOrderWatcher,
    ServerWatcher,
)
from pistachiowell.gateway.where import WhereReporter
from pistachiowell.gateway.where_page import WHERE_PATH, WherePage
from pistachiowell.membership import PeerSubset, SubsetSettings
from pistachiowell.router.crash_candidates import CrashCandidates
from pistachiowell.router.error_documents import error_document
from pistachiowell.router.fleet import AGENTS, ROUTERS, Fleet
from pistachiowell.routing import SHARED_SERVER_CRASHES
from pistachiowell.signals.watch import SignalWatch
from pistachiowell.store.registration import (
    keep_registered,
    router_record,
    unregister_process,
)
from pistachiowell.wire import Handlers

MAX_HEADER_BYTES = 65_536
ROUTER_LIST_INTERVAL_S = 15.0
CHECKED_LIST_INTERVAL_S = 120.0
ROUTER_COUNT_INTERVAL_S = 5.0
# Gateways that start together are not all registered when the first one lists them.
NAMES_AFTER_S = 5.0
# Gateways are registered as routers and share the fleet's fixed number of retries.
# Assuming too few of them would give each one too large a share, for example before the
# first list.
MIN_ROUTERS = 3
UNREGISTER_TIMEOUT_S = 0.2
STOP_CHECK_INTERVAL_S = 0.05
MAX_KEEP_ALIVE_S = 3600

_log = part_logger("gateway")


class Gateway:
    """Accepts requests over HTTP and runs them directly at backend servers.

    Args:
        settings: ``GatewaySettings``.
        store: The platform's store.
        adapter: Object with the codecs ``heads``, ``configuration``, ``servers``,
            ``evacuations`` and ``moves``, with ``make_store`` and with ``ready_path``;
            see ``pistachiowell.platform.programs``.
    """

    __slots__ = (
        "_agent_reports",
        "_caller_servers",
        "_catalog_fallback",
        "_catalog_watcher",
        "_crash_candidates",
        "_crashes",
        "_deputy",
        "_dispatch",
        "_evacuation_fallback",
        "_fleet",
        "_grant_memory",
        "_http",
        "_load",
        "_loop_watch",
        "_move_watcher",
        "_moves",
        "_overload",
        "_quarantine_fallback",
        "_ready",
        "_are_routers_listed",
        "_router_count",
        "_router_names",
        "_runtime",
        "_selection",
        "_server_feed",
        "_server_watcher",
        "_silence",
        "_spending",
        "_state",
        "_stop",
        "_where_page",
    )

    def __init__(self, settings, store, adapter):
        self._runtime = runtime = Runtime("router", settings, store)
        self._state = state = GatewayState(settings)
        self._are_routers_listed = False
        self._router_count = MIN_ROUTERS
        self._router_names = frozenset()
        self._catalog_watcher = CatalogWatcher(runtime, state, adapter.configuration)
        self._catalog_watcher.on_change = self._apply_limits
        self._server_watcher = ServerWatcher(runtime, state, adapter.servers)
        rng = random.Random()
        handlers = Handlers()
        subset = PeerSubset(SubsetSettings())
        self._fleet = Fleet(runtime, handlers, (AGENTS,), subset)
        closed = ClosedServers(runtime)
        self._deputy = Deputy(runtime, self._fleet, closed, adapter)
        self._moves = GatewayMoves(runtime, self._fleet, rng)
        self._move_watcher = MoveOrderWatcher(
            runtime, adapter.moves, self._moves.apply_orders
        )
        if not settings.follows_moves:
            self._moves.apply_orders({})
        places = Places(runtime, state)
        cold = ColdServers(runtime, state)
        cold.gateways = lambda: self._router_names
        self._server_watcher.on_registration = cold.record_registration
        self._loop_watch = loop_watch = LoopWatch(lambda: bool(self._stop.in_progress))
        self._silence = SilenceMonitor(
            runtime, self._fleet, state, handlers, loop_watch
        )
        self._stop = PlannedStop()
        self._load = LoadSharing(runtime, self._fleet, loop_watch, handlers, rng)
        self._overload = self._load.overload
        runtime.metrics.watch(
            "requests.refused_share", lambda: self._overload.refused_share
        )
        limits = ServerLimits(
            runtime,
            self._fleet,
            closed,
            places,
            cold,
            handlers,
            lambda: self._router_count,
            rng,
        )
        self._selection = selection = Selection(
            state.servers,
            self._moves,
            self._silence,
            limits,
            places,
            ServerStates(runtime, state, closed, limits, self._silence, places),
            settings,
            rng,
            runtime.now,
        )
        runtime.metrics.watch("servers.avoided", lambda: selection.avoided_servers)
        runtime.metrics.watch("servers.slow", lambda: selection.slow_servers)
        self._agent_reports = AgentReports(
            runtime,
            self._fleet,
            state,
            self._catalog_watcher,
            handlers,
            selection,
        )
        self._server_feed = ServerFeed(
            self._server_watcher,
            state.servers,
            self._fleet,
            self._agent_reports.has_enough_agents,
            runtime.now,
        )
        self._agent_reports.on_servers_digest = self._server_feed.check.record
        self._catalog_fallback = StoreFallback(
            self._catalog_watcher, self._agent_reports.has_enough_agents, runtime.now
        )
        evacuation_watcher = EvacuationWatcher(runtime, state, adapter.evacuations)
        self._agent_reports.on_evacuations = evacuation_watcher.apply_report
        self._evacuation_fallback = StoreFallback(
            evacuation_watcher,
            self._agent_reports.has_enough_for_evacuations,
            runtime.now,
        )
        relays = CrashRelays(self._fleet)
        self._crash_candidates = CrashCandidates(
            runtime, relays, handlers, SHARED_SERVER_CRASHES, passes_on=False
        )
        self._quarantine_fallback = StoreFallback(
            self._crash_candidates.store,
            self._agent_reports.has_enough_agents,
            runtime.now,
        )
        self._spending = GatewaySpending(
            runtime, self._fleet, state, self._agent_reports.is_cut_from_store
        )
        ReservationAnswers(self._spending, handlers)
        GrantUseAnswers(self._spending.uses, handlers)
        self._grant_memory = GrantMemory(runtime, self._fleet, handlers)
        self._grant_memory.on_closed = self._spending.uses.forget
        HolderDirectory(self._fleet, handlers)
        StoreReturns(runtime, self._fleet, handlers)
        self._crashes = ServerCrashes(self._crash_candidates, runtime.now)
        retry_shares = RetryShares(settings, self._count_sharing_routers, runtime.now())
        hedges = Hedges(
            runtime,
            selection,
            self._crashes,
            retry_shares,
            loop_watch,
            lambda: self._overload.refused_share,
        )
        self._dispatch = Dispatch(
            runtime,
            selection,
            self._silence,
            limits,
            self._crashes,
            retry_shares,
            hedges,
            loop_watch,
            adapter.heads,
            rng,
        )
        reporter = WhereReporter(
            runtime,
            state,
            self._stop,
            self._overload,
            self._load,
            self._spending,
            self._grant_memory,
            self._crashes,
            self._dispatch,
            selection.parts,
        )
        self._where_page = WherePage(reporter, runtime)
        app = GatewayApp(
            runtime,
            state,
            adapter.heads,
            self._overload,
            self._stop,
            self._spending,
            self._dispatch,
            self._load,
        )
        take_over = self._load.relay.take_over if self._load.is_on else None
        self._http = _server(
            runtime, app, settings.http_address, take_over, self._load.traffic
        )
        self._caller_servers = [self._http]
        if self._load.is_on:
            address = f"{settings.peer_host}:{settings.relay_port}"
            self._caller_servers.append(
                _server(runtime, app, address, traffic=self._load.traffic)
            )
        ready_app = ReadyApp(state, adapter.ready_path)
        self._ready = _server(runtime, ready_app, settings.ready_address)

    @property
    def where_page(self):
        """The ``WherePage``."""
        return self._where_page

    @property
    def state(self):
        """The ``GatewayState``."""
        return self._state

    @property
    def metrics(self):
        """The process's ``Metrics``."""
        return self._runtime.metrics

    @property
    def follows_store(self):
        """Whether this gateway itself follows the configuration in the store."""
        return self._catalog_watcher.follows_store

    @property
    def fleet(self):
        """The ``Fleet`` with the agents."""
        return self._fleet

    @property
    def is_deputy(self):
        """Whether this gateway does the work of an agent."""
        return self._deputy.is_running

    @property
    def opened_connections(self):
        """Number of connections opened to backend servers so far."""
        return self._dispatch.opened_connections

    def failures(self, server_id):
        """Returns the failures of a server since its last success or ejection."""
        return self._selection.failures(server_id)

    def begin_leaving(self):
        """Reports not ready to the load balancer; requests in progress continue."""
        settings = self._runtime.settings
        grace_s = settings.leaving_notice_s + settings.shutdown_timeout_s
        self._stop.begin(self._runtime.now() + grace_s - ENDING_S)
        self._state.is_leaving = True
        self._runtime.start_leaving()
        self._deputy.leave()
        self._load.leave()
        _log.info("Gateway is leaving; requests in progress go on.")

    async def leave(self):
        """Stops without cutting off requests that can end in time.

        Connections that come late are accepted to the end, and their requests refused.
        """
        settings = self._runtime.settings
        self.begin_leaving()
        await anyio.sleep(settings.leaving_notice_s)
        self._stop.refuse_all()
        for connection in self._caller_connections():
            connection.shutdown()
        relay = self._load.relay
        relay.close_idle()
        with anyio.move_on_after(max(0.0, settings.shutdown_timeout_s - ENDING_S)):
            while self._stop.in_progress or relay.in_progress or self.is_deputy:
                await anyio.sleep(STOP_CHECK_INTERVAL_S)
        if self._stop.in_progress:
            _log.warning(
                "Requests are ended as the gateway stops.",
                requests=self._stop.in_progress,
            )
        self._stop.end_requests()
        relay.end()
        for server in self._caller_servers:
            server.config.timeout_graceful_shutdown = ENDING_S / 2
            server.should_exit = True

    async def run(self):
        """Runs until a signal arrives and the requests in progress have ended."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._catalog_fallback.run)
            group.start_soon(self._crash_candidates.run)
            group.start_soon(self._crashes.run)
            group.start_soon(self._quarantine_fallback.run)
            group.start_soon(self._server_feed.run)
            group.start_soon(self._loop_watch.run)
            group.start_soon(self._deputy.run)
            group.start_soon(self._fleet.run)
            if self._state.evacuations.is_used:
                group.start_soon(self._evacuation_fallback.run)
            if self._runtime.settings.follows_moves:
                group.start_soon(self._move_watcher.run)
            group.start_soon(self._moves.run)
            group.start_soon(self._agent_reports.run)
            group.start_soon(self._agent_reports.send_loads)
            group.start_soon(self._load.run)
            group.start_soon(self._spending.run)
            group.start_soon(self._grant_memory.run)
            group.start_soon(self._dispatch.run_connections)
            group.start_soon(self._ready.serve)
            pages = {WHERE_PATH: self._where_page}
            group.start_soon(serve_metrics, self._runtime, pages)
            group.start_soon(self._register)
            group.start_soon(self._count_routers)
            group.start_soon(self._leave_on_signal, group)
            _log.info(
                "Gateway starts.",
                incarnation=self._runtime.incarnation,
                data_centre=self._runtime.settings.data_centre,
            )
            async with anyio.create_task_group() as servers:
                for server in self._caller_servers:
                    servers.start_soon(server.serve)
            with anyio.move_on_after(UNREGISTER_TIMEOUT_S):
                await unregister_process(self._runtime.store, ROUTERS, self._record())
            _log.info("Gateway stops.")
            group.cancel_scope.cancel()

    async def _leave_on_signal(self, group):
        signals = SignalWatch()
        group.start_soon(signals.run)
        await signals.wait_for_stop()
        await self.leave()

    async def _register(self):
        await keep_registered(self._runtime.store, ROUTERS, self._record())

    async def _count_routers(self):
        started_at = self._runtime.now()
        listed_at = float("-inf")
        listed = MIN_ROUTERS
        while True:
            now = self._runtime.now()
            has_agents = self._agent_reports.has_enough_agents()
            interval_s = (
                CHECKED_LIST_INTERVAL_S if has_agents else ROUTER_LIST_INTERVAL_S
            )
            if now - listed_at >= interval_s:
                try:
                    entries, _ = await self._runtime.store.list(ROUTERS)
                except STORE_ERRORS as error:
                    _log.debug("Listing the routers failed; keeping them: {}", error)
                else:
                    listed = len(entries)
                    if now - started_at >= NAMES_AFTER_S:
                        names = frozenset(entry.name for entry in entries)
                        self._router_names = names
                    self._are_routers_listed = True
                if self._are_routers_listed:
                    listed_at = now
            # Agents see those that have come since.
            linked = self._agent_reports.gateways
            self._router_count = max(MIN_ROUTERS, listed, linked)
            await anyio.sleep(ROUTER_COUNT_INTERVAL_S)

    def _count_sharing_routers(self):
        """Returns the number of routers that share the fixed number of retries.

        Before the first list any number may run, so a router takes nothing of it.
        """
        return self._router_count if self._are_routers_listed else math.inf

    def _apply_limits(self, catalog):
        """Applies the idle timeout to all connections, including idle ones.

        The server starts the timer of a connection when it becomes idle, so a timer
        that runs with the old limit is replaced.
        """
        limit_s = min(MAX_KEEP_ALIVE_S, catalog.limits.idle_timeout_s)
        self._runtime.clients.idle_timeout_s = limit_s
        self._runtime.clients.header_timeout_s = catalog.limits.header_timeout_s
        for server in self._caller_servers:
            server.config.timeout_keep_alive = limit_s
        for protocol in self._caller_connections():
            protocol.timeout_keep_alive = limit_s
            timer = protocol.timeout_keep_alive_task
            if timer is not None:
                timer.cancel()
                protocol.timeout_keep_alive_task = protocol.loop.call_later(
                    limit_s, protocol.timeout_keep_alive_handler
                )

    def _caller_connections(self):
        return [
            connection
            for server in self._caller_servers
            for connection in server.server_state.connections
        ]

    def _record(self):
        address = self._runtime.settings.http_address
        return router_record(self._runtime, *_split_address(address))


def _split_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def _server(runtime, app, address, take_over=None, traffic=None):
    host, port = _split_address(address)
    refusal = error_document(
        HeadersTooLarge(f"The headers exceed {MAX_HEADER_BYTES} bytes.")
    )
    return http_server(
        app,
        host,
        port,
        http=bounded_protocol(
            MAX_HEADER_BYTES, refusal, runtime.clients, take_over, traffic
        ),
        server_header=False,
        date_header=False,
        timeout_graceful_shutdown=runtime.settings.shutdown_timeout_s,
    )
