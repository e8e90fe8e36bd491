"""Runs one gateway, from its start to its planned stop."""

import time

import anyio

from pistachiowell.core.logs import part_logger
from pistachiowell.core.metrics_page import serve_metrics
from pistachiowell.gateway.connections import split_address
from pistachiowell.gateway.gateway_parts import GatewayParts
from pistachiowell.gateway.stops import ENDING_S
from pistachiowell.gateway.where import WHERE_PATH
from pistachiowell.router.fleet import ROUTERS
from pistachiowell.signals.watch import SignalWatch
from pistachiowell.store.registration import (
    find_fleet_start_ms,
    keep_registered,
    router_record,
    unregister_process,
)

UNREGISTER_TIMEOUT_S = 0.2
STOP_CHECK_INTERVAL_S = 0.05
# All gateways of a fleet that starts for the first time are registered by then.
FLEET_START_MS = 5_000

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

    __slots__ = ("_parts",)

    def __init__(self, settings, store, adapter):
        self._parts = GatewayParts(settings, store, adapter)

    @property
    def where_page(self):
        """The ``WherePage``."""
        return self._parts.where_page

    @property
    def state(self):
        """The ``GatewayState``."""
        return self._parts.state

    @property
    def metrics(self):
        """The process's ``Metrics``."""
        return self._parts.runtime.metrics

    @property
    def follows_store(self):
        """Whether this gateway itself follows the configuration in the store."""
        return self._parts.catalog_watcher.follows_store

    @property
    def fleet(self):
        """The ``Fleet`` with the agents."""
        return self._parts.fleet

    @property
    def is_deputy(self):
        """Whether this gateway does the work of an agent."""
        return self._parts.deputy.is_running

    @property
    def opened_connections(self):
        """Number of connections opened to backend servers so far."""
        return self._parts.dispatch.opened_connections

    @property
    def _has_requests(self):
        parts = self._parts
        return (
            parts.stop.in_progress
            or parts.caller_servers.owed_answers
            or parts.load.relay.in_progress
        )

    @property
    def _has_work(self):
        has_kept = self._parts.caller_servers.has_kept
        return self._has_requests or has_kept or self.is_deputy

    def failures(self, server_id):
        """Returns the failures of a server since its last success or ejection."""
        return self._parts.selection.failures(server_id)

    def begin_leaving(self):
        """Reports not ready to the load balancer; requests in progress continue."""
        parts, settings = self._parts, self._parts.runtime.settings
        grace_s = settings.leaving_notice_s + settings.shutdown_timeout_s
        parts.stop.begin(parts.runtime.now() + grace_s - ENDING_S)
        parts.state.is_leaving = True
        parts.runtime.start_leaving()
        parts.deputy.leave()
        parts.load.leave()
        _log.info("Gateway is leaving; requests in progress go on.")

    async def leave(self):
        """Stops without cutting off answers that can reach their callers in time.

        Connections that come late are accepted to the end, and their requests begun if
        they are known to fit.
        """
        parts, settings = self._parts, self._parts.runtime.settings
        self.begin_leaving()
        await anyio.sleep(settings.leaving_notice_s)
        parts.stop.end_notice()
        parts.caller_servers.close_connections()
        relay = parts.load.relay
        relay.close_idle()
        with anyio.move_on_after(parts.stop.left_s):
            # Requests that come meanwhile do not prolong the stop.
            while parts.stop.has_earlier or relay.in_progress or self.is_deputy:
                await anyio.sleep(STOP_CHECK_INTERVAL_S)
            parts.stop.refuse_all()
            while self._has_work:
                await anyio.sleep(STOP_CHECK_INTERVAL_S)
        if self._has_requests:
            _log.warning(
                "Requests are ended as the gateway stops.",
                requests=parts.stop.in_progress,
                unsent=parts.caller_servers.owed_answers,
                relayed=relay.in_progress,
            )
        parts.stop.end_requests()
        relay.end()
        parts.caller_servers.end(ENDING_S / 2)

    async def run(self):
        """Runs until a signal arrives and the requests in progress have ended."""
        parts, runtime = self._parts, self._parts.runtime
        async with anyio.create_task_group() as group:
            for task in self._tasks():
                group.start_soon(task)
            pages = {WHERE_PATH: parts.where_page}
            group.start_soon(serve_metrics, runtime, pages)
            group.start_soon(self._register)
            group.start_soon(parts.gateway_count.run, parts.agent_reports)
            group.start_soon(self._leave_on_signal, group)
            _log.info(
                "Gateway starts.",
                incarnation=runtime.incarnation,
                data_centre=runtime.settings.data_centre,
            )
            await parts.caller_servers.serve()
            with anyio.move_on_after(UNREGISTER_TIMEOUT_S):
                await unregister_process(runtime.store, ROUTERS, self._record())
            _log.info("Gateway stops.")
            group.cancel_scope.cancel()

    def _tasks(self):
        """Returns the async functions of the parts that run until cancelled."""
        parts = self._parts
        tasks = [
            parts.catalog_fallback.run,
            parts.crash_candidates.run,
            parts.crashes.run,
            parts.quarantine_fallback.run,
            parts.server_feed.run,
            parts.loop_watch.run,
            parts.deputy.run,
            parts.fleet.run,
        ]
        if parts.state.evacuations.is_used:
            tasks.append(parts.evacuation_fallback.run)
        if parts.runtime.settings.follows_moves:
            tasks.append(parts.move_watcher.run)
        return [
            *tasks,
            parts.moves.run,
            parts.agent_reports.run,
            parts.agent_reports.send_loads,
            parts.load.run,
            parts.spending.run,
            parts.grant_memory.run,
            parts.dispatch.run_connections,
            parts.hedges.run_reports,
            parts.ready_server.serve,
        ]

    async def _leave_on_signal(self, group):
        signals = SignalWatch()
        group.start_soon(signals.run)
        await signals.wait_for_stop()
        await self.leave()

    async def _register(self):
        store, shares = self._parts.runtime.store, self._parts.retry_shares
        now_ms = int(time.time() * 1000)
        fleet_started_ms = await find_fleet_start_ms(store, ROUTERS, now_ms)
        is_first_start = now_ms - fleet_started_ms <= FLEET_START_MS

        def record_registration(follows_run):
            shares.record_registration(follows_run or not is_first_start)

        record = self._record(fleet_started_ms)
        await keep_registered(store, ROUTERS, record, record_registration)

    def _record(self, fleet_started_ms=0):
        runtime = self._parts.runtime
        host, port = split_address(runtime.settings.http_address)
        return router_record(runtime, host, port, fleet_started_ms)
