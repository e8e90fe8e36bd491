"""Rounds in which an agent tells gateways what others have reported.

Load pattern: many gateways report several times a second, and telling all of them at
once each time would exceed what a VM may send for control.
"""

from dataclasses import dataclass

import anyio


@dataclass(frozen=True, slots=True)
class RoundSettings:
    """Settings of ``ReportRounds``.

    Attributes:
        min_interval_s: Shortest time between two rounds in seconds.
        max_interval_s: Longest one; a round without a report since the last one waits
            for the next report.
        interval_per_gateway_s: Seconds that each gateway that is told adds.
    """

    min_interval_s: float
    max_interval_s: float
    interval_per_gateway_s: float

    def interval_s(self, told):
        """Returns the seconds to the next round.

        Args:
            told: Number of gateways that were told in the last one.

        Examples:
            >>> RoundSettings(5.0, 10.0, 0.1).interval_s(70)
            7.0
        """
        interval_s = max(self.min_interval_s, self.interval_per_gateway_s * told)
        return min(self.max_interval_s, interval_s)


class ReportRounds:
    """Runs a round after reports have come.

    Args:
        settings: ``RoundSettings``.
        tell_all: Function that tells the gateways and returns how many were told.
    """

    __slots__ = ("_has_reports", "_settings", "_tell_all")

    def __init__(self, settings, tell_all):
        self._settings = settings
        self._tell_all = tell_all
        self._has_reports = anyio.Event()

    def record_report(self):
        """Records that a gateway has reported."""
        self._has_reports.set()

    async def run(self):
        """Tells the gateways until cancelled."""
        while True:
            await self._has_reports.wait()
            self._has_reports = anyio.Event()
            await anyio.sleep(self._settings.interval_s(self._tell_all()))
