"""Load of a gateway by its own clocks, and the room that it has left.

Load pattern: the gateways of a data centre differ in size, and callers are spread over
them by a hash of the client. One is overloaded while its neighbours are nearly idle.
Room is therefore in requests a second, so that a large idle gateway counts for more
than a small one.
"""

import math
from dataclasses import dataclass

from pistachiowell.admission.overload import EventRate


@dataclass(frozen=True, slots=True)
class GatewayLoadSettings:
    """Settings of a ``LoadMeter``.

    Attributes:
        busy_window_s: Time constant of the busy share in seconds.
        cost_window_s: Time constant of the busy time of a request in seconds.
        full_busy: Busy share up to which a gateway has room. Above it, requests wait
            noticeably for the event loop.
        request_cost_s: Seconds of a whole core that a request is assumed to take; most
            are streams of 30 to 60 events, which take about 9 ms.
        assumed_requests: Number of requests that the assumption counts for. With 40,
            only a third of the room for requests of 1.5 ms is used.
    """

    busy_window_s: float = 0.4
    cost_window_s: float = 5.0
    full_busy: float = 0.7
    request_cost_s: float = 0.009
    assumed_requests: float = 15.0


class LoadMeter:
    """Measures the busy share and the room of one gateway.

    Args:
        settings: ``GatewayLoadSettings``.
        cores: Work that the process can do, in whole cores.

    Examples:
        >>> meter = LoadMeter(GatewayLoadSettings(), 0.5)
        >>> for tick in range(100):
        ...     meter.record(tick * 0.02, tick * 0.05)
        >>> round(meter.busy, 2), round(meter.room_per_s)
        (0.4, 3)
    """

    __slots__ = (
        "_assumed_busy_s",
        "_at",
        "_busy",
        "_busy_s",
        "_received",
        "_recent_busy_s",
        "_recent_requests",
        "_requests",
        "_settings",
    )

    def __init__(self, settings, cores):
        self._settings = settings
        cost_s = settings.request_cost_s / cores
        self._assumed_busy_s = settings.assumed_requests * cost_s
        self._received = EventRate(settings.busy_window_s)
        self._at = None
        self._busy = 0.0
        self._busy_s = 0.0
        self._recent_busy_s = 0.0
        self._recent_requests = 0.0
        self._requests = 0

    @property
    def busy(self):
        """Share of the time in which the gateway is busy."""
        return self._busy

    @property
    def capacity_per_s(self):
        """Requests a second that the gateway can serve at most."""
        requests = self._recent_requests + self._settings.assumed_requests
        return requests / (self._recent_busy_s + self._assumed_busy_s)

    @property
    def room_per_s(self):
        """Requests a second that the gateway can take from others, present ones too.

        What it has begun for others but not yet done does not show in the busy share.
        The whole capacity bounds what this adds.
        """
        most = self._settings.full_busy * self.capacity_per_s
        free = (self._settings.full_busy - self._busy) * self.capacity_per_s
        return min(most, max(0.0, free + self._received.per_s(self._at or 0.0)))

    def add_request(self, *, is_received=False):
        """Counts a request that is served here.

        Args:
            is_received: Whether another gateway has relayed it.
        """
        self._requests += 1
        if is_received and self._at is not None:
            self._received.add(self._at)

    def record(self, busy_s, now):
        """Records the busy time of the process so far and the present time."""
        at, self._at = self._at, now
        used_s, self._busy_s = busy_s - self._busy_s, busy_s
        requests, self._requests = self._requests, 0
        if at is None or now <= at:
            return
        settings, passed_s = self._settings, now - at
        gain = 1.0 - math.exp(-passed_s / settings.busy_window_s)
        busy = min(1.0, used_s / passed_s)
        self._busy += gain * (busy - self._busy)
        kept = math.exp(-passed_s / settings.cost_window_s)
        self._recent_busy_s = self._recent_busy_s * kept + used_s
        self._recent_requests = self._recent_requests * kept + requests
