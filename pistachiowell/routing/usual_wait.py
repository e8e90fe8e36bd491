"""Estimate of how long answers usually take."""

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0


class UsualWait:
    """Mean and deviation of the waits for first parts, as for a retransmission timer.

    References:
        RFC 6298, "Computing TCP's Retransmission Timer".

    Examples:
        >>> usual = UsualWait()
        >>> usual.bound_s() is None
        True
        >>> usual.record(0.1)
        >>> round(usual.bound_s(), 3), round(usual.bound_s(2.0), 3)
        (0.3, 0.2)
    """

    __slots__ = ("_deviation_s", "_mean_s")

    def __init__(self):
        self._mean_s = None
        self._deviation_s = 0.0

    def bound_s(self, deviations=DEVIATIONS):
        """Returns the seconds that hardly any wait exceeds; None before the first.

        Args:
            deviations: Number of deviations above the mean.
        """
        if self._mean_s is None:
            return None
        return self._mean_s + deviations * self._deviation_s

    def record(self, wait_s):
        """Records a wait in seconds."""
        if self._mean_s is None:
            self._mean_s, self._deviation_s = wait_s, wait_s / 2
            return
        difference_s = abs(wait_s - self._mean_s)
        self._deviation_s += DEVIATION_GAIN * (difference_s - self._deviation_s)
        self._mean_s += MEAN_GAIN * (wait_s - self._mean_s)
