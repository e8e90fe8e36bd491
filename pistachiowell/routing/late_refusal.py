"""Refusal of prompts that no engine can begin in time.

Load pattern: more prompts arrive than the engines process. Each waits at an engine
until its caller leaves, and delays those behind it that could still be in time. A
caller that is refused at once may use the time that it has left elsewhere.

How long a prompt waits is known badly: engines may process short or urgent prompts
first, and the loads that other gateways report are old. So a wait counts only as far as
nearly all recent prompts of the same rank have waited for that share of what had been
expected. What is uncertain is sent.
"""

from dataclasses import dataclass

from pistachiowell.routing.recent_times import RecentTimes


@dataclass(frozen=True, slots=True)
class LateSettings:
    """Settings of the refusal of late prompts.

    Attributes:
        window_s: Seconds for which waits are remembered.
        min_waits: Number of waits from which on they are relied on.
        min_expected_s: Expected wait below which a wait shows nothing about queues.
        exceeded_share: Quantile of the waits over the expected ones that is relied on:
            as many recent prompts have waited for less than this part of the expected
            wait.
        margin: Factor on that quantile.
        min_retry_after_s: Shortest time after which a refused caller may come back.
        max_retry_after_s: Longest such time.
        retry_spread: Largest random addition to that time, as a share of it.
    """

    window_s: float = 20.0
    min_waits: int = 100
    min_expected_s: float = 0.2
    exceeded_share: float = 0.02
    # With 0.6 one of 11,308 refused prompts could have been served in the model of
    # ``bench.uneven_servers``, with 0.5 none of 5,981.
    margin: float = 0.5
    min_retry_after_s: float = 0.05
    max_retry_after_s: float = 30.0
    retry_spread: float = 0.25


class LateRefusal:
    """Refuses prompts whose expected wait exceeds the time that is left everywhere.

    Args:
        settings: ``LateSettings``.
        rng: A ``Random``.

    Examples:
        >>> from random import Random
        >>> settings = LateSettings(min_waits=2, retry_spread=0.0)
        >>> refusal = LateRefusal(settings, Random(1))
        >>> for wait_s in (0.9, 1.0, 1.1):
        ...     refusal.record_wait("chat", 0, wait_s, 1.0, 0.0)
        >>> refusal.retry_after_s("chat", 0, [4.0, 3.0], 2.0, 0.0) is None
        True
        >>> refusal.retry_after_s("chat", 0, [4.0, 3.0], 1.0, 0.0)
        2.0
    """

    __slots__ = ("_rng", "_settings", "_waits")

    def __init__(self, settings, rng):
        self._settings = settings
        self._rng = rng
        self._waits = {}

    def record_wait(self, service, rank, wait_s, expected_s, now):
        """Records how long a prompt has waited for its first token.

        Args:
            service: Name of the service.
            rank: Rank of the request; 0 is the most urgent.
            wait_s: The wait in seconds.
            expected_s: The wait in seconds that was expected.
            now: Present time in seconds.
        """
        if expected_s < self._settings.min_expected_s:
            return
        key = (service, rank)
        if key not in self._waits:
            self._waits[key] = RecentTimes(self._settings.window_s)
        self._waits[key].record(wait_s / expected_s, now)

    def retry_after_s(self, service, rank, expected_s, left_s, now):
        """Returns when a caller may come back; None if its request is not refused.

        Args:
            service: Name of the service.
            rank: Rank of the request; 0 is the most urgent.
            expected_s: Expected waits in seconds at all servers that may get it.
            left_s: Time in seconds that the request has left.
            now: Present time in seconds.
        """
        range_s = self.retry_range_s(service, rank, expected_s, left_s, now)
        return None if range_s is None else self._rng.uniform(*range_s)

    def retry_range_s(self, service, rank, expected_s, left_s, now):
        """Returns the least and the most that ``retry_after_s`` returns, or None."""
        settings, waits = self._settings, self._waits.get((service, rank))
        if not expected_s or waits is None:
            return None
        shortest_s = min(expected_s)
        if shortest_s <= left_s or waits.recent_count(now) < settings.min_waits:
            return None
        # The recorded values are ratios of waits, not seconds.
        ratio = min(1.0, waits.quantile_s(settings.exceeded_share))
        if shortest_s * ratio * settings.margin <= left_s:
            return None
        # After this time the queue is short enough for a request with as much time.
        least_s = max(settings.min_retry_after_s, shortest_s - left_s)
        most_s = least_s * (1.0 + settings.retry_spread)
        limit_s = settings.max_retry_after_s
        return min(limit_s, least_s), min(limit_s, most_s)
