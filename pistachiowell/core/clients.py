"""The connections of clients and strangers to one process, on all its ports."""

import asyncio
import resource
import time
from collections import Counter

from pistachiowell.core.client_budget import ClientBudget, ClientLimits
from pistachiowell.core.connection_order import Stage
from pistachiowell.core.logs import part_logger

DEFAULT_MEMORY_MB = 300
CHECK_INTERVAL_S = 0.25
LOG_INTERVAL_S = 5.0
# A request in progress needs a second descriptor for its server; links, files and
# connections that are accepted before others are closed need some more.
CONNECTION_SHARE = 5 / 8
MEMORY_SHARE = 1 / 8
# The server's own timer closes idle connections at the limit.
IDLE_SLACK_S = 1.0

_log = part_logger("clients")


def client_limits(memory_mb):
    """Returns the ``ClientLimits`` of this process.

    Args:
        memory_mb: Memory that the process may use in megabytes.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return ClientLimits(
        connections=int(descriptors * CONNECTION_SHARE),
        held_bytes=int(memory_mb * 1e6 * MEMORY_SHARE),
    )


class AnswerBytes:
    """Bytes of answers that are kept whole, in the budget of the clients.

    Args:
        hold: Function that takes the bytes by which they grow.
        limit: Largest number of bytes.

    See Also:
        ``pistachiowell.core.body_buffer.HeldBytes``.
    """

    __slots__ = ("_hold", "_size", "limit")

    def __init__(self, hold, limit):
        self._hold = hold
        self._size = 0
        self.limit = limit

    @property
    def size(self):
        """Present number of bytes."""
        return self._size

    @size.setter
    def size(self, size):
        more_bytes = size - self._size
        self._size = size
        self._hold(more_bytes)


class Clients:
    """Closes connections that exceed a limit of the process or of time.

    A connection has ``give_way(reason)``, which closes it, and ``unsent_bytes``.

    Args:
        limits: ``ClientLimits``.
        metrics: The process's ``Metrics``.

    Attributes:
        answers: The ``AnswerBytes`` of answers that are read from servers.
        header_timeout_s: Longest time in seconds for a head or the first message.
        idle_timeout_s: Longest time in seconds without a request, or without reading an
            answer.
        max_header_lines: Maximum number of header lines of a request.
    """

    __slots__ = (
        "_budget",
        "_closed",
        "_logged_at",
        "_metrics",
        "_timer",
        "answers",
        "header_timeout_s",
        "idle_timeout_s",
        "max_header_lines",
    )

    def __init__(self, limits, metrics, *, max_header_lines=4_096):
        self._budget = ClientBudget(limits)
        self._metrics = metrics
        self._closed = Counter()
        self._logged_at = float("-inf")
        self._timer = None
        self.answers = AnswerBytes(self._hold_answers, limits.held_bytes)
        self.header_timeout_s = 3.0
        self.idle_timeout_s = 15.0
        self.max_header_lines = max_header_lines
        metrics.watch("connections.open", lambda: len(self._budget))
        metrics.watch("connections.held_bytes", lambda: self._budget.held_bytes)

    def add(self, connection):
        """Adds a new connection and closes another one if there are too many."""
        for other in self._budget.add(connection, time.monotonic()):
            self.close(other, "connections")
        self._start_timer()

    def update(self, connection, stage, held_bytes):
        """Records what a connection does and holds; closes those without room."""
        now = time.monotonic()
        for other in self._budget.update(connection, stage, held_bytes, now):
            self.close(other, "memory")

    def _hold_answers(self, more_bytes):
        for other in self._budget.hold_answers(more_bytes):
            self.close(other, "memory")

    def remove(self, connection):
        """Removes a connection that is closed."""
        self._budget.remove(connection)

    def close(self, connection, reason):
        """Closes a connection and counts the reason."""
        self._budget.remove(connection)
        self.record_close(reason)
        connection.give_way(reason)

    def record_close(self, reason):
        """Counts a connection that was closed for a reason."""
        self._metrics.count(f"connections.closed.{reason}")
        self._closed[reason] += 1
        now = time.monotonic()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            _log.warning("Connections of clients were closed.", **self._closed)
            self._closed.clear()

    def _start_timer(self):
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self):
        self._timer = None
        now = time.monotonic()
        idle_since = now - self.idle_timeout_s
        limits = (
            (Stage.silent, idle_since, "idle"),
            (Stage.head, now - self.header_timeout_s, "header_timeout"),
            (Stage.leftover, idle_since, "idle"),
            (Stage.idle, idle_since - IDLE_SLACK_S, "idle"),
        )
        for stage, before, reason in limits:
            for connection in self._budget.due(stage, before):
                self.close(connection, reason)
        for connection in self._budget.due(Stage.stalled, idle_since):
            self._check_progress(connection, now)
        if len(self._budget):
            self._start_timer()

    def _check_progress(self, connection, now):
        """Closes a connection whose client has read nothing since the last check."""
        unsent_bytes = connection.unsent_bytes
        if unsent_bytes < connection.checked_bytes:
            connection.checked_bytes = unsent_bytes
            self._budget.refresh(connection, unsent_bytes, now)
        else:
            self.close(connection, "unread")
