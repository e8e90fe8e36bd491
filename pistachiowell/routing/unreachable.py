"""Servers that refuse connections.

Load pattern: a quarter of the servers of a service crash at once, and their
registrations stay for seconds. A refused connection ends within a millisecond, so a
crashed server is always idle: a choice by load or expected wait prefers it to all that
work, for each new request and for each retry.

A refused connection shows for certain that no request can be served there, so one is
enough, unlike the failures of requests that ``HealthTable`` counts.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UnreachableSettings:
    """Settings of the avoidance of servers that refuse connections.

    Attributes:
        hold_s: Seconds for which such a server is avoided at first; short, as a full
            accept queue drops connections of a server that works. It doubles each
            further time.
        max_hold_s: Longest such time.
        max_servers: Number of servers above which those whose time is over are
            forgotten.
    """

    hold_s: float = 0.5
    max_hold_s: float = 8.0
    max_servers: int = 4_096


@dataclass(slots=True)
class _Refusal:
    registration: tuple
    at: float
    until: float
    holds: int = 1
    is_tried: bool = False


class UnreachableServers:
    """Avoids servers that refused a connection.

    A server is avoided until its time is over, its registration changes, it answers a
    request or no other server is left. Once the time is over, one request at a time
    tries it.

    Args:
        settings: ``UnreachableSettings``.

    Examples:
        >>> unreachable = UnreachableServers(UnreachableSettings())
        >>> s1, s2 = ("s1", "10.0.0.1:80", 5), ("s2", "10.0.0.2:80", 5)
        >>> unreachable.record_refusal(s1, 0.0)
        >>> unreachable.usable([s1, s2], 0.4) == [s2], unreachable.usable([s1], 0.4)
        (True, [('s1', '10.0.0.1:80', 5)])
        >>> unreachable.is_avoided(("s1", "10.0.0.1:80", 6), 0.4)
        False
    """

    __slots__ = ("_refusals", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._refusals = {}

    def record_start(self, registration, now):
        """Records that a request goes to a server, which may try it again.

        Args:
            registration: Tuple of the server's id and of what changes with each start
                of the server.
            now: Present time in seconds.
        """
        refusal = self._find(registration)
        if refusal is not None and now >= refusal.until:
            refusal.is_tried = True

    def record_refusal(self, registration, now):
        """Records a refused connection; see ``record_start``."""
        refusal = self._find(registration)
        if refusal is None:
            self._forget_old(now)
            until = now + self._settings.hold_s
            self._refusals[registration[0]] = _Refusal(registration, now, until)
            return
        refusal.at = now
        refusal.is_tried = False
        # Many requests may be on their way to a server when it ends: they count once.
        if now >= refusal.until:
            hold_s = self._settings.hold_s * 2**refusal.holds
            refusal.until = now + min(self._settings.max_hold_s, hold_s)
            refusal.holds = min(refusal.holds + 1, 16)

    def record_answer(self, registration, started_at):
        """Records an answer to a request; see ``record_start``.

        Args:
            registration: See ``record_start``.
            started_at: Time in seconds at which the request was sent. A server that
                ends may still answer what it got before it refused a connection.
        """
        refusal = self._find(registration)
        if refusal is not None and started_at >= refusal.at:
            del self._refusals[registration[0]]

    def record_inconclusive(self, registration):
        """Records a request whose end does not show whether its server is there."""
        refusal = self._find(registration)
        if refusal is not None:
            refusal.is_tried = False

    def is_avoided(self, registration, now):
        """Returns whether a server gets a request only if no other is left."""
        refusal = self._find(registration)
        return refusal is not None and (now < refusal.until or refusal.is_tried)

    def usable(self, registrations, now):
        """Returns the registrations that are not avoided; all if no other is left."""
        usable = [r for r in registrations if not self.is_avoided(r, now)]
        return usable or list(registrations)

    def count(self, now):
        """Returns the number of servers that are avoided."""
        refusals = self._refusals.values()
        return sum(self.is_avoided(r.registration, now) for r in refusals)

    def _find(self, registration):
        refusal = self._refusals.get(registration[0])
        if refusal is None or refusal.registration != registration:
            return None
        return refusal

    def _forget_old(self, now):
        if len(self._refusals) >= self._settings.max_servers:
            self._refusals = {
                name: refusal
                for name, refusal in self._refusals.items()
                if now < refusal.until
            }
