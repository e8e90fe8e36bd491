"""Reports of an agent to the gateways: heartbeats and the load of its engine."""

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
class _LastReport:
    """The report that was sent last to a gateway.

    Attributes:
        report: The ``AgentReport``; None before the first.
        at: Time of its sending in seconds.
    """

    report: AgentReport | None = None
    at: float = float("-inf")


class LoadReporter:
    """Sums the loads of the gateways and reports to each the sum of the others.

    The size of a report does not grow with the number of gateways: lists of all their
    loads would fill the network links of the gateways in a large fleet.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``; its catalog's revision is reported too.
        catalog_watcher: The ``CatalogWatcher``.
        handlers: Handlers of the links to gateways; this registers its own.
    """

    __slots__ = (
        "_catalog_watcher",
        "_last_reports",
        "_pacer",
        "_runtime",
        "_state",
        "_sums",
    )

    def __init__(self, runtime, state, catalog_watcher, handlers):
        self._runtime = runtime
        self._state = state
        self._catalog_watcher = catalog_watcher
        settings = SharingSettings(interval_s=runtime.settings.report_interval_s)
        self._pacer = REPORT_PACERS.find(settings.pacer)(settings)
        self._sums = LoadSums()
        self._last_reports = {}
        handlers.on(GatewayLoad)(self._handle_load)

    def add_link(self, link):
        """Adds a new link to a gateway until it is closed."""
        self._last_reports[link] = _LastReport()
        link.add_close_listener(lambda: self._remove_link(link))

    async def run(self):
        """Sends the reports that are due until cancelled."""
        while True:
            now = self._runtime.now()
            for link, last in list(self._last_reports.items()):
                report = self._report(link)
                if self._pacer.is_due(report, last.report, last.at, now):
                    self._send(link, report)
            await anyio.sleep(self._pacer.interval_s(len(self._last_reports)))

    def send_all(self):
        """Sends a report to each gateway immediately."""
        for link in list(self._last_reports):
            self._send(link, self._report(link))

    def _report(self, link):
        catalog = self._state.catalog
        others = self._sums.total_except(link)
        return AgentReport(
            address=self._runtime.settings.engine_address,
            reading_tokens=others.reading_tokens,
            running=others.running,
            kv_tokens=others.kv_tokens,
            catalog_revision=catalog.revision if catalog else 0,
            follows_store=self._catalog_watcher.follows_store,
            leaving=self._runtime.leaving,
        )

    def _send(self, link, report):
        try:
            link.send(report)
        except LinkLost as error:
            _log.debug("Sending a report to a gateway failed: {}", error)
        else:
            self._last_reports[link] = _LastReport(report, self._runtime.now())

    def _remove_link(self, link):
        self._last_reports.pop(link, None)
        self._sums.remove(link)

    async def _handle_load(self, link, message):
        if link in self._last_reports:
            load = EngineLoad(
                message.reading_tokens, message.running, message.kv_tokens
            )
            self._sums.record_load(link, load)
