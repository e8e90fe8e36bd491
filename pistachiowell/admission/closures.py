"""Servers that said themselves that they take no requests now, or no more at all.

Load pattern: a server is emptied before it stops, or asks for a pause while it is full.
Requests that are sent to it nevertheless come back, or are cut off when it ends.
"""

from enum import StrEnum

MAX_INCARNATIONS = 4_096
# A longer pause is taken for a mistake in the unit.
MAX_PAUSE_S = 300.0


class ClosedBy(StrEnum):
    """Why a server gets no requests.

    Attributes:
        evacuation: Its data centre has been evacuated.
        leaving: It has said that it leaves.
        limit: Its limit of requests a second is reached.
        pause: It has named a time in which it wants nothing.
        silence: It does not answer.
    """

    evacuation = "evacuation"
    leaving = "leaving"
    limit = "limit"
    pause = "pause"
    silence = "silence"


class Closures:
    """Remembers what the incarnations of servers have said.

    A pause ends with its time, and a later shorter one does not end it. Leaving ends
    with the incarnation only.

    Examples:
        >>> from pistachiowell.admission.rates import Incarnation
        >>> closures, server = Closures(), Incarnation("s1", 5)
        >>> closures.pause(server, 2.0, 10.0)
        True
        >>> closures.wait_s(server, 10.5), closures.wait_s(server, 12.0)
        (1.5, 0.0)
        >>> closures.leave(server), closures.leave(server)
        (True, False)
        >>> closures.closed_by(server, 12.0), closures.is_leaving(Incarnation("s1", 6))
        (<ClosedBy.leaving: 'leaving'>, False)
    """

    __slots__ = ("_leaving", "_paused_until")

    def __init__(self):
        self._leaving = {}
        self._paused_until = {}

    def pause(self, incarnation, seconds, now):
        """Records that a server wants nothing for some time.

        Args:
            incarnation: The ``Incarnation``.
            seconds: Length of the pause.
            now: Present time in seconds.

        Returns:
            Whether it is closed for longer than before.
        """
        until = now + min(seconds, MAX_PAUSE_S)
        if until <= self._paused_until.get(incarnation, now):
            return False
        self._paused_until.pop(incarnation, None)
        self._paused_until[incarnation] = until
        _drop_oldest(self._paused_until)
        return True

    def leave(self, incarnation):
        """Records that a server leaves; returns whether that is new."""
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        _drop_oldest(self._leaving)
        return True

    def is_leaving(self, incarnation):
        """Returns whether an incarnation has said that it leaves."""
        return incarnation in self._leaving

    def wait_s(self, incarnation, now):
        """Returns the seconds until the end of the pause; 0 without one."""
        return max(0.0, self._paused_until.get(incarnation, now) - now)

    def closed_by(self, incarnation, now):
        """Returns by what an incarnation has closed itself; None if it has not."""
        if self.is_leaving(incarnation):
            return ClosedBy.leaving
        return ClosedBy.pause if self.wait_s(incarnation, now) else None


def _drop_oldest(entries):
    if len(entries) > MAX_INCARNATIONS:
        del entries[next(iter(entries))]
