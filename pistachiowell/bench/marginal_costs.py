"""Registry of measurements of marginal costs, and helpers to measure them.

A marginal cost is what one more message, request or object costs one process.
"""

import gc
import time
import tracemalloc
from dataclasses import dataclass

_MEASUREMENTS = {}
REPEATS = 3
US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class MarginalCost:
    """Cost of one more item for one process.

    Attributes:
        name: Name of the item, such as ``encode Ping``.
        cpu_us: Processor time in microseconds; None if not measured.
        size_bytes: Bytes on the wire or in the store; None if not measured.
        memory_bytes: Memory in bytes; None if not measured.
        count: Number of items over which the cost was averaged.
    """

    name: str
    count: int
    cpu_us: float | None = None
    size_bytes: float | None = None
    memory_bytes: float | None = None


def measurement(name):
    """Returns a decorator that registers a measurement.

    The decorated function takes no arguments and returns a list of ``MarginalCost``.

    Args:
        name: Name of the group of costs on the command line.

    Returns:
        A decorator.
    """

    def decorate(function):
        _MEASUREMENTS[name] = function
        return function

    return decorate


def measurements():
    """Returns the registered functions by the name of their group."""
    return dict(_MEASUREMENTS)


def cpu_us(function, count):
    """Measures the processor time of a function.

    Args:
        function: Function that repeats an operation ``count`` times.
        count: Argument of the function.

    Returns:
        Microseconds per operation, the minimum over ``REPEATS`` runs.
    """
    best = min(_process_time_s(function, count) for _ in range(REPEATS))
    return round(best / count * US_PER_S, 2)


def _process_time_s(function, count):
    started = time.process_time()
    function(count)
    return time.process_time() - started


def memory_bytes(function, count):
    """Measures the memory of the objects that a function creates.

    Args:
        function: Function that creates ``count`` objects and returns them.
        count: Argument of the function.

    Returns:
        Bytes per object.
    """
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    objects = function(count)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert objects is not None
    return round((after - before) / count, 1)


def table_text(costs):
    """Returns marginal costs as a plain-text table.

    Examples:
        >>> print(table_text([MarginalCost("encode Ping", 10, cpu_us=1.5)]))
        what         count  cpu us  bytes  memory bytes
        encode Ping  10     1.5     -      -
    """
    rows = [("what", "count", "cpu us", "bytes", "memory bytes")]
    for cost in costs:
        values = (cost.cpu_us, cost.size_bytes, cost.memory_bytes)
        cells = ["-" if value is None else f"{value:g}" for value in values]
        rows.append((cost.name, str(cost.count), *cells))
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = [
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)) for row in rows
    ]
    return "\n".join(line.rstrip() for line in lines)
