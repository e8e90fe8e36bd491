"""Estimate of each server's load from lagged reports and own requests.

Load reports lag behind the requests. Routers that follow them alone all send to the
same least loaded server until its next report arrives (herding).
"""

from dataclasses import dataclass

FULL_LOAD_PER_SLOT = 2


@dataclass(slots=True)
class _ServerLoad:
    reported: int = 0
    slots: int = 1
    reported_at: float = float("-inf")
    in_flight: int = 0
    sent_since_report: int = 0
    full_until: float = float("-inf")


class LoadTable:
    """Estimates the load of the servers that one router uses.

    The estimate is the latest report plus the own requests sent since, so that the
    router's own requests count before the next report; it is never less than the own
    requests in flight. A report older than ``report_timeout_s`` is ignored.

    Args:
        settings: ``RoutingSettings``.

    Examples:
        >>> from pistachiowell.routing.settings import RoutingSettings
        >>> table = LoadTable(RoutingSettings())
        >>> table.record_load("s1", 3, 0, 8, 10.0)
        >>> table.record_sent("s1")
        >>> table.load("s1", 10.5)
        4
        >>> table.load("s1", 99.0)
        1
    """

    __slots__ = ("_loads", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._loads = {}

    def record_load(self, server, running, waiting, slots, now):
        """Records a load report.

        Args:
            server: Name of the server.
            running: Number of requests that run.
            waiting: Number of requests that wait.
            slots: Number of requests that may run at once.
            now: Present time in seconds.
        """
        load = self._loads.setdefault(server, _ServerLoad())
        load.reported = running + waiting
        load.slots = max(1, slots)
        load.reported_at = now
        load.sent_since_report = 0

    def set_slots(self, server, slots):
        """Sets the number of requests that a server may run at once."""
        self._loads.setdefault(server, _ServerLoad()).slots = max(1, slots)

    def record_sent(self, server):
        """Records an attempt sent to a server."""
        load = self._loads.setdefault(server, _ServerLoad())
        load.in_flight += 1
        load.sent_since_report += 1

    def record_end(self, server):
        """Records the end of an attempt."""
        load = self._loads.get(server)
        if load is not None and load.in_flight:
            load.in_flight -= 1

    def record_refusal(self, server, now):
        """Records a refusal; the server counts as full for ``refusal_hold_s``.

        A refusal overrides load reports, which may lag and still show free slots.
        """
        load = self._loads.setdefault(server, _ServerLoad())
        load.full_until = now + self._settings.refusal_hold_s

    def load(self, server, now):
        """Returns the estimated number of requests at a server."""
        load = self._loads.get(server)
        if load is None:
            return 0
        floor = (
            FULL_LOAD_PER_SLOT * load.slots if now < load.full_until else load.in_flight
        )
        if now - load.reported_at > self._settings.report_timeout_s:
            return floor
        return max(load.reported + load.sent_since_report, floor)

    def load_per_slot(self, server, now):
        """Returns the estimated load divided by the server's slots."""
        load = self._loads.get(server)
        return self.load(server, now) / load.slots if load else 0.0
