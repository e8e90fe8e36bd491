"""Reports of an agent to the gateways: heartbeats and the loads of engines."""

import math
from dataclasses import dataclass

import anyio

from pistachiowell.core.errors import LinkLost
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.evacuation_watch import encode_history, encode_version
from pistachiowell.routing import (
    REPORT_PACERS,
    EngineLoad,
    LoadSums,
    SharingSettings,
)
from pistachiowell.schema.generated.messages_gateway import (
    AgentReport,
    EngineShare,
    GatewayLoad,
)

MAX_ENGINES = 1_024

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

    The gateways choose the agent that sums the loads of an engine. The size of a report
    does not grow with the number of gateways: lists of all their loads would fill the
    network links of the gateways in a large fleet.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``; its catalog's revision is reported too.
        catalog_watcher: The ``CatalogWatcher``.
        server_watcher: The ``ServerWatcher``.
        evacuation_watcher: The ``EvacuationWatcher``.
        handlers: Handlers of the links to gateways; this registers its own.
    """

    __slots__ = (
        "_catalog_watcher",
        "_changed",
        "_evacuation_watcher",
        "_last_reports",
        "_pacer",
        "_runtime",
        "_server_watcher",
        "_state",
        "_sums",
    )

    def __init__(
        self,
        runtime,
        state,
        catalog_watcher,
        server_watcher,
        evacuation_watcher,
        handlers,
    ):
        self._runtime = runtime
        self._state = state
        self._catalog_watcher = catalog_watcher
        settings = SharingSettings(interval_s=runtime.settings.report_interval_s)
        self._pacer = REPORT_PACERS.find(settings.pacer)(settings)
        self._sums = {}
        self._last_reports = {}
        self._changed = anyio.Event()
        self._server_watcher = server_watcher
        self._evacuation_watcher = evacuation_watcher
        catalog_watcher.on_change = lambda catalog: self._changed.set()
        server_watcher.on_change = lambda: self._changed.set()
        evacuation_watcher.on_change = lambda: self._changed.set()
        handlers.on(GatewayLoad)(self._handle_load)

    def add_link(self, link):
        """Adds a new link to a gateway until it is closed."""
        self._last_reports[link] = _LastReport()
        self._changed.set()
        link.add_close_listener(lambda: self._remove_link(link))

    async def run(self):
        """Sends the reports that are due until cancelled.

        A round follows a change or a heartbeat that is due, and no other wakes it.
        """
        while True:
            self._changed = anyio.Event()
            self._send_due()
            await anyio.sleep(self._pacer.interval_s(len(self._last_reports)))
            with anyio.move_on_after(self._heartbeat_left_s()):
                await self._changed.wait()

    def _send_due(self):
        now = self._runtime.now()
        for link, last in list(self._last_reports.items()):
            report = self._report(link)
            if self._pacer.is_due(report, last.report, last.at, now):
                self._send(link, report)

    def _heartbeat_left_s(self):
        """Returns the seconds until the next heartbeat is due."""
        oldest_at = min((last.at for last in self._last_reports.values()), default=None)
        if oldest_at is None:
            return math.inf
        return max(0.0, self._pacer.heartbeat_s - (self._runtime.now() - oldest_at))

    def send_all(self):
        """Sends a report to each gateway immediately."""
        for link in list(self._last_reports):
            self._send(link, self._report(link))

    def _report(self, link):
        catalog = self._state.catalog
        ends, known_s = encode_history(self._runtime, self._state)
        return AgentReport(
            loads=[
                encode_load(address, sums.total_except(link))
                for address, sums in self._sums.items()
            ],
            catalog_revision=catalog.revision if catalog else 0,
            follows_store=self._catalog_watcher.follows_store,
            servers_digest=self._server_watcher.digest,
            evacuations=self._evacuation_watcher.reported(),
            evacuations_version=encode_version(self._state.evacuations.version),
            follows_evacuations=self._evacuation_watcher.follows_store,
            evacuation_ends=ends,
            evacuations_known_s=known_s,
            gateways=len(self._last_reports),
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
        for sums in self._sums.values():
            sums.remove(link)
        self._changed.set()

    async def _handle_load(self, link, message):
        if link not in self._last_reports:
            return
        for share in message.loads:
            if share.address in self._sums or len(self._sums) < MAX_ENGINES:
                sums = self._sums.setdefault(share.address, LoadSums())
                sums.record_load(link, decode_load(share))
        self._changed.set()


def encode_load(address, load):
    """Returns the ``EngineShare`` of an ``EngineLoad``."""
    return EngineShare(address, load.reading_tokens, load.running, load.kv_tokens)


def decode_load(share):
    """Returns the ``EngineLoad`` of an ``EngineShare``."""
    return EngineLoad(share.reading_tokens, share.running, share.kv_tokens)
