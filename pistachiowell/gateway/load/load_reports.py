"""Reports of an agent to the gateways: heartbeats and the loads of engines."""

import dataclasses
import math
from dataclasses import dataclass, field

import anyio

from pistachiowell.core.errors import LinkLost, MessageInvalid
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.feeds import encode_history, encode_version
from pistachiowell.routing import (
    REPORT_PACERS,
    EncodedLoads,
    EngineLoad,
    LoadDecoder,
    LoadEncoder,
    SharedLoads,
    SharingSettings,
)
from pistachiowell.schema.generated.messages_gateway import (
    AgentReport,
    EngineShare,
    GatewayLoad,
    LoadChanges,
)

# All loads are sent again after this time, so that no difference between what the two
# ends of a link know of each other lasts.
WHOLE_INTERVAL_S = 60.0
# Gateways that get all loads again in one round. Links that were opened together would
# otherwise fill the agent's network link together.
MAX_RESTARTS = 4

_log = part_logger("agent")


@dataclass(slots=True)
class _GatewayLink:
    """What was exchanged over a link to a gateway.

    Attributes:
        restarted_at: Time in seconds at which the encoder last began anew.
        report: The last ``AgentReport``; None before the first.
        sent_at: Time of the last message in seconds.
        encoder: Encodes the loads of the others.
        decoder: Decodes the loads of the gateway.
    """

    restarted_at: float
    report: AgentReport | None = None
    sent_at: float = float("-inf")
    encoder: LoadEncoder = field(default_factory=LoadEncoder)
    decoder: LoadDecoder = field(default_factory=LoadDecoder)


class LoadReporter:
    """Sums the loads of the gateways and reports to each the sum of the others.

    The gateways choose the agent that sums the loads of an engine. The size of a report
    does not grow with the number of gateways: lists of all their loads would fill the
    network links of the gateways in a large fleet. A gateway that reads ``LoadChanges``
    gets the loads that have changed, any other gets all in each report.

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
        "_links",
        "_loads",
        "_pacer",
        "_runtime",
        "_server_watcher",
        "_state",
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
        self._loads = SharedLoads()
        self._links = {}
        self._changed = anyio.Event()
        self._server_watcher = server_watcher
        self._evacuation_watcher = evacuation_watcher
        catalog_watcher.on_change = lambda catalog: self._changed.set()
        server_watcher.on_change = lambda: self._changed.set()
        evacuation_watcher.on_change = lambda: self._changed.set()
        handlers.on(GatewayLoad)(self._handle_load)
        handlers.on(LoadChanges)(self._handle_changes)

    def add_link(self, link):
        """Adds a new link to a gateway until it is closed."""
        self._links[link] = _GatewayLink(self._runtime.now())
        self._loads.add_router(link)
        self._changed.set()
        link.add_close_listener(lambda: self._remove_link(link))

    async def run(self):
        """Sends the reports that are due until cancelled.

        A round follows a change or a heartbeat that is due, and no other wakes it.
        """
        while True:
            self._changed = anyio.Event()
            self.send_due()
            await anyio.sleep(self._pacer.interval_s(len(self._links)))
            with anyio.move_on_after(self._heartbeat_left_s()):
                await self._changed.wait()

    def send_due(self):
        """Sends the reports that are due now."""
        now = self._runtime.now()
        self._restart_due(now)
        report = self._report()
        for link, gateway in list(self._links.items()):
            if reads_load_changes(link):
                self._send_changes(link, gateway, report, now)
            else:
                self._send_whole(link, gateway, report, now)

    def _restart_due(self, now):
        """Has all loads sent again to a few of the gateways for which that is due."""
        due = [
            (link, gateway)
            for link, gateway in self._links.items()
            if gateway.encoder.is_full or now - gateway.restarted_at >= WHOLE_INTERVAL_S
        ]
        for link, gateway in due[:MAX_RESTARTS]:
            gateway.restarted_at = now
            gateway.encoder.restart()
            self._loads.add_router(link)

    def _send_changes(self, link, gateway, report, now):
        changes = self._loads.changes(link)
        if not changes and not self._pacer.is_due(
            report, gateway.report, gateway.sent_at, now
        ):
            return
        encoded = gateway.encoder.encode(changes)
        messages = [] if report == gateway.report else [report]
        if self._send(link, [*messages, change_message(encoded)]):
            self._loads.record_sent(link, changes)
            gateway.report, gateway.sent_at = report, now

    def _send_whole(self, link, gateway, report, now):
        others = self._loads.others(link).items()
        loads = [encode_load(address, load) for address, load in others]
        report = dataclasses.replace(report, loads=loads)
        is_due = self._pacer.is_due(report, gateway.report, gateway.sent_at, now)
        if is_due and self._send(link, [report]):
            gateway.report, gateway.sent_at = report, now

    def _send(self, link, messages):
        """Sends messages and returns whether the link was open."""
        try:
            for message in messages:
                link.send(message)
        except LinkLost as error:
            _log.debug("Sending a report to a gateway failed: {}", error)
            return False
        return True

    def _heartbeat_left_s(self):
        """Returns the seconds until the next heartbeat is due."""
        oldest_at = min(
            (gateway.sent_at for gateway in self._links.values()), default=None
        )
        if oldest_at is None:
            return math.inf
        return max(0.0, self._pacer.heartbeat_s - (self._runtime.now() - oldest_at))

    def send_all(self):
        """Sends a report to each gateway immediately."""
        for gateway in self._links.values():
            gateway.report, gateway.sent_at = None, float("-inf")
        self.send_due()

    def _report(self):
        """Returns the ``AgentReport`` without loads."""
        catalog = self._state.catalog
        ends, known_s = encode_history(self._runtime, self._state)
        return AgentReport(
            catalog_revision=catalog.revision if catalog else 0,
            follows_store=self._catalog_watcher.follows_store,
            servers_digest=self._server_watcher.digest,
            evacuations=self._evacuation_watcher.reported(),
            evacuations_version=encode_version(self._state.evacuations.version),
            follows_evacuations=self._evacuation_watcher.follows_store,
            evacuation_ends=ends,
            evacuations_known_s=known_s,
            gateways=len(self._links),
            leaving=self._runtime.leaving,
        )

    def _remove_link(self, link):
        self._links.pop(link, None)
        self._loads.remove_router(link)
        self._changed.set()

    async def _handle_load(self, link, message):
        if link in self._links:
            self._record_loads(link, decode_loads(message.loads))

    async def _handle_changes(self, link, message):
        if link not in self._links:
            return
        changed = decode_changes(link, self._links[link].decoder, message)
        if changed is not None:
            self._record_loads(link, changed)

    def _record_loads(self, link, loads):
        for address, load in loads.items():
            self._loads.record_load(link, address, load)
        self._changed.set()


def reads_load_changes(link):
    """Returns whether the peer of a link is known to read ``LoadChanges``."""
    return link.hello is not None and link.hello.reads_load_changes


def change_message(encoded):
    """Returns the ``LoadChanges`` of ``EncodedLoads``."""
    return LoadChanges(encoded.is_whole, encoded.engines, encoded.loads)


def decode_changes(link, decoder, message):
    """Returns the changed loads of a ``LoadChanges`` by address.

    A link whose loads do not fit those from before is closed, as nothing that follows
    on it could be read.

    Args:
        link: The link over which it came.
        decoder: The ``LoadDecoder`` of the link.
        message: The ``LoadChanges``.

    Returns:
        Mapping of addresses to ``EngineLoad``; None if they do not fit.
    """
    try:
        return decoder.decode(
            EncodedLoads(message.whole, message.engines, message.loads)
        )
    except MessageInvalid as error:
        name = link.hello.id if link.hello else ""
        _log.warning("Closing a link with unreadable loads: {}", error, peer=name)
        link.close()
        return None


def encode_load(address, load):
    """Returns the ``EngineShare`` of an ``EngineLoad``."""
    return EngineShare(address, load.reading_tokens, load.running, load.kv_tokens)


def decode_loads(shares):
    """Returns the ``EngineLoad`` of each ``EngineShare`` by address."""
    return {
        share.address: EngineLoad(share.reading_tokens, share.running, share.kv_tokens)
        for share in shares
    }
