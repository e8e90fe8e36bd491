"""Share of the requests to refuse because a VM's network link is near its limit.

Load pattern: see ``link_load``. Only a refusal relieves the link, as relaying a
connection takes as much of it as serving the request.
"""

# A longer time between two samples, such as after a pause of the process, counts as
# this one.
MAX_STEP_S = 0.5


class LinkShare:
    """Controls the share of the requests that is refused for the link.

    Refusals begin when the offered load has exceeded the link for a while. The excess
    that was admitted until then (a virtual queue) is sent over the next second, by
    admitting less. While others have room, more is refused than exceeds the link, as
    much as they take.

    Args:
        settings: ``LinkSettings``.
        meter: The ``LinkMeter``.

    References:
        S. Kunniyur and R. Srikant, Analysis and design of an adaptive virtual queue
        (AVQ) algorithm for active queue management, SIGCOMM 2001.
    """

    __slots__ = (
        "_at",
        "_backlog_s",
        "_excess_per_s",
        "_has_peer_room",
        "_is_near",
        "_is_refusing",
        "_meter",
        "_offloaded_per_s",
        "_over_s",
        "_refused_at",
        "_refused_share",
        "_settings",
    )

    def __init__(self, settings, meter):
        self._settings = settings
        self._meter = meter
        self._at = None
        self._backlog_s = 0.0
        self._offloaded_per_s = 0.0
        self._excess_per_s = 0.0
        self._has_peer_room = False
        self._is_near = False
        self._is_refusing = False
        self._over_s = 0.0
        self._refused_at = 0.0
        self._refused_share = 0.0

    @property
    def is_near_limit(self):
        """Whether the link is so near its limit that nothing is relayed."""
        return self._is_near or self._is_refusing

    @property
    def is_refusing(self):
        """Whether requests are refused for the link, also if none is at this moment."""
        return self._is_refusing

    @property
    def refused_share(self):
        """Share of the requests that is refused for the link at present."""
        return self._refused_share

    @property
    def excess_per_s(self):
        """Requests a second that would better be served by others."""
        return self._excess_per_s

    @property
    def has_peer_room(self):
        """Whether others can take all that is refused for the link."""
        return self._has_peer_room

    def record(self, peer_room_per_s, now):
        """Records the room of others beside the present, and adjusts the share."""
        at, self._at = self._at, now
        if at is None:
            return
        settings, passed_s = self._settings, min(MAX_STEP_S, max(0.0, now - at))
        expected = self._meter.expected_load(now)
        load = max(expected, self._meter.load)
        limit = settings.low_load if self._is_near else settings.high_load
        self._is_near = load >= limit
        backlog_s = self._backlog_s + (expected - settings.max_load) * passed_s
        self._backlog_s = min(settings.max_backlog_s, max(0.0, backlog_s))
        is_over = self._meter.offered_load(now) > settings.max_load
        over_s = self._over_s + (passed_s if is_over else -passed_s)
        self._over_s = min(settings.begin_s, max(0.0, over_s))
        if not self._is_refusing and self._over_s >= settings.begin_s:
            self._is_refusing, self._refused_at = True, now
        if self._is_refusing:
            self._adjust(peer_room_per_s, passed_s, now)

    def _adjust(self, peer_room_per_s, passed_s, now):
        settings, meter = self._settings, self._meter
        admitted = settings.max_load - self._backlog_s / settings.backlog_window_s
        admitted = max(settings.min_admitted_load, admitted)
        needed = meter.excess_per_s(admitted, now)
        wanted = max(needed, meter.excess_per_s(settings.high_load, now))
        self._excess_per_s = wanted
        offloaded = self._offloaded_per_s
        change = settings.room_gain_per_s * peer_room_per_s
        change -= settings.room_decay_per_s * offloaded
        self._offloaded_per_s = min(wanted, max(0.0, offloaded + change * passed_s))
        refused = max(needed, self._offloaded_per_s)
        offered = meter.offered_per_s(now)
        share = refused / offered if offered else 0.0
        self._refused_share = min(settings.max_refused, share)
        self._has_peer_room = refused <= self._offloaded_per_s + peer_room_per_s
        if self._refused_share:
            self._refused_at = now
        elif now - self._refused_at > settings.end_s:
            self._end()

    def _end(self):
        self._over_s = 0.0
        self._is_refusing = self._has_peer_room = False
        self._offloaded_per_s = self._excess_per_s = 0.0
