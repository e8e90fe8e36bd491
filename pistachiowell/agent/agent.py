"""Assembles and runs the parts of one agent."""

import anyio

from pistachiowell.agent.claiming import ClaimCoordinator
from pistachiowell.agent.crashes import CrashDetector
from pistachiowell.agent.gate import AdmissionGate
from pistachiowell.agent.orders import EngineOrderHandler
from pistachiowell.agent.receipts import ReceiptRecorder, record_crashed_agent
from pistachiowell.agent.runner import Runner
from pistachiowell.core.events import EventKind
from pistachiowell.core.logs import part_logger
from pistachiowell.core.metrics_page import serve_metrics
from pistachiowell.core.program import run_program
from pistachiowell.core.runtime import Runtime
from pistachiowell.engines import HttpBackend
from pistachiowell.router.rows import Rows
from pistachiowell.schema.generated.messages_requests import LoadReport
from pistachiowell.schema.generated.settings import AgentSettings
from pistachiowell.signals.watch import SignalWatch
from pistachiowell.store.http import HttpStore
from pistachiowell.store.registration import (
    agent_record,
    register_process,
    unregister_process,
)
from pistachiowell.wire import (
    AcknowledgedReports,
    Handlers,
    LinkSet,
    LinkTls,
    serve,
)
from pistachiowell.wire.status import register_status_handlers

LOAD_INTERVAL_S = 0.2
ROW_POLL_INTERVAL_S = 0.1

_log = part_logger("agent")


class Agent:
    """Assembles and runs the parts of one agent.

    At the start, the agent first records a crash of its previous incarnation, then
    registers, and only then admits requests. At shutdown it removes its registration
    only after its final sums are stored. Otherwise, grants could be closed without the
    tokens that were used at this agent.

    Args:
        settings: The ``AgentSettings``.
        store: The platform's store.
    """

    __slots__ = (
        "_backend",
        "_gate",
        "_handlers",
        "_links",
        "_receipts",
        "_reports",
        "_rows",
        "_runner",
        "_runtime",
    )

    def __init__(self, settings, store):
        self._runtime = Runtime("agent", settings, store)
        self._runtime.tls = LinkTls.from_settings(settings)
        self._handlers = Handlers()
        register_status_handlers(self._handlers, self._runtime)
        self._links = LinkSet()
        self._reports = AcknowledgedReports(self._runtime, self._links, self._handlers)
        self._rows = Rows(
            self._runtime,
            self._handlers,
            links=lambda: self._links.links,
            watches=self._needs_watch,
        )
        self._backend = None
        self._gate = None
        self._runner = None
        self._receipts = None

    async def run(self):
        """Runs until a signal arrives and the requests in progress have ended.

        A signal during the start, which may wait long for the store, ends it: nothing
        has been admitted then.
        """
        record = self._record()
        async with anyio.create_task_group() as group:
            signals = SignalWatch()
            group.start_soon(signals.run)
            if await signals.run_unless_stopped(self._start, group, record):
                await signals.wait_for_stop()
                await self._shut_down(record)
            if self._backend is not None:
                await self._backend.aclose()
            group.cancel_scope.cancel()

    async def _start(self, group, record):
        group.start_soon(self._rows.run)
        if self._runtime.tls is not None:
            group.start_soon(self._runtime.tls.reload_periodically)
        row = await self._server_row()
        self._backend = HttpBackend(row.url)
        claiming = ClaimCoordinator(self._runtime)
        await group.start(claiming.run)
        self._gate = AdmissionGate(self._runtime, row.slots)
        self._runtime.metrics.watch("gate.running", lambda: self._gate.running)
        self._runtime.metrics.watch("gate.waiting", lambda: self._gate.waiting)
        crash_detector = CrashDetector(
            self._runtime, self._reports, self._backend, self._gate
        )
        self._runner = Runner(
            self._runtime,
            self._handlers,
            self._gate,
            claiming,
            crash_detector,
            self._backend,
            self._version,
        )
        EngineOrderHandler(self._runtime, self._handlers, self._backend)
        self._receipts = ReceiptRecorder(self._runtime, self._handlers)
        self._runner.receipts = self._receipts
        await group.start(self._runner.run)
        group.start_soon(self._gate.run)
        await group.start(self._serve_routers)
        group.start_soon(self._send_load_regularly)
        group.start_soon(serve_metrics, self._runtime)
        await record_crashed_agent(self._runtime.store, record)
        await register_process(self._runtime.store, "agents", record)
        self._receipts.registered = True
        group.start_soon(self._receipts.check_routers, lambda: self._links.links)
        _log.info(
            "Agent {} is registered for backend server {}.",
            record.id,
            record.server,
        )

    async def _shut_down(self, record):
        _log.info("Shutting down; waiting for the requests in progress.")
        self._runtime.start_leaving()
        self._send_load()
        settings = self._runtime.settings
        await anyio.sleep(settings.leaving_notice_s)
        with anyio.move_on_after(settings.shutdown_timeout_s):
            await self._runner.wait_idle()
        if await self._receipts.store_final_record():
            await unregister_process(self._runtime.store, "agents", record)
        self._runtime.events.add(EventKind.process_stopped)

    def _needs_watch(self):
        # The agent registers only after it has the row of its server. Until then no
        # router connects to it, so it has no peer that could send it the table.
        return self._rows.table.server(self._runtime.settings.server) is None

    async def _server_row(self):
        name = self._runtime.settings.server
        while self._rows.table.server(name) is None:
            await anyio.sleep(ROW_POLL_INTERVAL_S)
        return self._rows.table.server(name)

    def _version(self):
        row = self._rows.table.server(self._runtime.settings.server)
        return row.version if row else ""

    async def _serve_routers(self, *, task_status):
        settings = self._runtime.settings
        await serve(
            settings.host,
            settings.port,
            self._runtime.hello,
            self._handlers,
            self._runtime.clock,
            clients=self._runtime.clients,
            tls=self._runtime.tls,
            on_link=self._links.add,
            task_status=task_status,
        )

    async def _send_load_regularly(self):
        while True:
            self._send_load()
            await anyio.sleep(LOAD_INTERVAL_S)

    def _send_load(self):
        report = LoadReport(
            server=self._runtime.settings.server,
            version=self._version(),
            running=self._gate.running,
            waiting=self._gate.waiting,
            slots=self._gate.slots,
            leaving=self._runtime.leaving,
            table_revision=self._runtime.table_revision(),
        )
        self._links.broadcast(report)

    def _record(self):
        return agent_record(self._runtime, self._runtime.settings.server)


async def _run_agent(settings):
    store = HttpStore(settings.store_url)
    try:
        await Agent(settings, store).run()
    finally:
        await store.aclose()


def run_agent():
    """Runs the agent with the settings of the command line."""
    run_program(AgentSettings, _run_agent)
