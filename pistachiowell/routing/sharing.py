"""Sharing of the load of an engine between the routers that send to it.

Load pattern: many routers send to many engines. A report that lists every router
grows with their number, and all reports together with its square times the number
of engines, until they take the links that the requests need. So each router is told
one sum, and only when it changes, at a bounded rate.
"""

from dataclasses import dataclass

from pistachiowell.core.registry import Registry
from pistachiowell.routing.placement import NO_LOAD

REPORT_PACERS = Registry("pace of load reports")


@dataclass(frozen=True, slots=True)
class SharingSettings:
    """Settings of the reports of one engine's load.

    Attributes:
        pacer: Name of the policy in ``REPORT_PACERS``.
        interval_s: Least time between two reports to a router in seconds.
        heartbeat_s: Longest time between two reports to a router in seconds.
        reports_per_s: Most reports to all routers together.
    """

    pacer: str = "changes"
    interval_s: float = 0.1
    heartbeat_s: float = 0.5
    reports_per_s: float = 200.0


class LoadSums:
    """Sums the loads that routers have told of one engine.

    Examples:
        >>> from pistachiowell.routing.placement import EngineLoad
        >>> sums = LoadSums()
        >>> sums.record_load("router-1", EngineLoad(100, 1, 120))
        >>> sums.record_load("router-2", EngineLoad(50, 2, 90))
        >>> sums.total_except("router-1")
        EngineLoad(reading_tokens=50, running=2, kv_tokens=90)
        >>> sums.remove("router-2")
        >>> sums.total_except("router-1")
        EngineLoad(reading_tokens=0, running=0, kv_tokens=0)
    """

    __slots__ = ("_loads", "_total")

    def __init__(self):
        self._loads = {}
        self._total = NO_LOAD

    def record_load(self, router, load):
        """Takes the ``EngineLoad`` of a router in place of what it told before."""
        self._total = self._total + load - self._loads.get(router, NO_LOAD)
        self._loads[router] = load

    def remove(self, router):
        """Forgets a router."""
        self._total = self._total - self._loads.pop(router, NO_LOAD)

    def total_except(self, router):
        """Returns the ``EngineLoad`` of all routers but one."""
        return self._total - self._loads.get(router, NO_LOAD)


class ReportPacer:
    """Base of the policies that decide when a router gets a report.

    Args:
        settings: ``SharingSettings``.
    """

    __slots__ = ("_settings",)

    def __init__(self, settings):
        self._settings = settings

    def interval_s(self, routers):
        """Returns the time until the next round of reports in seconds.

        Args:
            routers: Number of routers that get reports.
        """
        raise NotImplementedError

    def is_due(self, report, last, last_at, now):
        """Tells whether a router gets a report in this round.

        Args:
            report: The report as it would be sent.
            last: The report that it got last; None before the first.
            last_at: Time of that in seconds.
            now: Present time in seconds.
        """
        raise NotImplementedError


@REPORT_PACERS.add("always")
class AlwaysPacer(ReportPacer):
    """Reports to every router in every round; the naive baseline."""

    __slots__ = ()

    def interval_s(self, routers):
        """Returns the least interval; see ``ReportPacer``."""
        return self._settings.interval_s

    def is_due(self, report, last, last_at, now):
        """Returns True; see ``ReportPacer``."""
        return True


@REPORT_PACERS.add("changes")
class ChangesPacer(ReportPacer):
    """Reports changes, and heartbeats between them, at a bounded rate.

    Load pattern: most engines do not change between two rounds, and a fleet with
    more routers has more bytes to lose by rounds that come often.
    """

    __slots__ = ()

    def interval_s(self, routers):
        """Returns an interval that keeps to the rate, up to the heartbeat."""
        settings = self._settings
        paced_s = max(settings.interval_s, routers / settings.reports_per_s)
        return min(paced_s, settings.heartbeat_s)

    def is_due(self, report, last, last_at, now):
        """Tells whether the report is new or a heartbeat is due."""
        return report != last or now - last_at >= self._settings.heartbeat_s
