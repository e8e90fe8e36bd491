"""Reports of a gateway's room to agents, and what these tell of the others."""

import anyio

from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.common import tell_agents
from pistachiowell.schema.generated.messages_gateway import GatewayRoom, PeerRooms

# A report counts for 1.5 s, so each may come 0.7 s late. At 148 bytes each, an agent
# receives 6.5 KB/s from 35 gateways at rest.
REPORT_INTERVAL_S = 0.8
MIN_INTERVAL_S = 0.25
# Change of the busy share or of the link's load that is reported before the next report
# is due.
NOTICED_CHANGE = 0.08
# The same for the excess, in requests a second.
NOTICED_EXCESS_PER_S = 5.0

_log = part_logger("rooms")


class RoomReports:
    """Reports the room of this gateway and records that of the others.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        meter: The ``LoadMeter``.
        link: The ``LinkLoad``.
        share: The ``RelayShare``.
        rooms: The ``PeerRooms``.
        handlers: Handlers of the links to agents; this registers its own.
    """

    __slots__ = (
        "_address",
        "_fleet",
        "_has_warned",
        "_link",
        "_meter",
        "_rooms",
        "_runtime",
        "_sent",
        "_sent_at",
        "_share",
    )

    def __init__(self, runtime, fleet, meter, link, share, rooms, handlers):
        settings = runtime.settings
        self._runtime = runtime
        self._fleet = fleet
        self._meter = meter
        self._link = link
        self._share = share
        self._rooms = rooms
        self._address = f"{settings.peer_host}:{settings.relay_port}"
        self._sent = None
        self._sent_at = float("-inf")
        self._has_warned = False
        handlers.on(PeerRooms, quick=True)(self._handle_rooms)

    async def run(self):
        """Reports at each noticeable change until cancelled."""
        while not self._runtime.leaving:
            report = self._report()
            if self._is_due(report):
                self._send(report)
            await anyio.sleep(MIN_INTERVAL_S)

    def announce_leaving(self):
        """Reports that this gateway takes no more connections."""
        self._send(self._report())

    def _report(self):
        leaving = self._runtime.leaving
        room_per_s = min(self._meter.room_per_s, self._link.room_per_s)
        relayed_per_s = self._share.excess_per_s(self._runtime.now())
        return GatewayRoom(
            self._runtime.settings.data_centre,
            self._address,
            round(max(self._meter.busy, self._link.load), 3),
            0.0 if leaving else round(room_per_s, 1),
            round(max(relayed_per_s, self._link.share.excess_per_s), 1),
            leaving,
        )

    def _is_due(self, report):
        if self._runtime.now() - self._sent_at >= REPORT_INTERVAL_S:
            return True
        excess_change = abs(report.excess_per_s - self._sent.excess_per_s)
        return (
            abs(report.busy - self._sent.busy) >= NOTICED_CHANGE
            or excess_change >= NOTICED_EXCESS_PER_S
        )

    def _send(self, report):
        tell_agents(self._fleet, report.data_centre, report)
        self._sent, self._sent_at = report, self._runtime.now()

    async def _handle_rooms(self, link, message):
        now = self._runtime.now()
        for address in message.left:
            self._rooms.remove(address)
        for peer in message.rooms:
            if peer.address != self._address:
                self._record(link, peer, now)

    def _record(self, link, peer, now):
        is_known = self._rooms.record(
            peer.address, peer.room_per_s, now - max(0.0, peer.age_s)
        )
        if not is_known and not self._has_warned:
            self._has_warned = True
            _log.warning(
                "Ignored a room that is no plain number.",
                agent=link.hello.id if link.hello else "",
                gateway=peer.address,
            )
