"""Estimate of each server's load from lagged reports and own requests."""

from dataclasses import dataclass

FULL_LOAD = 2


@dataclass(slots=True)
class _Load:
    reported: int = 0
    slots: int = 1
    reported_at: float = float("-inf")
    in_flight: int = 0
    sent_since: int = 0
    full_until: float = float("-inf")


class LoadTable:
    """Keeps the load of the servers that one router uses.

    The estimate is the latest report plus own requests sent since, and never less
    than own requests in flight; a report that has grown old counts for nothing.

    Args:
        settings: ``RoutingSettings``.

    Examples:
        >>> from pistachiowell.routing.settings import RoutingSettings
        >>> book = LoadTable(RoutingSettings())
        >>> book.record_load("s1", 3, 0, 8, 10.0)
        >>> book.record_sent("s1")
        >>> book.load("s1", 10.5)
        4
        >>> book.load("s1", 99.0)
        1
    """

    __slots__ = ("_loads", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._loads = {}

    def record_load(self, server, running, waiting, slots, now):
        """Takes a load report.

        Args:
            server: Name of the server.
            running: Requests that run.
            waiting: Requests that wait.
            slots: Requests that may run at once.
            now: Present time in seconds.
        """
        load = self._loads.setdefault(server, _Load())
        load.reported = running + waiting
        load.slots = max(1, slots)
        load.reported_at = now
        load.sent_since = 0

    def set_slots(self, server, slots):
        """Sets how many requests a server runs at once."""
        self._loads.setdefault(server, _Load()).slots = max(1, slots)

    def record_sent(self, server):
        """Counts an attempt sent to a server."""
        load = self._loads.setdefault(server, _Load())
        load.in_flight += 1
        load.sent_since += 1

    def record_end(self, server):
        """Counts the end of an attempt."""
        load = self._loads.get(server)
        if load is not None and load.in_flight:
            load.in_flight -= 1

    def record_refusal(self, server, now):
        """Takes a server's refusal, which counts more than its reports."""
        load = self._loads.setdefault(server, _Load())
        load.full_until = now + self._settings.refusal_s

    def load(self, server, now):
        """Returns the estimated number of requests at a server."""
        load = self._loads.get(server)
        if load is None:
            return 0
        floor = FULL_LOAD * load.slots if now < load.full_until else load.in_flight
        if now - load.reported_at > self._settings.report_timeout_s:
            return floor
        return max(load.reported + load.sent_since, floor)

    def load_by_slot(self, server, now):
        """Returns the estimated load divided by the server's slots."""
        load = self._loads.get(server)
        return self.load(server, now) / load.slots if load else 0.0
