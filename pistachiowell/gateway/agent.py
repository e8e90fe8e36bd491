"""The process beside a backend server: budgets, load reports, configuration."""

import zlib

import anyio

from pistachiowell.core.logs import part_logger
from pistachiowell.core.metrics_page import serve_metrics
from pistachiowell.core.runtime import Runtime
from pistachiowell.core.signals import wait_for_signal
from pistachiowell.gateway.budget_owner import BudgetOwner
from pistachiowell.gateway.load_reports import LoadReporter
from pistachiowell.gateway.move_judge import MoveJudge
from pistachiowell.gateway.state import GatewayState
from pistachiowell.gateway.watchers import CatalogWatcher, MoveOrderWatcher
from pistachiowell.schema.generated.messages_gateway import (
    CatalogDocument,
    FetchCatalog,
)
from pistachiowell.store.registration import (
    agent_record,
    register_process,
    unregister_process,
)
from pistachiowell.wire import Handlers, serve
from pistachiowell.wire.status import register_status_handlers

COMPRESSION_LEVEL = 3

_log = part_logger("agent")


class GatewayAgent:
    """All parts of one agent.

    Args:
        settings: ``GatewayAgentSettings``.
        store: The platform's store.
        adapter: Object with the codecs ``configuration`` and ``moves``; see
            ``pistachiowell.platform.main``.
    """

    __slots__ = (
        "_catalogs",
        "_compressed_of",
        "_compressed_value",
        "_handlers",
        "_home",
        "_judging",
        "_load_reports",
        "_move_feed",
        "_runtime",
        "_state",
    )

    def __init__(self, settings, store, adapter):
        self._runtime = runtime = Runtime("agent", settings, store)
        self._state = state = GatewayState(settings)
        self._handlers = Handlers()
        register_status_handlers(self._handlers, runtime)
        self._catalogs = CatalogWatcher(runtime, state, adapter.configuration)
        self._compressed_of = None
        self._compressed_value = b""
        self._home = BudgetOwner(runtime, state, self._handlers)
        self._judging = MoveJudge(runtime, self._handlers, adapter.moves)
        self._move_feed = MoveOrderWatcher(
            runtime, adapter.moves, self._judging.take_orders
        )
        self._handlers.on(FetchCatalog, quick=True)(self._take_fetch)
        self._load_reports = LoadReporter(
            runtime, state, self._catalogs, self._handlers
        )

    @property
    def state(self):
        """The ``GatewayState``; only its catalog is used."""
        return self._state

    @property
    def incarnation(self):
        """Unique id of this run."""
        return self._runtime.incarnation

    async def run(self):
        """Runs until a signal comes."""
        async with anyio.create_task_group() as group:
            await group.start(self._serve_gateways)
            group.start_soon(self._catalogs.run)
            group.start_soon(self._home.run)
            group.start_soon(self._move_feed.run)
            group.start_soon(self._judging.run)
            group.start_soon(self._load_reports.run)
            group.start_soon(serve_metrics, self._runtime)
            _log.info(
                "Agent starts.",
                incarnation=self._runtime.incarnation,
                engine=self._runtime.settings.engine_address,
            )
            group.start_soon(self._register)
            await wait_for_signal(_note_reload)
            self._runtime.start_leaving()
            self._load_reports.send_all()
            with anyio.move_on_after(1.0):
                await self._home.give_back()
                await unregister_process(self._runtime.store, "agents", self._record())
            _log.info("Agent stops.")
            group.cancel_scope.cancel()

    async def _register(self):
        await register_process(self._runtime.store, "agents", self._record())

    async def _serve_gateways(self, *, task_status):
        settings = self._runtime.settings
        await serve(
            settings.host,
            settings.port,
            self._runtime.hello,
            self._handlers,
            self._runtime.clock,
            on_link=self._load_reports.add_link,
            task_status=task_status,
        )

    async def _take_fetch(self, link, message):
        del link
        catalog = self._state.catalog
        is_newer = catalog is not None and catalog.revision > message.revision
        return CatalogDocument(self._compressed() if is_newer else b"")

    def _compressed(self):
        """Returns the configuration in force, compressed once for all gateways."""
        raw = self._catalogs.raw
        if self._compressed_of is not raw:
            self._compressed_of = raw
            self._compressed_value = zlib.compress(raw, COMPRESSION_LEVEL)
        return self._compressed_value

    def _record(self):
        return agent_record(self._runtime, self._runtime.settings.engine_address)


def _note_reload():
    _log.info("Reload asked for; the settings need none.")
