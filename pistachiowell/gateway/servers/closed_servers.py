"""What backend servers have said to this process: that they leave, or want a pause."""

from pistachiowell.admission import ClosedBy, Closures, Incarnation
from pistachiowell.core.logs import part_logger

TOLD_BY_OTHERS = "others"
MAX_UNREADABLE = 1_024

_log = part_logger("limits")


def incarnation_of(server):
    """Returns the ``Incarnation`` of a ``BackendServer``."""
    return Incarnation(server.id, server.started_ms)


class ClosedServers:
    """Remembers for all parts of a process which servers take no requests.

    A server that wants a pause wants it from the whole VM, so a gateway and the agent's
    part that it may run share one of these.

    Args:
        runtime: The process's ``Runtime``.
    """

    __slots__ = ("_closures", "_runtime", "_unreadable")

    def __init__(self, runtime):
        self._runtime = runtime
        self._closures = Closures()
        self._unreadable = {}

    def record_answer(self, incarnation, head, told):
        """Records what the head of an answer says.

        Args:
            incarnation: The ``Incarnation`` of the server.
            head: The ``AnswerHead``.
            told: What the answer belongs to, for the log.

        Returns:
            Whether the server says that it leaves and had not said so before.
        """
        now = self._runtime.now()
        if head.has_unreadable_pause:
            self.record_unreadable(incarnation, "pauses")
        if head.pause_s and self._closures.pause(incarnation, head.pause_s, now):
            self._log_closed(incarnation, ClosedBy.pause, told, head.pause_s)
        return head.is_leaving and self.record_leaving(incarnation, told)

    def record_leaving(self, incarnation, told=TOLD_BY_OTHERS):
        """Records that a server leaves; returns whether that is new."""
        if not self._closures.leave(incarnation):
            return False
        self._log_closed(incarnation, ClosedBy.leaving, told)
        return True

    def record_unreadable(self, incarnation, what):
        """Counts a value that cannot be read, and logs the first of a server.

        Args:
            incarnation: The ``Incarnation`` of the server.
            what: Kind of the value, ``limits`` or ``pauses``.
        """
        self._runtime.metrics.count(f"servers.unreadable_{what}")
        key = incarnation, what
        if key in self._unreadable:
            return
        self._unreadable[key] = None
        if len(self._unreadable) > MAX_UNREADABLE:
            del self._unreadable[next(iter(self._unreadable))]
        _log.info(
            "Ignored a value that is no number.", server=incarnation.server, what=what
        )

    def is_leaving(self, incarnation):
        """Returns whether a server has said that it leaves."""
        return self._closures.is_leaving(incarnation)

    def wait_s(self, incarnation):
        """Returns the seconds until the end of the pause of a server; 0 without one."""
        return self._closures.wait_s(incarnation, self._runtime.now())

    def closed_by(self, incarnation):
        """Returns the ``ClosedBy`` of a server; None if it is open."""
        return self._closures.closed_by(incarnation, self._runtime.now())

    def _log_closed(self, incarnation, reason, told, seconds=None):
        self._runtime.metrics.count(f"servers.closed.{reason}")
        _log.info(
            "A server takes no requests.",
            server=incarnation.server,
            reason=str(reason),
            told=told,
            seconds=seconds,
        )
