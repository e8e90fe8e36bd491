"""The state of a backend server as a gateway sees it, whatever has closed it."""

from dataclasses import dataclass

from pistachiowell.admission import ClosedBy
from pistachiowell.gateway.servers.closed_servers import incarnation_of

MOST_URGENT = 0
MAX_DESCRIBED = 5


@dataclass(frozen=True, slots=True)
class ServerState:
    """Why a server gets no requests, and for how long.

    Attributes:
        closed_by: The ``ClosedBy``; None if it is open.
        wait_s: Seconds until it may be open again; None if nobody knows.

    Examples:
        >>> str(ServerState(ClosedBy.pause, 2.5)), str(ServerState(ClosedBy.leaving))
        ('pause for 2.5 s', 'leaving')
        >>> str(ServerState())
        'open'
    """

    closed_by: ClosedBy | None = None
    wait_s: float | None = None

    def __str__(self):
        if self.closed_by is None:
            return "open"
        if self.wait_s is None:
            return str(self.closed_by)
        return f"{self.closed_by} for {self.wait_s:.1f} s"


class ServerStates:
    """Joins what servers say, their limits and their silence into one state each.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
        closed: The ``ClosedServers``.
        limits: The ``ServerLimits``.
        silence: The ``SilenceMonitor``.
        places: The ``Places``.
    """

    __slots__ = ("_closed", "_limits", "_places", "_silence", "_state")

    def __init__(self, runtime, state, closed, limits, silence, places):
        self._state = state
        self._closed = closed
        self._limits = limits
        self._silence = silence
        self._places = places
        for reason in ClosedBy:
            runtime.metrics.watch(
                f"servers.now.{reason}", lambda reason=reason: self._count(reason)
            )

    def of(self, server, rank=MOST_URGENT):
        """Returns the ``ServerState`` of a server for requests of a rank.

        Args:
            server: The ``BackendServer``.
            rank: Rank of the request; 0 is the most urgent.
        """
        if self._places.is_evacuated(server):
            return ServerState(ClosedBy.evacuation)
        reason = self._closed.closed_by(incarnation_of(server))
        if reason is ClosedBy.leaving:
            return ServerState(reason)
        wait_s = self._limits.wait_s(server, rank)
        if wait_s:
            return ServerState(reason or ClosedBy.limit, wait_s)
        if not self._silence.is_answering(server.id):
            return ServerState(ClosedBy.silence)
        return ServerState()

    def describe(self, servers, rank=MOST_URGENT):
        """Returns the states of the first servers as text, for errors and logs."""
        texts = [f"{s.id}: {self.of(s, rank)}" for s in servers[:MAX_DESCRIBED]]
        more = len(servers) - len(texts)
        return ", ".join([*texts, f"{more} more"] if more else texts)

    def _count(self, reason):
        servers = self._state.servers.known.values()
        return sum(self.of(server).closed_by is reason for server in servers)
