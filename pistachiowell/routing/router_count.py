"""Number of the routers that share the fixed retries of the fleet.

Load pattern: routers leave while all servers fail. Their retries still count in the
window, and those that are left would each take a larger part at once.
"""

import math
from collections import deque


class RouterCount:
    """Number of routers whose retries may lie in the latest window.

    What a router leaves over is free only when its retries have left the window, so the
    largest number of a window counts.

    Args:
        settings: ``RetryShareSettings``.

    Examples:
        >>> from pistachiowell.routing.retry_share import RetryShareSettings
        >>> count = RouterCount(RetryShareSettings(window_s=10.0))
        >>> count.largest(0.0)
        inf
        >>> count.record(4, 0.0); count.record(2, 18.0)
        >>> count.largest(18.0), count.largest(28.1)
        (4, 2)
    """

    __slots__ = ("_counts", "_settings")

    def __init__(self, settings):
        self._counts = deque()
        self._settings = settings

    def record(self, count, now):
        """Records how many routers may be running.

        Args:
            count: Number of routers, this one included.
            now: Present time in seconds.
        """
        self._counts.append((now, count))

    def largest(self, now):
        """Returns the largest number in the latest window.

        Any number may run before the first one is known, so it is infinite then.

        Args:
            now: Present time in seconds.
        """
        begin, counts = now - self._settings.window_s, self._counts
        # A number holds until the next one.
        while len(counts) > 1 and counts[1][0] < begin:
            counts.popleft()
        return max((count for _, count in counts), default=math.inf)
