"""Structured logs: one JSON object a line on standard output.

Lines never hold up the loop: while nobody reads, they wait in a bounded buffer, and
those that do not fit are counted. Each place in the code may write a bounded number
of lines a second; the rest are counted in a line of their own.
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
_WARNING_NUMBER = 30


def configure_logs(settings):
    """Sends the logs of this process to standard output.

    Args:
        settings: Settings with ``log_level`` and, of the long-running programs, ``id``.
    """
    sink = LogSink(LineBuffer(sys.stdout.fileno()), getattr(settings, "id", ""))
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(
        sink.write,
        level=settings.log_level,
        format="{message}",
        backtrace=False,
        # Values of variables in a traceback could be API keys.
        diagnose=False,
    )


def part_logger(part):
    """Returns a logger whose lines bear the name of a part.

    Args:
        part: Name of the part, such as ``budgets``.
    """
    return logger.bind(part=part)


class LineBuffer:
    """Writes lines to a descriptor as far as it takes them without blocking.

    Args:
        descriptor: File descriptor of a pipe, terminal or file.
        max_bytes: Most bytes that wait.

    Attributes:
        dropped: Lines that did not fit.
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
        """Bytes that wait."""
        return self._size

    def add(self, line):
        """Takes a line as bytes and writes what can be written."""
        if self._size + len(line) > self._max_bytes:
            self.dropped += 1
        else:
            self._lines.append(line)
            self._size += len(line)
        self.flush()

    def flush(self):
        """Writes as much as the reader takes."""
        # A pipe that polls writable takes up to PIPE_BUF bytes without blocking.
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
        # Nobody reads the logs any more, so there is nowhere to tell it.
        return False
    return True


class LineLimit:
    """Lets each place in the code write a bounded number of lines a second.

    Examples:
        >>> limit = LineLimit(per_s=2)
        >>> [limit.allows("a.py:1", 0.0) for _ in range(3)]
        [True, True, False]
        >>> limit.take_suppressed()
        {'a.py:1': 1}
    """

    __slots__ = ("_counts", "_per_s", "_second", "_suppressed")

    def __init__(self, per_s):
        self._per_s = per_s
        self._second = None
        self._counts = {}
        self._suppressed = {}

    def allows(self, place, now):
        """Tells whether a line of a place may be written."""
        if int(now) != self._second:
            self._second = int(now)
            self._counts.clear()
        count = self._counts[place] = self._counts.get(place, 0) + 1
        if count <= self._per_s:
            return True
        self._suppressed[place] = self._suppressed.get(place, 0) + 1
        return False

    def take_suppressed(self):
        """Returns the counts of lines not written since the last call, by place."""
        suppressed, self._suppressed = self._suppressed, {}
        return suppressed


class LogSink:
    """Turns log records into JSON lines within the limits.

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
        self._limit = LineLimit(LINES_PER_S)
        self._warnings = LineLimit(WARNINGS_PER_S)
        self._summary_at = now() + SUMMARY_INTERVAL_S

    def write(self, message):
        """Writes the line of a loguru message."""
        record = message.record
        now = self._now()
        limit = self._limit
        if record["level"].no >= _WARNING_NUMBER:
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
            **self._limit.take_suppressed(),
            **self._warnings.take_suppressed(),
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
