"""Share of the new connections that a gateway near its limit relays to others.

Load pattern: one client account sends three times its usual load and stays on one
gateway, whose neighbours are idle.
"""

from dataclasses import dataclass

from pistachiowell.admission.overload import EventRate

# Longest time between two samples that counts as such.
MAX_STEP_S = 0.5


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Settings of a ``RelayShare``.

    Attributes:
        begin_busy: Busy share from which connections are relayed.
        kept_busy: Busy share that is kept while they are. It is above the share up to
            which a gateway has room, so that no gateway both relays and receives.
        late_s: Transit time of the event loop in seconds from which the gateway counts
            as late; half of what refuses requests.
        transit_window_s: Time constant of its mean in seconds.
        rate_window_s: Time constant of the rate of connections in seconds.
        gain_per_s: Change of the share in a second for each unit of busy share above
            what is kept.
        late_gain_per_s: Change in a second while the gateway is late.
        max_share: Largest share that is relayed. A gateway that relays all would not
            learn whether it has become able to serve.
    """

    begin_busy: float = 0.8
    kept_busy: float = 0.75
    late_s: float = 0.065
    transit_window_s: float = 0.1
    rate_window_s: float = 0.5
    gain_per_s: float = 4.0
    late_gain_per_s: float = 2.0
    max_share: float = 0.95


class RelayShare:
    """Controls the share by integral control of the busy share.

    It begins at a higher load than it keeps, and ends when nothing is relayed any more,
    so that it does not begin and end in turns.

    Args:
        settings: ``RelaySettings``.

    Examples:
        >>> share = RelayShare(RelaySettings())
        >>> for tick in range(40):
        ...     share.record(1.0, tick * 0.05)
        >>> share.share
        0.95
        >>> share.takes_next(2.0)
        False
        >>> share.takes_next(2.0)
        True
    """

    __slots__ = (
        "_at",
        "_connections",
        "_credit",
        "_settings",
        "_share",
        "_transit_at",
        "_transit_s",
    )

    def __init__(self, settings):
        self._settings = settings
        self._connections = EventRate(settings.rate_window_s)
        self._at = None
        self._credit = 0.0
        self._share = 0.0
        self._transit_at = 0.0
        self._transit_s = 0.0

    @property
    def share(self):
        """Share of the new connections that is relayed at present."""
        return self._share

    def record_transit(self, transit_s, now):
        """Records a transit time of the event loop; both are in seconds."""
        passed_s = max(0.0, now - self._transit_at)
        self._transit_at = now
        gain = min(1.0, passed_s / self._settings.transit_window_s)
        self._transit_s += gain * (transit_s - self._transit_s)

    def record(self, busy, now, *, is_link_full=False):
        """Records the busy share and adjusts the share of the connections.

        Args:
            busy: Busy share.
            now: Present time in seconds.
            is_link_full: Whether the network link is near its limit. A relayed
                connection takes as much of it as one that is served here.
        """
        at, self._at = self._at, now
        if is_link_full:
            self._share = 0.0
            return
        if at is None:
            return
        settings = self._settings
        passed_s = min(MAX_STEP_S, max(0.0, now - at))
        is_late = self._transit_s > settings.late_s
        if not self._share and busy < settings.begin_busy and not is_late:
            return
        change = settings.gain_per_s * (busy - settings.kept_busy)
        if is_late:
            change = max(change, settings.late_gain_per_s)
        share = self._share + change * passed_s
        self._share = min(settings.max_share, max(0.0, share))

    def excess_per_s(self, now):
        """Returns the connections a second that would be relayed."""
        return self._share * self._connections.per_s(now)

    @property
    def would_take_next(self):
        """Whether ``takes_next`` would return that a connection is relayed."""
        return self._share > 0.0 and self._credit + self._share >= 1.0

    def takes_next(self, now):
        """Returns whether a new connection shall be relayed.

        The relayed ones are spread evenly: each connection adds its share.
        """
        self._connections.add(now)
        if not self._share:
            return False
        self._credit += self._share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
