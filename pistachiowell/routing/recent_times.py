"""Quantiles of recent times."""

import math
from bisect import bisect_left
from itertools import accumulate

MIN_TIME_S = 0.001
# Relative width of a bucket, and so the largest error of a quantile.
BUCKET_RATIO = 1.1
# The last bucket ends at three minutes.
BUCKETS = 128


class RecentTimes:
    """Histogram of the times of the last seconds, in buckets of equal relative width.

    It consists of two halves. When the newer one is half a window old, the older one is
    dropped, so a time counts for half a window to a whole one.

    Args:
        window_s: Length of the window in seconds.

    Examples:
        >>> times = RecentTimes(60.0)
        >>> for number in range(1, 101):
        ...     times.record(number / 100, 0.0)
        >>> 0.90 <= times.quantile_s(0.9) <= 0.99
        True
        >>> times.record(5.0, 90.0)
        >>> times.count
        1
    """

    __slots__ = ("_began_at", "_new", "_old", "_window_s")

    def __init__(self, window_s):
        self._window_s = window_s
        self._new = [0] * BUCKETS
        self._old = [0] * BUCKETS
        self._began_at = float("-inf")

    @property
    def count(self):
        """Number of times that are counted."""
        return sum(self._new) + sum(self._old)

    def recent_count(self, now):
        """Returns the number of times that are counted, 0 once all are too old.

        Args:
            now: Present time in seconds.
        """
        return self.count if now - self._began_at < self._window_s else 0

    def record(self, time_s, now):
        """Records a time; both arguments are in seconds."""
        self.add({time_bucket(time_s): 1}, now)

    def add(self, counts, now):
        """Adds numbers of times.

        Args:
            counts: Mapping of buckets to numbers of times; see ``time_bucket``.
            now: Present time in seconds.
        """
        age_s = now - self._began_at
        if age_s >= self._window_s / 2:
            is_recent = age_s < self._window_s
            self._old = self._new if is_recent else [0] * BUCKETS
            self._new = [0] * BUCKETS
            self._began_at = now
        for bucket, count in counts.items():
            self._new[bucket] += count

    def quantile_s(self, quantile):
        """Returns the time that a share of the times do not exceed; 0 without any."""
        wanted = quantile * self.count
        if not wanted:
            return 0.0
        counts = map(sum, zip(self._new, self._old, strict=True))
        bucket = bisect_left(list(accumulate(counts)), wanted)
        return MIN_TIME_S * BUCKET_RATIO**bucket


def time_bucket(time_s):
    """Returns the bucket of a time in seconds."""
    if time_s <= MIN_TIME_S:
        return 0
    steps = math.log(time_s / MIN_TIME_S) / math.log(BUCKET_RATIO)
    return min(BUCKETS - 1, math.ceil(steps))
