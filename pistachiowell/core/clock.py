"""Hybrid logical clock that orders the events of all processes.

References:
    Kulkarni, Demirbas, Madappa, Avva, Leone: Logical Physical Clocks, 2014.
"""

import msgspec


class Stamp(msgspec.Struct, frozen=True, order=True, gc=False):
    """A reading of the clock.

    Attributes:
        wall_ns: Physical part in nanoseconds since 1970.
        logical: Logical part; breaks ties of the physical part.
    """

    wall_ns: int
    logical: int


class HybridClock:
    """Keeps stamps that never go back and follow what peers have sent.

    Args:
        read_wall_ns: Function that returns the wall time in nanoseconds.

    Examples:
        >>> clock = HybridClock(lambda: 5)
        >>> clock.tick() < clock.tick()
        True
    """

    __slots__ = ("_last", "_read_wall_ns")

    def __init__(self, read_wall_ns):
        self._read_wall_ns = read_wall_ns
        self._last = Stamp(0, 0)

    def tick(self):
        """Returns the stamp of a local event."""
        return self._advance(self._last)

    def observe(self, stamp):
        """Returns the stamp of the receipt of a message.

        Args:
            stamp: The sender's stamp.
        """
        return self._advance(max(self._last, stamp))

    def _advance(self, floor):
        wall_ns = self._read_wall_ns()
        if wall_ns > floor.wall_ns:
            self._last = Stamp(wall_ns, 0)
        else:
            self._last = Stamp(floor.wall_ns, floor.logical + 1)
        return self._last
