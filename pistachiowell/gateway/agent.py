"""The process beside a backend server: budgets, load reports, configuration."""

import signal

import anyio
import httpcore
import msgspec

from pistachiowell.core.errors import LinkLost
from pistachiowell.core.logs import part_logger
from pistachiowell.core.metrics_page import serve_metrics
from pistachiowell.core.runtime import Runtime
from pistachiowell.gateway.feeds import CatalogFeed, MoveFeed
from pistachiowell.gateway.home import BudgetHome
from pistachiowell.gateway.judging import Judging
from pistachiowell.gateway.state import GatewayState
from pistachiowell.schema.generated.messages_gateway import (
    AgentReport,
    CatalogDocument,
    FetchCatalog,
    GatewayLoad,
)
from pistachiowell.schema.generated.objects_membership import AgentRecord
from pistachiowell.store.registration import register_process, unregister_process
from pistachiowell.wire import Handlers, serve
from pistachiowell.wire.status import register_status_handlers

ENGINE_TIMEOUT_S = 0.5
ENGINE_RETRY_S = 1.0

_log = part_logger("agent")


class GatewayAgent:
    """All parts of one agent.

    Args:
        settings: ``GatewayAgentSettings``.
        store: The platform's store.
        adapter: Object with the codecs ``configuration`` and ``loads``; see
            ``pistachiowell.platform.main``.
    """

    __slots__ = (
        "_catalogs",
        "_gateway_loads",
        "_handlers",
        "_home",
        "_judging",
        "_links",
        "_load",
        "_loads_codec",
        "_move_feed",
        "_runtime",
        "_state",
    )

    def __init__(self, settings, store, adapter):
        self._runtime = runtime = Runtime("agent", settings, store)
        self._state = state = GatewayState(settings)
        self._handlers = Handlers()
        self._links = set()
        self._gateway_loads = {}
        self._load = None
        self._loads_codec = adapter.loads
        register_status_handlers(self._handlers, runtime)
        self._catalogs = CatalogFeed(runtime, state, adapter.configuration)
        self._home = BudgetHome(runtime, state, self._handlers)
        self._judging = Judging(runtime, self._handlers, adapter.moves)
        self._move_feed = MoveFeed(runtime, adapter.moves, self._judging.take_orders)
        self._handlers.on(FetchCatalog, quick=True)(self._take_fetch)
        self._handlers.on(GatewayLoad)(self._take_gateway_load)

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
            group.start_soon(self._push_reports)
            group.start_soon(self._read_loads)
            group.start_soon(serve_metrics, self._runtime)
            _log.info(
                "Agent starts.",
                incarnation=self._runtime.incarnation,
                engine=self._runtime.settings.engine_address,
            )
            group.start_soon(self._register)
            await self._wait_for_end()
            self._runtime.start_leaving()
            self._send_report()
            with anyio.move_on_after(1.0):
                await self._home.give_back()
                await unregister_process(self._runtime.store, "agents", self._record())
            _log.info("Agent stops.")
            group.cancel_scope.cancel()

    async def _wait_for_end(self):
        signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*signals) as received:
            async for number in received:
                if number != signal.SIGHUP:
                    return
                _log.info("Reload asked for; the settings need none.")

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
            on_link=self._add_link,
            task_status=task_status,
        )

    def _add_link(self, link):
        self._links.add(link)
        link.add_close_listener(lambda: self._drop_link(link))

    def _drop_link(self, link):
        self._links.discard(link)
        self._gateway_loads.pop(link, None)

    async def _take_gateway_load(self, link, message):
        self._gateway_loads[link] = message

    async def _push_reports(self):
        while True:
            self._send_report()
            await anyio.sleep(self._runtime.settings.report_interval_s)

    def _send_report(self):
        catalog = self._state.catalog
        load = self._load
        report = AgentReport(
            address=self._runtime.settings.engine_address,
            has_load=load is not None,
            running=load.running if load else 0,
            waiting=load.waiting if load else 0,
            kv_tokens=load.kv_tokens if load else 0,
            catalog_revision=catalog.revision if catalog else 0,
            leaving=self._runtime.leaving,
            gateways=list(self._gateway_loads.values()),
        )
        for link in list(self._links):
            try:
                link.send(report)
            except LinkLost as error:
                _log.debug("A gateway gets no report: {}", error)

    async def _take_fetch(self, link, message):
        del link
        catalog = self._state.catalog
        is_newer = catalog is not None and catalog.revision > message.revision
        return CatalogDocument(self._catalogs.raw if is_newer else b"")

    async def _read_loads(self):
        """Reads the engine's own report, which costs it nothing from its own VM."""
        settings = self._runtime.settings
        if not settings.engine_address:
            return
        url = f"http://{settings.engine_address}{self._loads_codec.PATH}"
        timeout = {"timeout": dict.fromkeys(("connect", "read"), ENGINE_TIMEOUT_S)}
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                delay_s = settings.report_interval_s
                try:
                    answer = await pool.request("GET", url, extensions=timeout)
                    self._load = self._loads_codec.decode_load(answer.content)
                except (
                    httpcore.NetworkError,
                    httpcore.TimeoutException,
                    httpcore.ProtocolError,
                    msgspec.MsgspecError,
                    OSError,
                ) as error:
                    if self._load is not None:
                        _log.warning("The engine tells no load.", error=str(error))
                    self._load = None
                    delay_s = ENGINE_RETRY_S
                await anyio.sleep(delay_s)

    def _record(self):
        settings = self._runtime.settings
        return AgentRecord(
            id=settings.id,
            incarnation=self._runtime.incarnation,
            data_centre=settings.data_centre,
            host=settings.host,
            port=settings.advertised_port or settings.port,
            server=settings.engine_address,
        )
