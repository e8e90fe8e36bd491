"""Structured logs: one JSON object per line on standard output.

Logging never blocks: a blocking write to a full pipe would stop the event loop, and
with it all requests of the process, until the reader goes on. While the reader does not
read, lines wait in a bounded buffer, and lines that do not fit are dropped. Each place
in the code may also write only a bounded number of lines per second, so that an error
that repeats does not fill the logs. Both kinds of missing lines are counted, and the
counts are logged at intervals.
"""

import os
import select
import sys
import time
from collections import deque

import msgspec
from loguru import logger

MAX_BUFFER_BYTES = 1024 * 1024
MAX_WRITE_BYTES = 4096
LINES_PER_S = 100
WARNINGS_PER_S = 300
SUMMARY_INTERVAL_S = 5.0
_WARNING_LEVEL = 30


def configure_logs(settings):
    """Configures the logger to write to standard output.

    Args:
        settings: Settings with ``log_level`` and, for long-running programs, ``id``.
    """
    sink = LogSink(LineBuffer(sys.stdout.fileno()), getattr(settings, "id", ""))
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(
        sink.write,
        level=settings.log_level,
        format="{message}",
        backtrace=False,
        # The values of variables in a traceback could contain API keys.
        diagnose=False,
    )


def part_logger(part):
    """Returns a logger that adds the name of a part to its lines.

    Args:
        part: Name of the part, such as ``budgets``.
    """
    return logger.bind(part=part)


class LineBuffer:
    """Writes lines to a file descriptor without blocking.

    Lines that the descriptor does not accept at once wait for the next call.

    Args:
        descriptor: File descriptor of a pipe, terminal or file.
        max_bytes: Largest number of bytes that wait.

    Attributes:
        dropped: Number of lines that did not fit, until the caller resets it.
    """

    __slots__ = ("_descriptor", "_lines", "_max_bytes", "_poll", "_size", "dropped")

    def __init__(self, descriptor, max_bytes=MAX_BUFFER_BYTES):
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._lines = deque()
        self._size = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    @property
    def size(self):
        """Number of bytes that wait."""
        return self._size

    def add(self, line):
        """Appends a line in bytes and writes as much as possible."""
        if self._size + len(line) > self._max_bytes:
            self.dropped += 1
        else:
            self._lines.append(line)
            self._size += len(line)
        self.flush()

    def flush(self):
        """Writes as much as the descriptor accepts without blocking."""
        # A pipe that polls as writable accepts up to PIPE_BUF bytes without blocking.
        while self._lines and self._poll.poll(0):
            data = b""
            while self._lines and len(data) + len(self._lines[0]) <= MAX_WRITE_BYTES:
                data += self._lines.popleft()
            if not data:
                line = self._lines.popleft()
                data, rest = line[:MAX_WRITE_BYTES], line[MAX_WRITE_BYTES:]
                if rest:
                    self._lines.appendleft(rest)
            if not _write(self._descriptor, data):
                self._lines.clear()
                self._size = 0
                return
            self._size -= len(data)


def _write(descriptor, data):
    try:
        os.write(descriptor, data)
    except OSError:
        # The reader of the logs is gone, so the error cannot be logged either.
        return False
    return True


class LineRateLimit:
    """Limits the number of lines per second from each place in the code.

    Args:
        per_s: Largest number of lines per second and place.

    Examples:
        >>> limit = LineRateLimit(per_s=2)
        >>> [limit.allows("a.py:1", 0.0) for _ in range(3)]
        [True, True, False]
        >>> limit.pop_suppressed()
        {'a.py:1': 1}
    """

    __slots__ = ("_counts", "_per_s", "_second", "_suppressed")

    def __init__(self, per_s):
        self._per_s = per_s
        self._second = None
        self._counts = {}
        self._suppressed = {}

    def allows(self, place, now):
        """Returns whether a line from a place may be written, and counts it."""
        if int(now) != self._second:
            self._second = int(now)
            self._counts.clear()
        count = self._counts[place] = self._counts.get(place, 0) + 1
        if count <= self._per_s:
            return True
        self._suppressed[place] = self._suppressed.get(place, 0) + 1
        return False

    def pop_suppressed(self):
        """Returns the counts of suppressed lines by place and resets them."""
        suppressed, self._suppressed = self._suppressed, {}
        return suppressed


class LogSink:
    """Writes log records as JSON lines within the limits.

    Args:
        lines: The ``LineBuffer``.
        process: Name of the process.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_lines", "_limit", "_now", "_process", "_summary_at", "_warnings")

    def __init__(self, lines, process, now=time.monotonic):
        self._lines = lines
        self._process = process
        self._now = now
        self._limit = LineRateLimit(LINES_PER_S)
        self._warnings = LineRateLimit(WARNINGS_PER_S)
        self._summary_at = now() + SUMMARY_INTERVAL_S

    def write(self, message):
        """Writes the line of a loguru message, and the summary when it is due."""
        record = message.record
        now = self._now()
        limit = self._limit
        if record["level"].no >= _WARNING_LEVEL:
            limit = self._warnings
        if limit.allows(f"{record['name']}:{record['line']}", now):
            self._lines.add(self._line(record, message))
        if now >= self._summary_at:
            self._summary_at = now + SUMMARY_INTERVAL_S
            self._summarize(record)

    def _line(self, record, message):
        document = {
            "at": record["time"].timestamp(),
            "level": record["level"].name,
            "process": self._process,
            "part": record["extra"].get("part", "main"),
            "text": record["message"],
        }
        if record["exception"] is not None:
            document["traceback"] = str(message)
        for name, value in record["extra"].items():
            document.setdefault(name, value)
        return msgspec.json.encode(document, enc_hook=str) + b"\n"

    def _summarize(self, record):
        suppressed = {
            **self._limit.pop_suppressed(),
            **self._warnings.pop_suppressed(),
        }
        dropped, self._lines.dropped = self._lines.dropped, 0
        if not suppressed and not dropped:
            return
        document = {
            "at": record["time"].timestamp(),
            "level": "WARNING",
            "process": self._process,
            "part": "logs",
            "text": "Lines were left out.",
            "suppressed": suppressed,
            "dropped": dropped,
        }
        self._lines.add(msgspec.json.encode(document) + b"\n")
