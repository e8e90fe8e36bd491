"""Load of a VM's network link by its callers.

Load pattern: a VM of 0.27 to 0.39 cores has a link of 5 or 10 Mbit/s, which is full at
some 100 requests a second while the event loop is on time. Relaying a connection takes
as much of the link as serving it, so only a refusal relieves it.

Answers last 1 to 3 s, and their bytes are spread over this time. A controller of the
present bytes would admit too much until the first of a surge have ended. The load is
therefore estimated from the admitted requests a second and the mean bytes of a request.
"""

import math
from dataclasses import dataclass

from pistachiowell.admission.overload import EventRate

BYTES_PER_S_PER_MBPS = 125_000


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Settings of a ``LinkMeter`` and a ``LinkShare``. Loads are shares of the link.

    Attributes:
        load_window_s: Time constant of the measured load in seconds.
        rate_window_s: Time constant of the rate of all requests in seconds. It is
            short, so that the end of a burst is seen soon.
        spread_window_s: Time constant in seconds of the rates of the admitted and of
            the refused requests, over which their bytes are taken to be spread.
        size_window_s: Time constant in seconds of the mean bytes of a request.
        surplus_window_s: Time constant in seconds of the bytes of large answers beyond
            ``max_request_s``. With 5 s, a single answer of 4 MB counts for more than
            the whole link of 5 Mbit/s.
        max_request_s: Seconds of the link that a request counts for at most in the
            mean.
        request_bytes: Bytes that a request is assumed to take: 45 events of 90 bytes
            and two heads.
        assumed_requests: Number of requests that the assumption counts for.
        refusal_bytes: Bytes of a refused request and its refusal.
        full_load: Load up to which a gateway has room for requests from others.
        high_load: Load from which the link is near its limit, so that nothing is
            relayed. While others have room, refusals keep the load here.
        low_load: Load below which the link is no longer near its limit; it is lower
            than ``high_load``, so that relaying does not go on and off.
        max_load: Load that refusals keep while others have no room.
        begin_s: Seconds for which the offered load has to exceed ``max_load`` before
            anything is refused; times below it are subtracted. A burst of 0.5 s at 2.8
            times the link reaches 0.75.
        max_backlog_s: Most of the excess that is remembered, in seconds of the link.
        backlog_window_s: Time in seconds over which this excess is to be sent.
        min_admitted_load: Load that is admitted at least meanwhile.
        end_s: Seconds without a refusal after which refusals have ended.
        max_refused: Largest share of the requests that is refused.
        room_gain_per_s: Part of the others' room that is used more in each second.
            Their room is known 0.5 to 1.5 s late, so that more would oscillate.
        room_decay_per_s: Part of what others are given that is taken back in each
            second.
    """

    load_window_s: float = 0.4
    rate_window_s: float = 0.25
    spread_window_s: float = 1.0
    size_window_s: float = 5.0
    surplus_window_s: float = 30.0
    max_request_s: float = 0.25
    request_bytes: float = 6000.0
    assumed_requests: float = 15.0
    refusal_bytes: float = 1000.0
    full_load: float = 0.7
    high_load: float = 0.85
    low_load: float = 0.75
    max_load: float = 0.95
    begin_s: float = 0.8
    max_backlog_s: float = 1.0
    backlog_window_s: float = 1.0
    min_admitted_load: float = 0.3
    end_s: float = 1.0
    max_refused: float = 0.95
    room_gain_per_s: float = 0.5
    room_decay_per_s: float = 0.1


class _MeanSize:
    """Mean bytes of a request, with an assumption that counts for some."""

    __slots__ = ("_at", "_bytes", "_limit", "_requests", "_settings", "_surplus")

    def __init__(self, settings, bytes_per_s):
        self._settings = settings
        self._limit = settings.max_request_s * bytes_per_s
        self._at = 0.0
        self._bytes = 0.0
        self._requests = 0.0
        self._surplus = 0.0

    @property
    def mean(self):
        settings = self._settings
        assumed = settings.assumed_requests * settings.request_bytes
        return (self._bytes + assumed) / (self._requests + settings.assumed_requests)

    def surplus_per_s(self, now):
        settings = self._settings
        passed_s = max(0.0, now - self._at)
        kept = math.exp(-passed_s / settings.surplus_window_s)
        return self._surplus * kept / settings.surplus_window_s

    def add(self, size, now):
        settings = self._settings
        passed_s = max(0.0, now - self._at)
        self._at = max(now, self._at)
        kept = math.exp(-passed_s / settings.size_window_s)
        counted = min(size, self._limit)
        self._bytes = self._bytes * kept + counted
        self._requests = self._requests * kept + 1.0
        kept = math.exp(-passed_s / settings.surplus_window_s)
        self._surplus = self._surplus * kept + size - counted


class LinkMeter:
    """Measures and foresees the load of a link, and its room in requests a second.

    Args:
        settings: ``LinkSettings``.
        mbps: Bandwidth in each direction in Mbit/s, above 0.

    Examples:
        >>> meter = LinkMeter(LinkSettings(), 5.0)
        >>> for number in range(200):
        ...     meter.add_request(number * 0.02)
        >>> round(meter.expected_load(4.0), 1)
        0.5
    """

    __slots__ = (
        "_at",
        "_bytes_per_s",
        "_load",
        "_offered",
        "_received",
        "_refused",
        "_served",
        "_settings",
        "_size",
        "_total_bytes",
    )

    def __init__(self, settings, mbps):
        self._settings = settings
        self._bytes_per_s = mbps * BYTES_PER_S_PER_MBPS
        self._offered = EventRate(settings.rate_window_s)
        self._received = EventRate(settings.load_window_s)
        self._refused = EventRate(settings.spread_window_s)
        self._served = EventRate(settings.spread_window_s)
        self._size = _MeanSize(settings, self._bytes_per_s)
        self._at = None
        self._load = 0.0
        self._total_bytes = 0

    @property
    def load(self):
        """Measured load, as a share of the link."""
        return self._load

    @property
    def request_bytes(self):
        """Mean bytes of a request."""
        return self._size.mean

    def add_request(self, now, *, is_received=False):
        """Counts a request that is served here or relayed.

        Args:
            now: Present time in seconds.
            is_received: Whether another gateway has relayed it to this one.
        """
        self._offered.add(now)
        self._served.add(now)
        if is_received:
            self._received.add(now)

    def add_refusal(self, now):
        """Counts a request that is refused."""
        self._offered.add(now)
        self._refused.add(now)

    def add_size(self, size, now):
        """Records the bytes of a request that has ended, with those of its answer."""
        self._size.add(size, now)

    def record(self, total_bytes, now):
        """Records the bytes of all connections so far and the present time."""
        at, self._at = self._at, now
        new_bytes = total_bytes - self._total_bytes
        self._total_bytes = total_bytes
        if at is None or now <= at:
            return
        passed_s = now - at
        load = new_bytes / passed_s / self._bytes_per_s
        gain = 1.0 - math.exp(-passed_s / self._settings.load_window_s)
        self._load += gain * (load - self._load)

    def expected_load(self, now):
        """Returns the load by the requests that were admitted in the last seconds."""
        size = self._served.per_s(now) * self._size.mean
        size += self._refused.per_s(now) * self._settings.refusal_bytes
        return (size + self._size.surplus_per_s(now)) / self._bytes_per_s

    def offered_per_s(self, now):
        """Returns the requests a second that come, refused ones included."""
        return self._offered.per_s(now)

    def room_per_s(self, now):
        """Returns the requests a second that the link takes from others.

        Those that it takes at present are included, so that the room does not shrink
        as it is used; see ``LoadMeter.room_per_s``.
        """
        full = self._settings.full_load
        capacity = self._bytes_per_s / self._size.mean
        free = (full - max(self._load, self.expected_load(now))) * capacity
        return min(full * capacity, max(0.0, free + self._received.per_s(now)))

    def offered_load(self, now):
        """Returns the load of all requests that come, as if none were refused."""
        size = self._offered.per_s(now) * self._size.mean
        return (size + self._size.surplus_per_s(now)) / self._bytes_per_s

    def excess_per_s(self, load, now):
        """Returns the requests a second to refuse so that a load is kept."""
        offered = self._offered.per_s(now)
        free = load * self._bytes_per_s - self._size.surplus_per_s(now)
        # A refusal takes some of the link, too.
        refusal = self._settings.refusal_bytes
        saved = max(refusal, self._size.mean - refusal)
        served = max(0.0, free - offered * refusal) / saved
        return max(0.0, offered - served)
