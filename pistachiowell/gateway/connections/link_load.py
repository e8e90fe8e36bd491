"""Load of this VM's network link by callers, on served and on relayed connections."""

import math

from pistachiowell.admission import LinkMeter, LinkSettings, LinkShare
from pistachiowell.core.logs import part_logger
from pistachiowell.core.traffic import ConnectionTraffic, Traffic

_log = part_logger("link")


class LinkLoad:
    """Counts the bytes exchanged with callers, and tells what to refuse for the link.

    Without ``link_mbps`` in the settings nothing is counted, and the link has room for
    any rate.

    Args:
        runtime: The process's ``Runtime``.

    Attributes:
        traffic: The ``Traffic`` with callers; None to count nothing.
    """

    __slots__ = ("_is_refusing", "_meter", "_runtime", "_share", "traffic")

    def __init__(self, runtime):
        mbps = runtime.settings.link_mbps
        self._runtime = runtime
        self._is_refusing = False
        self._meter = LinkMeter(LinkSettings(), mbps or math.inf)
        self._share = LinkShare(LinkSettings(), self._meter)
        self.traffic = Traffic() if mbps else None
        metrics = runtime.metrics
        metrics.watch("link.load", lambda: self._meter.load)
        metrics.watch("link.refused_share", lambda: self._share.refused_share)

    @property
    def load(self):
        """Share of the link that is used, or will be by what has been admitted."""
        return max(self._meter.load, self._meter.expected_load(self._runtime.now()))

    @property
    def room_per_s(self):
        """Requests a second that the link takes from other gateways."""
        return self._meter.room_per_s(self._runtime.now())

    @property
    def share(self):
        """The ``LinkShare``."""
        return self._share

    def connection_traffic(self):
        """Returns the ``ConnectionTraffic`` of a new connection; None to count none."""
        return None if self.traffic is None else ConnectionTraffic(self.traffic)

    def add_request(self, traffic, *, is_received=False):
        """Counts a request that is served here or relayed.

        Args:
            traffic: The ``ConnectionTraffic`` of its connection, or None.
            is_received: Whether another gateway has relayed it to this one.
        """
        if traffic is not None:
            traffic.has_request = True
            self._meter.add_request(self._runtime.now(), is_received=is_received)

    def add_refusal(self):
        """Counts a request that is refused."""
        self._meter.add_refusal(self._runtime.now())

    def end_request(self, traffic):
        """Records the bytes of a request that has ended, or of a refusal."""
        if traffic is None:
            return
        size = traffic.take()
        if traffic.has_request:
            traffic.has_request = False
            self._meter.add_size(size, self._runtime.now())

    def record(self, peer_room_per_s, now):
        """Records the room of other gateways and the present time in seconds."""
        if self.traffic is None:
            return
        self._meter.record(self.traffic.total_bytes, now)
        self._share.record(peer_room_per_s, now)
        if self._share.is_refusing != self._is_refusing:
            self._is_refusing = self._share.is_refusing
            _log.warning(
                "Refusals for the network link begin."
                if self._is_refusing
                else "Refusals for the network link end.",
                load=round(self.load, 2),
                request_bytes=round(self._meter.request_bytes),
                offered_per_s=round(self._meter.offered_per_s(now), 1),
                peer_room_per_s=round(peer_room_per_s, 1),
            )
