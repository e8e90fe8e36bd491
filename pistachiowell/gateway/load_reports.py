"""Reports of an agent to the gateways: signs of life and the load of its engine."""

from dataclasses import dataclass

import anyio

from pistachiowell.core.errors import LinkLost
from pistachiowell.core.logs import part_logger
from pistachiowell.routing import (
    REPORT_PACERS,
    EngineLoad,
    LoadSums,
    SharingSettings,
)
from pistachiowell.schema.generated.messages_gateway import AgentReport, GatewayLoad

_log = part_logger("agent")


@dataclass(slots=True)
class _Told:
    """What a gateway was told last.

    Attributes:
        report: The ``AgentReport``; None before the first.
        at: Time of that in seconds.
    """

    report: AgentReport | None = None
    at: float = float("-inf")


class LoadReporter:
    """Takes the loads of the gateways, and tells each those of the others.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``; its catalog's revision is reported too.
        catalogs: The ``CatalogFeed``.
        handlers: Handlers of the links to gateways; this adds its own.
    """

    __slots__ = ("_catalogs", "_pacer", "_runtime", "_state", "_sums", "_told")

    def __init__(self, runtime, state, catalogs, handlers):
        self._runtime = runtime
        self._state = state
        self._catalogs = catalogs
        settings = SharingSettings(interval_s=runtime.settings.report_interval_s)
        self._pacer = REPORT_PACERS.find(settings.pacer)(settings)
        self._sums = LoadSums()
        self._told = {}
        handlers.on(GatewayLoad)(self._take_load)

    def add_link(self, link):
        """Takes a new link to a gateway."""
        self._told[link] = _Told()
        link.add_close_listener(lambda: self._drop_link(link))

    async def run(self):
        """Reports until cancelled."""
        while True:
            now = self._runtime.now()
            for link, told in list(self._told.items()):
                report = self._report(link)
                if self._pacer.is_due(report, told.report, told.at, now):
                    self._send(link, report)
            await anyio.sleep(self._pacer.interval_s(len(self._told)))

    def send_all(self):
        """Reports to all gateways at once."""
        for link in list(self._told):
            self._send(link, self._report(link))

    def _report(self, link):
        catalog = self._state.catalog
        others = self._sums.others(link)
        return AgentReport(
            address=self._runtime.settings.engine_address,
            reading_tokens=others.reading_tokens,
            running=others.running,
            kv_tokens=others.kv_tokens,
            catalog_revision=catalog.revision if catalog else 0,
            follows_store=self._catalogs.follows_store,
            leaving=self._runtime.leaving,
        )

    def _send(self, link, report):
        try:
            link.send(report)
        except LinkLost as error:
            _log.debug("A gateway gets no report: {}", error)
        else:
            self._told[link] = _Told(report, self._runtime.now())

    def _drop_link(self, link):
        self._told.pop(link, None)
        self._sums.drop(link)

    async def _take_load(self, link, message):
        if link in self._told:
            load = EngineLoad(
                message.reading_tokens, message.running, message.kv_tokens
            )
            self._sums.put(link, load)
