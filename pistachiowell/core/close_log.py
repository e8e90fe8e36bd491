"""Requests that are lost, or may be, as this process closes their connections."""

from dataclasses import dataclass

from pistachiowell.core.logs import part_logger

_log = part_logger("clients")


@dataclass(frozen=True, slots=True)
class Close:
    """Close of one connection by this process.

    Attributes:
        reason: Reason of ``Clients``; or ``stop``, or ``application`` after an answer.
        stage: The ``Stage`` of the connection.
        unread_bytes: Bytes that had arrived and were not read.
        age_s: Age of the connection in seconds.
        quiet_s: Seconds since something was read or an answer had ended.
    """

    reason: str
    stage: object
    unread_bytes: int
    age_s: float
    quiet_s: float

    @property
    def _fields(self):
        return {
            "reason": self.reason,
            "stage": self.stage.name,
            "unread_bytes": self.unread_bytes,
            "age_s": round(self.age_s, 3),
            "quiet_s": round(self.quiet_s, 3),
        }


class CloseLog:
    """Tells apart what is lost at closes; a clean close leaves no trace.

    Args:
        metrics: The process's ``Metrics``.

    Examples:
        >>> from pistachiowell.core.metrics import Metrics
        >>> metrics = Metrics()
        >>> CloseLog(metrics).record_crossed("idle")
        >>> metrics.values
        {'connections.crossed.idle': 1}
    """

    __slots__ = ("_metrics",)

    def __init__(self, metrics):
        self._metrics = metrics

    def record_crossed(self, reason):
        """Counts a request that came after the close, and was never read."""
        self._metrics.count(f"connections.crossed.{reason}")

    def record_unread(self, close):
        """Records a ``Close`` although a request had arrived and was not read."""
        self._metrics.count(f"connections.unread.{close.reason}")
        _log.warning("A connection is closed with unread bytes.", **close._fields)

    def record_unanswered(self, close):
        """Records a ``Close`` although a request that was read has no whole answer."""
        self._metrics.count(f"connections.unanswered.{close.reason}")
        _log.warning("A connection is closed without an answer.", **close._fields)
