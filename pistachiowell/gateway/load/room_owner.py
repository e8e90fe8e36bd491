"""Tells the gateways of a data centre which of them have the most room.

The agents that rank first for the name of the data centre do it.
"""

import math
from dataclasses import dataclass

from pistachiowell.admission import room_shares
from pistachiowell.core.errors import LinkLost
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.common import ReportRounds, RoundSettings
from pistachiowell.schema.generated.messages_gateway import (
    GatewayRoom,
    PeerRoom,
    PeerRooms,
)

MAX_TOLD = 8
MAX_AGE_S = 1.5
# The interval grows with the number of gateways that are told, 553 bytes each, so that
# an agent sends 4.6 KB/s up to 8 of them. Each is told by two agents.
ROUNDS = RoundSettings(0.25, 1.0, interval_per_gateway_s=0.12)
# Only gateways above this busy share are told: the others relay nothing, and telling
# all of a large data centre would exceed the 8 KB/s that a VM has for control.
TOLD_BUSY = 0.5

_log = part_logger("rooms")


@dataclass(frozen=True, slots=True)
class _Report:
    """The last report of a gateway and the time of its receipt in seconds."""

    room: GatewayRoom
    at: float


class RoomOwner:
    """Collects the reports of the gateways and tells those near their limit.

    Args:
        runtime: The process's ``Runtime``.
        links: The ``LinkSet`` of the links to gateways.
        handlers: Handlers of the links; this registers its own.
    """

    __slots__ = ("_has_warned", "_links", "_reports", "_rounds", "_runtime")

    def __init__(self, runtime, links, handlers):
        self._runtime = runtime
        self._links = links
        self._reports = {}
        self._has_warned = False
        self._rounds = ReportRounds(ROUNDS, self._tell_all)
        handlers.on(GatewayRoom, quick=True)(self._handle_room)

    async def run(self):
        """Tells the gateways until cancelled."""
        await self._rounds.run()

    async def _handle_room(self, link, message):
        if link.closed:
            return
        if not _is_plausible(message):
            self._warn_once(message)
            return
        if message.leaving:
            self._reports.pop(link, None)
            self._links.broadcast(PeerRooms(left=[message.address]))
            return
        if link not in self._reports:
            link.add_close_listener(lambda: self._reports.pop(link, None))
        self._reports[link] = _Report(message, self._runtime.now())
        self._rounds.record_report()

    def _warn_once(self, message):
        if not self._has_warned:
            self._has_warned = True
            _log.warning(
                "Ignored a gateway's load that is no plain number.",
                gateway=message.address,
            )

    def _tell_all(self):
        now = self._runtime.now()
        by_data_centre = {}
        for link, report in self._reports.items():
            if now - report.at <= MAX_AGE_S:
                group = by_data_centre.setdefault(report.room.data_centre, [])
                group.append((link, report))
        return sum(self._tell(group, now) for group in by_data_centre.values())

    def _tell(self, group, now):
        """Tells the gateways of a data centre, and returns how many were told."""
        told = [(link, r.room) for link, r in group if r.room.busy >= TOLD_BUSY]
        with_room = [report for _, report in group if report.room.room_per_s >= 1.0]
        with_room.sort(key=lambda report: report.room.room_per_s, reverse=True)
        # One more than is told, as a gateway is not told of itself.
        del with_room[MAX_TOLD + 1 :]
        shares = room_shares([room.excess_per_s for _, room in told])
        for (link, room), share in zip(told, shares, strict=True):
            rooms = [
                _peer_room(report, share, now)
                for report in with_room
                if report.room.address != room.address
            ]
            if rooms:
                self._send(link, PeerRooms(rooms[:MAX_TOLD]))
        return len(told)

    def _send(self, link, message):
        try:
            link.send(message)
        except LinkLost as error:
            _log.debug("Telling a gateway of the others' room failed: {}", error)


def _peer_room(report, share, now):
    room = report.room
    age_s = round(now - report.at, 2)
    return PeerRoom(room.address, round(share * room.room_per_s, 2), age_s)


def _is_plausible(message):
    values = (message.busy, message.room_per_s, message.excess_per_s)
    return all(math.isfinite(value) and value >= 0.0 for value in values)
