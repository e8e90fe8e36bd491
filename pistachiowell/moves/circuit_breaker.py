"""Circuit breaker of one router for the new version of a move.

The controller learns of failures only from reports. Until it reacts, a router could go
on sending requests to a version that fails all of them. The circuit breaker stops the
router's own traffic at once, based on the answers that this router has seen.
"""

from collections import deque

MAX_RECENT_ANSWERS = 16
RECENT_S = 10.0
TRIP_FAILURE_EXCESS = 0.25
OPEN_S = 2.0


class CircuitBreaker:
    """Opens when the new version fails much more often than the old one.

    The failure rate of the old version is subtracted, so that a fault that hits both
    versions does not open the breaker. It closes again after ``OPEN_S``.

    Examples:
        >>> breaker = CircuitBreaker()
        >>> breaker.record_answer(True, True, 1.0)
        True
        >>> breaker.allows_traffic(1.5), breaker.allows_traffic(9.0)
        (False, True)
    """

    __slots__ = ("_open_until", "_new", "_old")

    def __init__(self):
        self._new = deque(maxlen=MAX_RECENT_ANSWERS)
        self._old = deque(maxlen=MAX_RECENT_ANSWERS)
        self._open_until = float("-inf")

    def allows_traffic(self, now):
        """Returns whether the router may send the new version its share."""
        return now >= self._open_until

    def record_answer(self, is_new, failed, now):
        """Records an answer and opens the breaker if failures are too frequent.

        Args:
            is_new: Whether the new version gave it.
            failed: Whether it failed.
            now: Time of its end in seconds.

        Returns:
            Whether this answer has opened the breaker.
        """
        (self._new if is_new else self._old).append((now, failed))
        if not (is_new and failed) or not self.allows_traffic(now):
            return False
        new_rate = _failure_rate(self._new, now)
        if new_rate < TRIP_FAILURE_EXCESS + _failure_rate(self._old, now):
            return False
        self._open_until = now + OPEN_S
        return True

    def reset(self):
        """Closes the breaker and discards the new version's answers.

        Called when the controller grants a share again; the failures before no longer
        count.
        """
        self._new.clear()
        self._open_until = float("-inf")


def _failure_rate(answers, now):
    recent = [failed for at, failed in answers if at >= now - RECENT_S]
    return sum(recent) / len(recent) if recent else 0.0
