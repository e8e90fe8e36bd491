"""Hybrid logical clock that orders the events of all processes.

The wall clocks of VMs differ and can be set back, so wall times alone can order the
receipt of a message before its sending. A hybrid logical clock stays close to the wall
time, but the stamp of a receipt is always larger than the stamp of the sending.

References:
    Kulkarni, Demirbas, Madappa, Avva, Leone: Logical Physical Clocks, 2014.
"""

import msgspec


class Stamp(msgspec.Struct, frozen=True, order=True, gc=False):
    """Time stamp of the clock; stamps are ordered by both parts.

    Attributes:
        wall_ns: Physical part, the wall time in nanoseconds since 1970.
        logical: Logical part, a counter that orders stamps with the same physical
            part.
    """

    wall_ns: int
    logical: int


class HybridClock:
    """Makes stamps, each larger than all earlier ones and all observed ones.

    The physical part follows the wall clock while that runs ahead of all stamps seen.
    Otherwise, it stays at the largest stamp seen and only the logical part grows.

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
        """Returns the stamp of a local event, such as the sending of a message."""
        return self._advance(self._last)

    def observe(self, stamp):
        """Returns the stamp of the receipt of a message, larger than the sender's.

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
