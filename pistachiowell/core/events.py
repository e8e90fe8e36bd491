"""Ring buffer of the latest events of one process."""

from collections import deque

from pistachiowell.schema.generated.events import Event, EventKind

__all__ = ["EventKind", "EventRing"]


class EventRing:
    """Stores the latest events of one process; the oldest are overwritten.

    Args:
        process: Name of the process.
        clock: A ``HybridClock``.
        size: Largest number of events stored.

    Examples:
        >>> from pistachiowell.core.clock import HybridClock
        >>> ring = EventRing("router-1", HybridClock(lambda: 1), 10)
        >>> ring.add(EventKind.request_received, request="r1")
        >>> [event.request for event in ring.latest(5)]
        ['r1']
    """

    __slots__ = ("_clock", "_events", "_process")

    def __init__(self, process, clock, size):
        self._process = process
        self._clock = clock
        self._events = deque(maxlen=size)

    @property
    def clock(self):
        """The clock that stamps the events."""
        return self._clock

    def add(self, kind, **fields):
        """Appends an event with a new stamp.

        Args:
            kind: An ``EventKind``.
            **fields: Further fields of ``Event``.
        """
        # ``Event`` objects are created only by a query, as most events are never read.
        self._events.append((kind, self._clock.tick(), fields))

    def latest(self, limit, matches=None):
        """Returns up to ``limit`` events, oldest first.

        Args:
            limit: Largest number of events.
            matches: Function that returns whether an event is wanted; None for all.
        """
        events = [self._event(*entry) for entry in self._events]
        if matches is not None:
            events = [event for event in events if matches(event)]
        return events[-limit:] if limit > 0 else []

    def _event(self, kind, stamp, fields):
        return Event(
            kind=kind,
            process=self._process,
            wall_ns=stamp.wall_ns,
            logical=stamp.logical,
            **fields,
        )
