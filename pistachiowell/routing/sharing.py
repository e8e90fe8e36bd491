"""Reports of an engine's load to the routers that send to it.

Load pattern: many routers send to many engines. A report that lists every router grows
with the number of routers, and all reports together grow with its square times the
number of engines, until they use up the bandwidth that the requests need. A report
therefore holds one sum, and is sent only when it changes, at a bounded rate.
"""

from dataclasses import dataclass

from pistachiowell.core.registry import Registry
from pistachiowell.routing.engine_table import NO_LOAD

REPORT_PACERS = Registry("pace of load reports")


@dataclass(frozen=True, slots=True)
class SharingSettings:
    """Settings of the reports of one engine's load.

    Attributes:
        pacer: Name of the policy in ``REPORT_PACERS``.
        interval_s: Minimum time between two reports to a router in seconds.
        heartbeat_s: Maximum time between two reports to a router in seconds.
        reports_per_s: Maximum rate of the reports to all routers together.
    """

    pacer: str = "changes"
    interval_s: float = 0.1
    heartbeat_s: float = 0.5
    reports_per_s: float = 200.0


class LoadSums:
    """Sums the loads that the routers reported for one engine.

    Examples:
        >>> from pistachiowell.routing.engine_table import EngineLoad
        >>> sums = LoadSums()
        >>> sums.record_load("router-1", EngineLoad(100, 1, 120))
        >>> sums.record_load("router-2", EngineLoad(50, 2, 90))
        >>> sums.total_except("router-1")
        EngineLoad(reading_tokens=50, running=2, kv_tokens=90)
        >>> sums.remove("router-2")
        True
        >>> sums.total_except("router-1")
        EngineLoad(reading_tokens=0, running=0, kv_tokens=0)
    """

    __slots__ = ("_loads", "_total")

    def __init__(self):
        self._loads = {}
        self._total = NO_LOAD

    def record_load(self, router, load):
        """Records the ``EngineLoad`` of a router in place of its earlier one."""
        self._total = self._total + load - self._loads.get(router, NO_LOAD)
        self._loads[router] = load

    def remove(self, router):
        """Removes a router and returns whether that has changed the total."""
        load = self._loads.pop(router, NO_LOAD)
        self._total = self._total - load
        return load != NO_LOAD

    def total_except(self, router):
        """Returns the total ``EngineLoad`` of all routers except one."""
        load = self._loads.get(router, NO_LOAD)
        return self._total if load == NO_LOAD else self._total - load


class ReportPacer:
    """Base class of the policies that decide when a router gets a report.

    Args:
        settings: ``SharingSettings``.
    """

    __slots__ = ("_settings",)

    def __init__(self, settings):
        self._settings = settings

    @property
    def heartbeat_s(self):
        """Maximum time between two reports to a router in seconds."""
        return self._settings.heartbeat_s

    def interval_s(self, routers):
        """Returns the time until the next round of reports in seconds.

        Args:
            routers: Number of routers that get reports.
        """
        raise NotImplementedError

    def is_due(self, report, last, last_at, now):
        """Returns whether a router gets a report in this round.

        Args:
            report: The report as it would be sent now.
            last: The report that the router got last; None before the first.
            last_at: Time of the last report in seconds.
            now: Present time in seconds.
        """
        raise NotImplementedError


@REPORT_PACERS.add("always")
class AlwaysPacer(ReportPacer):
    """Reports to every router in every round; the baseline without a rate limit."""

    __slots__ = ()

    def interval_s(self, routers):
        """Returns the minimum interval; see ``ReportPacer``."""
        return self._settings.interval_s

    def is_due(self, report, last, last_at, now):
        """Returns True; see ``ReportPacer``."""
        return True


@REPORT_PACERS.add("changes")
class ChangesPacer(ReportPacer):
    """Reports changes, and heartbeats between them, at a bounded rate.

    Load pattern: the load of most engines does not change between two rounds, and the
    more routers a fleet has, the more bandwidth frequent rounds cost.
    """

    __slots__ = ()

    def interval_s(self, routers):
        """Returns the interval that keeps to the rate, at most the heartbeat."""
        settings = self._settings
        interval_s = max(settings.interval_s, routers / settings.reports_per_s)
        return min(interval_s, settings.heartbeat_s)

    def is_due(self, report, last, last_at, now):
        """Returns whether the report has changed or a heartbeat is due."""
        return report != last or now - last_at >= self._settings.heartbeat_s
