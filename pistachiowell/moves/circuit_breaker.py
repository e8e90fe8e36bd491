"""The breaker of one router: stops a new version at once, on its own view."""

from collections import deque

RECENT_ANSWERS = 16
RECENT_S = 10.0
TRIP_SHARE = 0.25
HOLD_S = 2.0


class CircuitBreaker:
    """Trips when the new version's latest answers fail much more than the old one's.

    Examples:
        >>> breaker = CircuitBreaker()
        >>> breaker.record_answer(True, True, 1.0)
        True
        >>> breaker.allows_traffic(1.5), breaker.allows_traffic(9.0)
        (False, True)
    """

    __slots__ = ("_held_until", "_new", "_old")

    def __init__(self):
        self._new = deque(maxlen=RECENT_ANSWERS)
        self._old = deque(maxlen=RECENT_ANSWERS)
        self._held_until = float("-inf")

    def allows_traffic(self, now):
        """Whether the router may send requests to the new version by share."""
        return now >= self._held_until

    def record_answer(self, is_new, failed, now):
        """Notes an answer.

        Args:
            is_new: Whether the new version gave it.
            failed: Whether it failed.
            now: Time of its end in seconds.

        Returns:
            Whether the breaker has tripped by this answer.
        """
        (self._new if is_new else self._old).append((now, failed))
        if not (is_new and failed) or not self.allows_traffic(now):
            return False
        new_share = _failed_share(self._new, now)
        if new_share < TRIP_SHARE + _failed_share(self._old, now):
            return False
        self._held_until = now + HOLD_S
        return True

    def reset(self):
        """Forgets the answers so far, as the holder has cleared the version."""
        self._new.clear()
        self._held_until = float("-inf")


def _failed_share(answers, now):
    recent = [failed for at, failed in answers if at >= now - RECENT_S]
    return sum(recent) / len(recent) if recent else 0.0
