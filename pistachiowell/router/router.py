"""Assembles and runs the parts of one router."""

import functools
import random

import anyio

from pistachiowell.core.errors import HeadersTooLarge
from pistachiowell.core.events import EventKind
from pistachiowell.core.http_protocol import bounded_protocol
from pistachiowell.core.logs import part_logger
from pistachiowell.core.metrics_page import serve_metrics
from pistachiowell.core.program import run_program
from pistachiowell.core.runtime import Runtime
from pistachiowell.core.web import http_server
from pistachiowell.router.api import Api
from pistachiowell.router.crash_candidates import CrashCandidates
from pistachiowell.router.dispatch import Dispatch
from pistachiowell.router.error_documents import error_document
from pistachiowell.router.fleet import Fleet
from pistachiowell.router.journal import Journal
from pistachiowell.router.moves import Moves
from pistachiowell.router.recovery import Recovery
from pistachiowell.router.rows import Rows, fleet_links, watches_for_data_centre
from pistachiowell.router.service import RequestService
from pistachiowell.router.spending import Spending
from pistachiowell.routing import CrashSettings
from pistachiowell.schema.generated.settings import RouterSettings
from pistachiowell.signals.watch import SignalWatch
from pistachiowell.store.http import HttpStore
from pistachiowell.store.registration import (
    register_process,
    router_record,
    unregister_process,
)
from pistachiowell.wire import AcknowledgedReports, Handlers, LinkTls, serve
from pistachiowell.wire.status import register_status_handlers

_log = part_logger("router")


class Router:
    """Builds and runs all parts of one router.

    Args:
        settings: The ``RouterSettings``.
        store: The platform's store.
    """

    __slots__ = (
        "_api",
        "_fleet",
        "_handlers",
        "_http",
        "_journal",
        "_moves",
        "_recovery",
        "_spending",
        "_rows",
        "_runtime",
        "_crash_candidates",
    )

    def __init__(self, settings, store):
        self._runtime = Runtime("router", settings, store)
        self._runtime.tls = LinkTls.from_settings(settings)
        self._handlers = Handlers()
        register_status_handlers(self._handlers, self._runtime)
        self._fleet = Fleet(self._runtime, self._handlers)
        self._rows = Rows(
            self._runtime,
            self._handlers,
            links=functools.partial(fleet_links, self._fleet),
            watches=functools.partial(
                watches_for_data_centre, self._runtime, self._fleet
            ),
        )
        self._journal = Journal(self._runtime, self._fleet)
        self._spending = Spending(
            self._runtime, self._fleet, self._handlers, self._journal
        )
        self._recovery = Recovery(
            self._runtime, self._fleet, self._spending, self._record
        )
        reports = AcknowledgedReports(self._runtime, self._fleet, self._handlers)
        self._crash_candidates = CrashCandidates(
            self._runtime, self._fleet, reports, CrashSettings()
        )
        rng = random.Random()
        self._moves = Moves(self._runtime, self._fleet, self._rows, self._handlers, rng)
        dispatch = Dispatch(
            self._runtime,
            self._fleet,
            self._rows,
            self._moves,
            self._handlers,
            self._crash_candidates,
            rng,
        )
        service = RequestService(
            self._runtime, self._rows, self._spending, dispatch, self._journal
        )
        self._api = Api(self._runtime, self._rows, service)
        self._http = self._http_server(settings)

    def _http_server(self, settings):
        refusal = error_document(
            HeadersTooLarge(f"The headers exceed {settings.max_header_bytes} bytes.")
        )
        return http_server(
            self._api,
            settings.http_host,
            settings.http_port,
            http=bounded_protocol(
                settings.max_header_bytes, refusal, self._runtime.clients
            ),
            timeout_graceful_shutdown=settings.shutdown_timeout_s,
        )

    async def run(self):
        """Runs until a signal arrives and the requests in progress have finished.

        A signal during the start, which may wait long for the store, ends it without
        serving. At the end idle tokens are returned and bills are written before the
        registration is removed: an incarnation without a registration counts as lost,
        and others would have to recover its grants.
        """
        async with anyio.create_task_group() as group:
            signals = SignalWatch()
            group.start_soon(signals.run)
            record = self._record()
            if await signals.run_unless_stopped(self._start, group, record):
                group.start_soon(self._shut_down_on_signal, signals)
                _log.info("Router {} accepts requests.", record.id)
                await self._http.serve()
            await self._spending.return_idle_tokens()
            await self._journal.flush()
            await unregister_process(self._runtime.store, "routers", self._record())
            self._runtime.events.add(EventKind.process_stopped)
            group.cancel_scope.cancel()

    async def _start(self, group, record):
        await group.start(self._serve_peers)
        group.start_soon(self._rows.run)
        if self._runtime.tls is not None:
            group.start_soon(self._runtime.tls.reload_periodically)
        group.start_soon(serve_metrics, self._runtime)
        group.start_soon(self._fleet.run)
        group.start_soon(self._crash_candidates.run)
        group.start_soon(self._crash_candidates.store.run)
        group.start_soon(self._journal.run)
        group.start_soon(self._spending.run)
        group.start_soon(self._recovery.run)
        group.start_soon(self._moves.run)
        await register_process(self._runtime.store, "routers", record)

    async def _serve_peers(self, *, task_status):
        settings = self._runtime.settings
        await serve(
            settings.peer_host,
            settings.peer_port,
            self._runtime.hello,
            self._handlers,
            self._runtime.clock,
            clients=self._runtime.clients,
            tls=self._runtime.tls,
            task_status=task_status,
        )

    async def _shut_down_on_signal(self, signals):
        """Announces the shutdown and stops accepting requests after the notice time.

        During ``leaving_notice_s`` the router still serves, so that load balancers and
        peers can switch to other routers without failed requests.
        """
        await signals.wait_for_stop()
        self._runtime.start_leaving()
        _log.info("Shutting down; requests in progress continue.")
        await anyio.sleep(self._runtime.settings.leaving_notice_s)
        self._http.should_exit = True

    def _record(self):
        settings = self._runtime.settings
        return router_record(self._runtime, settings.http_host, settings.http_port)


async def _run_router(settings):
    store = HttpStore(settings.store_url)
    try:
        await Router(settings, store).run()
    finally:
        await store.aclose()


def run_router():
    """Starts the router from the command line."""
    run_program(RouterSettings, _run_router)
