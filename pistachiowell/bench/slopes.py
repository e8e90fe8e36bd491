"""Registry of slopes: what one more message, request or object costs."""

import gc
import time
import tracemalloc
from dataclasses import dataclass

_MEASUREMENTS = {}
REPEATS = 3
US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class Slope:
    """What one more of something costs one process.

    Attributes:
        name: What it is, such as ``encode Ping``.
        cpu_us: Processor time in microseconds; None if not measured.
        size_bytes: Bytes on the wire or in the store; None if not measured.
        memory_bytes: Memory held; None if not measured.
        count: Number that were measured.
    """

    name: str
    count: int
    cpu_us: float | None = None
    size_bytes: float | None = None
    memory_bytes: float | None = None


def measurement(name):
    """Registers a function that returns a list of ``Slope``.

    Args:
        name: Name of the group of slopes.

    Returns:
        A decorator.
    """

    def decorate(function):
        _MEASUREMENTS[name] = function
        return function

    return decorate


def measurements():
    """Returns the registered functions by name."""
    return dict(_MEASUREMENTS)


def cpu_us(function, count):
    """Measures the processor time of a function.

    Args:
        function: Function that does something ``count`` times.
        count: Argument of the function.

    Returns:
        Microseconds for each time, the least of several repeats.
    """
    best = min(_process_time_s(function, count) for _ in range(REPEATS))
    return round(best / count * US_PER_S, 2)


def _process_time_s(function, count):
    started = time.process_time()
    function(count)
    return time.process_time() - started


def memory_bytes(function, count):
    """Measures the memory that the result of a function holds.

    Args:
        function: Function that makes ``count`` objects and returns them.
        count: Argument of the function.

    Returns:
        Bytes for each object.
    """
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    held = function(count)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held is not None
    return round((after - before) / count, 1)


def table_text(slopes):
    """Returns slopes as a table of text.

    Examples:
        >>> print(table_text([Slope("encode Ping", 10, cpu_us=1.5)]))
        what         count  cpu us  bytes  memory bytes
        encode Ping  10     1.5     -      -
    """
    rows = [("what", "count", "cpu us", "bytes", "memory bytes")]
    for slope in slopes:
        values = (slope.cpu_us, slope.size_bytes, slope.memory_bytes)
        cells = ["-" if value is None else f"{value:g}" for value in values]
        rows.append((slope.name, str(slope.count), *cells))
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = [
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)) for row in rows
    ]
    return "\n".join(line.rstrip() for line in lines)
