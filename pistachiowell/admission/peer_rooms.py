"""Room of the other gateways of a data centre, and the choice among them.

Load pattern: several gateways are overloaded at once. If all of them chose the one with
the most room, they would overload it before its next report. Each is therefore told
its own part of the room, in proportion to its excess, and keeps to this rate.
"""

from dataclasses import dataclass

from pistachiowell.admission.overload import EventRate

# Requests a second that a gateway near its limit counts for before it has an excess, so
# that it is told of some room in advance.
MIN_EXCESS_PER_S = 1.0


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
        burst_s: Seconds of its room that a gateway may get at once.
        rate_window_s: Time constant of the rate of the choices in seconds.
    """

    max_age_s: float = 1.5
    same_report_s: float = 0.05
    failed_s: float = 2.0
    max_peers: int = 16
    max_room_per_s: float = 100_000.0
    burst_s: float = 0.25
    rate_window_s: float = 0.5


def room_shares(excesses):
    """Returns the share of the others' room that each of some gateways may use.

    Args:
        excesses: Requests a second that each would relay.

    Examples:
        >>> room_shares([30.0, 9.0, 0.0])
        [0.75, 0.225, 0.025]
    """
    weights = [max(MIN_EXCESS_PER_S, excess) for excess in excesses]
    return [weight / sum(weights) for weight in weights]


class _Peer:
    """A gateway with room; connections to it are spaced by a token bucket."""

    __slots__ = ("_saved", "_saved_at", "reported_at", "room_per_s")

    def __init__(self, room_per_s, reported_at):
        self.room_per_s = room_per_s
        self.reported_at = reported_at
        self._saved = 1.0
        self._saved_at = reported_at

    def has_room(self, now, burst_s):
        """Returns whether it takes one more connection at present."""
        self._saved = self._tokens(now, burst_s)
        self._saved_at = max(now, self._saved_at)
        return self._saved >= 1.0

    def would_have_room(self, now, burst_s):
        """Returns what ``has_room`` would, and saves nothing."""
        return self._tokens(now, burst_s) >= 1.0

    def _tokens(self, now, burst_s):
        passed_s = max(0.0, now - self._saved_at)
        most = max(1.0, self.room_per_s * burst_s)
        return min(most, self._saved + self.room_per_s * passed_s)

    def take(self):
        """Records one more connection."""
        self._saved -= 1.0


class PeerRooms:
    """What is known of the room of the other gateways.

    The room of a gateway is the rate of all that this gateway relays to it.

    Args:
        settings: ``PeerRoomSettings``.

    Examples:
        >>> rooms = PeerRooms(PeerRoomSettings())
        >>> rooms.record("10.0.0.2:7355", 20.0, 5.0)
        True
        >>> rooms.room_per_s(5.5), rooms.room_per_s(7.0)
        (20.0, 0.0)
    """

    __slots__ = ("_choices", "_failed_at", "_peers", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._choices = EventRate(settings.rate_window_s)
        self._peers = {}
        self._failed_at = {}

    def record(self, address, room_per_s, reported_at):
        """Records a report of a gateway.

        Args:
            address: Its relay address.
            room_per_s: Requests a second that it takes from this gateway.
            reported_at: Time of the report in seconds.

        Returns:
            Whether the report can be believed.
        """
        settings = self._settings
        if not 0.0 <= room_per_s <= settings.max_room_per_s:
            return False
        known = self._peers.get(address)
        if known is None:
            if self._has_place(reported_at):
                self._peers[address] = _Peer(room_per_s, reported_at)
        elif reported_at > known.reported_at + settings.same_report_s:
            known.room_per_s, known.reported_at = room_per_s, reported_at
        return True

    def remove(self, address):
        """Forgets a gateway that leaves."""
        self._peers.pop(address, None)

    def record_failure(self, address, now):
        """Leaves out a gateway that could not be reached."""
        self._peers.pop(address, None)
        self._failed_at[address] = now

    def room_per_s(self, now):
        """Returns the requests a second that the others take beside the present."""
        self._forget_old(now)
        return self.expected_room_per_s(now)

    def expected_room_per_s(self, now):
        """Returns what ``room_per_s`` would, and forgets nothing."""
        room = sum(peer.room_per_s for peer in self._reachable(now).values())
        return max(0.0, room - self._choices.per_s(now))

    def odds(self, now):
        """Returns the probability of each relay address that ``choose`` may return."""
        burst_s = self._settings.burst_s
        rooms = {
            address: peer.room_per_s
            for address, peer in self._reachable(now).items()
            if peer.would_have_room(now, burst_s) and peer.room_per_s
        }
        return {address: room / sum(rooms.values()) for address, room in rooms.items()}

    def _reachable(self, now):
        """Returns the peers by address whose reports count; forgets nothing."""
        settings = self._settings
        return {
            address: peer
            for address, peer in self._peers.items()
            if now - peer.reported_at <= settings.max_age_s
            and not self._has_failed(address, now)
        }

    def _has_failed(self, address, now):
        failed_at = self._failed_at.get(address)
        return failed_at is not None and now - failed_at <= self._settings.failed_s

    def choose(self, now, rng):
        """Chooses a gateway for one more connection, in proportion to its room.

        Args:
            now: Present time in seconds.
            rng: A ``random.Random``.

        Returns:
            Its relay address; None if none is known to have room.
        """
        burst_s = self._settings.burst_s
        self._forget_old(now)
        peers = self._reachable(now)
        ready = [name for name, peer in peers.items() if peer.has_room(now, burst_s)]
        weights = [peers[name].room_per_s for name in ready]
        if not sum(weights):
            return None
        address = rng.choices(ready, weights)[0]
        peers[address].take()
        self._choices.add(now)
        return address

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
