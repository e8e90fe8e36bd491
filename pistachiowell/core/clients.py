"""The connections of clients and strangers to one process, on all its ports.

A stranger is a peer that has opened a link; see ``wire/strangers.py``.
"""

import asyncio
import resource
import time
from collections import Counter
from dataclasses import dataclass

from pistachiowell.core.client_budget import ClientBudget, ClientLimits
from pistachiowell.core.close_log import CloseLog
from pistachiowell.core.connection_order import Stage
from pistachiowell.core.logs import part_logger
from pistachiowell.core.metrics import Metrics

CHECK_INTERVAL_S = 0.25
LOG_INTERVAL_S = 5.0
MAX_DESCRIPTORS = 1_048_576
# One answer of the largest size, or four such bodies of requests.
MIN_HELD_BYTES = 16 * 1024 * 1024
# The server's own timer closes idle connections a second after the limit.
IDLE_SLACK_S = 2.0
# On a full link packets wait, and are sent again, for longer than a short idle time.
MIN_STALLED_S = 5.0

_log = part_logger("clients")


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Settings of the limits of clients, for processes without a settings file.

    A request in progress needs a second descriptor for its server, and links, files and
    connections that are accepted before others are closed need some more.

    Attributes:
        memory_mb: Memory that the process may use in megabytes.
        client_memory_share: Share of it for heads, bodies and answers.
        client_connection_share: Share of the descriptors for connections to its ports.
        max_descriptors: Descriptors that the process may use; 0 for the limit of the
            operating system.
        max_header_lines: Largest number of header lines of a request.
        body_timeout_s: Longest time in seconds for the body of a request.
    """

    memory_mb: float = 300.0
    client_memory_share: float = 0.125
    client_connection_share: float = 0.625
    max_descriptors: int = 0
    max_header_lines: int = 4_096
    body_timeout_s: float = 120.0


def client_limits(settings):
    """Returns the ``ClientLimits`` of this process.

    Args:
        settings: ``ClientSettings``, or the program's settings.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = MAX_DESCRIPTORS
    if settings.max_descriptors:
        descriptors = min(descriptors, settings.max_descriptors)
    held_bytes = int(settings.memory_mb * 1e6 * settings.client_memory_share)
    return ClientLimits(
        connections=int(descriptors * settings.client_connection_share),
        held_bytes=max(MIN_HELD_BYTES, held_bytes),
        header_lines=settings.max_header_lines,
        body_timeout_s=settings.body_timeout_s,
    )


def default_clients():
    """Returns ``Clients`` for a server without a ``Runtime``."""
    return Clients(client_limits(ClientSettings()), Metrics())


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

    A connection has ``give_way(reason)``, which closes it, ``is_overdue(stage)``, which
    reads what has arrived by now and returns whether it is to be closed for its time in
    a stage, and ``unsent_bytes``.

    Args:
        limits: ``ClientLimits``.
        metrics: The process's ``Metrics``.

    Attributes:
        answers: The ``AnswerBytes`` of answers that are read from servers.
        close_log: The ``CloseLog``.
        header_timeout_s: Longest time in seconds for a head or the first message.
        idle_timeout_s: Longest time in seconds without a request; without reading an
            answer also, but for at least ``MIN_STALLED_S``.
        limits: As above.
    """

    __slots__ = (
        "_budget",
        "_closed",
        "_logged_at",
        "_metrics",
        "_timer",
        "answers",
        "close_log",
        "header_timeout_s",
        "idle_timeout_s",
        "limits",
    )

    def __init__(self, limits, metrics):
        self._budget = ClientBudget(limits)
        self._metrics = metrics
        self._closed = Counter()
        self._logged_at = float("-inf")
        self._timer = None
        self.answers = AnswerBytes(self._hold_answers, limits.held_bytes)
        self.close_log = CloseLog(metrics)
        self.header_timeout_s = 3.0
        self.idle_timeout_s = 15.0
        self.limits = limits
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
        self._log_closed(time.monotonic())
        self._start_timer()

    def _log_closed(self, now):
        if self._closed and now - self._logged_at >= LOG_INTERVAL_S:
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
        self._log_closed(now)
        idle_since = now - self.idle_timeout_s
        timeouts = (
            (Stage.silent, idle_since, "idle"),
            (Stage.head, now - self.header_timeout_s, "header_timeout"),
            (Stage.leftover, idle_since, "idle"),
            (Stage.idle, idle_since - IDLE_SLACK_S, "idle"),
            (Stage.body, now - self.limits.body_timeout_s, "body_timeout"),
        )
        for stage, before, reason in timeouts:
            for connection in self._budget.due(stage, before):
                if connection.is_overdue(stage):
                    self.close(connection, reason)
        stalled_since = now - max(self.idle_timeout_s, MIN_STALLED_S)
        for connection in self._budget.due(Stage.stalled, stalled_since):
            self._check_progress(connection, now)
        if len(self._budget) or self._closed:
            self._start_timer()

    def _check_progress(self, connection, now):
        """Closes a connection whose client has read nothing since the last check."""
        unsent_bytes = connection.unsent_bytes
        if unsent_bytes < connection.checked_bytes:
            connection.checked_bytes = unsent_bytes
            self._budget.refresh(connection, now)
        else:
            self.close(connection, "unread")
