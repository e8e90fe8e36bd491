"""Room of the other gateways of a data centre, and the choice among them.

Load pattern: several gateways are overloaded at once. If all of them chose the one with
the most room, they would overload it before its next report.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerRoomSettings:
    """Settings of a ``PeerRooms``.

    Attributes:
        max_age_s: Age in seconds from which a report no longer counts.
        same_report_s: Difference in seconds up to which two copies of a report that
            came through different agents have the same age.
        failed_s: Seconds for which a gateway that could not be reached is left out.
        max_peers: Number of gateways that are kept.
        max_room_per_s: Largest room that is believed.
    """

    max_age_s: float = 1.5
    same_report_s: float = 0.05
    failed_s: float = 2.0
    max_peers: int = 16
    max_room_per_s: float = 100_000.0


class _Peer:
    __slots__ = ("reported_at", "room_per_s", "taken")

    def __init__(self, room_per_s, reported_at):
        self.room_per_s = room_per_s
        self.reported_at = reported_at
        self.taken = 0

    @property
    def left(self):
        return max(0.0, self.room_per_s - self.taken)


class PeerRooms:
    """What is known of the room of the other gateways.

    A gateway gets at most as many connections as a second of its room takes, until its
    next report shows what they have done.

    Args:
        settings: ``PeerRoomSettings``.

    Examples:
        >>> rooms = PeerRooms(PeerRoomSettings())
        >>> rooms.record("10.0.0.2:7355", 20.0, 5.0)
        True
        >>> rooms.room_per_s(5.5), rooms.room_per_s(7.0)
        (20.0, 0.0)
    """

    __slots__ = ("_failed_at", "_peers", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._peers = {}
        self._failed_at = {}

    def record(self, address, room_per_s, reported_at):
        """Records a report of a gateway.

        Args:
            address: Its relay address.
            room_per_s: Its room in requests a second.
            reported_at: Time of the report in seconds.

        Returns:
            Whether the report can be believed.
        """
        settings = self._settings
        if not 0.0 <= room_per_s <= settings.max_room_per_s:
            return False
        known = self._peers.get(address)
        if known is not None:
            is_newer = reported_at > known.reported_at + settings.same_report_s
        else:
            is_newer = self._has_place(reported_at)
        if is_newer:
            self._peers[address] = _Peer(room_per_s, reported_at)
        return True

    def remove(self, address):
        """Forgets a gateway that leaves."""
        self._peers.pop(address, None)

    def record_failure(self, address, now):
        """Leaves out a gateway that could not be reached."""
        self._peers.pop(address, None)
        self._failed_at[address] = now

    def room_per_s(self, now):
        """Returns the room of all gateways together that is known to be left."""
        return sum((left for _, left in self._candidates(now)), 0.0)

    def choose(self, now, rng):
        """Chooses a gateway for one more connection, in proportion to its room.

        Args:
            now: Present time in seconds.
            rng: A ``random.Random``.

        Returns:
            Its relay address; None if none is known to have room.
        """
        candidates = self._candidates(now)
        if not candidates:
            return None
        addresses, weights = zip(*candidates, strict=True)
        address = rng.choices(addresses, weights)[0]
        self._peers[address].taken += 1
        return address

    def _candidates(self, now):
        self._forget_old(now)
        return [
            (address, peer.left)
            for address, peer in self._peers.items()
            if peer.left >= 1.0 and address not in self._failed_at
        ]

    def _forget_old(self, now):
        settings = self._settings
        for address, peer in list(self._peers.items()):
            if now - peer.reported_at > settings.max_age_s:
                del self._peers[address]
        for address, at in list(self._failed_at.items()):
            if now - at > settings.failed_s:
                del self._failed_at[address]

    def _has_place(self, now):
        if len(self._peers) >= self._settings.max_peers:
            self._forget_old(now)
        return len(self._peers) < self._settings.max_peers
