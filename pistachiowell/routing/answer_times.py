"""Bound of how long an answer may last, from recent ones of its service.

Load pattern: answers whose lengths have a long tail, and engines whose pace follows
their load. The mean of recent durations bounds neither the next length nor what a slow
engine makes of it; the length that the request names as its most does, at the pace of
the slowest recent streams.
"""

import math
from dataclasses import dataclass

from pistachiowell.routing.recent_times import RecentTimes, time_bucket


@dataclass(frozen=True, slots=True)
class AnswerTimeSettings:
    """Settings of the bounds.

    Attributes:
        window_s: Seconds for which answers are remembered.
        min_answers: Number of answers from which on there is a bound.
        min_events: Number of events of a stream from which on it shows a pace.
        wait_quantile: Share of the waits that the bound covers.
        wait_tokens: Tokens of a prompt that take as long to read as an answer takes to
            begin without any.
        pace_quantile: Share of the events whose pace the bound covers. The pace of a
            long stream varies less than that of a short one.
        whole_margin: Factor on the longest time of an answer that is no stream, as
            nothing in its request bounds its length.
        assumed_wait_s: Wait for the first part that is assumed of a service of which
            too little is known.
        assumed_token_s: Seconds for a token, likewise.
    """

    window_s: float = 30.0
    min_answers: int = 8
    min_events: int = 8
    wait_quantile: float = 0.95
    wait_tokens: int = 2_000
    pace_quantile: float = 0.9
    whole_margin: float = 2.0
    assumed_wait_s: float = 2.0
    assumed_token_s: float = 0.25

    def assumed_bound_s(self, max_tokens):
        """Returns the seconds assumed of a stream of which too little is known.

        Args:
            max_tokens: Number of tokens that its answer cannot exceed.
        """
        return self.assumed_wait_s + max_tokens * self.assumed_token_s


class AnswerTimes:
    """Waits for first parts, paces of streams and durations of whole answers.

    Args:
        settings: ``AnswerTimeSettings``.

    Examples:
        >>> times = AnswerTimes(AnswerTimeSettings(min_answers=1))
        >>> times.stream_bound_s(1_000, 500, 0.0) is None
        True
        >>> times.record_wait(0.1, 1_000, 0.0)
        >>> times.record_stream(11, 0.2, max_tokens=100, tokens_per_event=5, now=0.0)
        >>> 2.1 <= times.stream_bound_s(1_000, 500, 0.0) <= 2.4
        True
    """

    __slots__ = (
        "_excess",
        "_paces",
        "_settings",
        "_tokens_per_event",
        "_waits",
        "_whole",
    )

    def __init__(self, settings):
        self._settings = settings
        self._waits = RecentTimes(settings.window_s)
        self._paces = RecentTimes(settings.window_s)
        self._whole = RecentTimes(settings.window_s)
        self._tokens_per_event = 1
        self._excess = 1.0

    def record_wait(self, wait_s, prompt_tokens, now):
        """Records the wait for the first part of a stream.

        Args:
            wait_s: The wait in seconds.
            prompt_tokens: Number of tokens of its prompt.
            now: Present time in seconds.
        """
        per_thousand = 1_000 / (prompt_tokens + self._settings.wait_tokens)
        self._waits.record(wait_s * per_thousand, now)

    def record_stream(self, events, duration_s, *, max_tokens, tokens_per_event, now):
        """Records a stream that has ended, or how far it has come.

        Args:
            events: Number of its events.
            duration_s: Seconds from the first to the last one.
            max_tokens: Number of tokens that its answer could not exceed.
            tokens_per_event: Number of tokens of an event that is full.
            now: Present time in seconds.
        """
        self._tokens_per_event = tokens_per_event
        # Events that are not full make more of them.
        full_events = _full_events(max_tokens, tokens_per_event)
        self._excess = max(self._excess, events / full_events)
        if events >= self._settings.min_events:
            pace = time_bucket(duration_s / (events - 1))
            self._paces.add({pace: events}, now)

    def record_whole(self, duration_s, now):
        """Records the seconds from a request to the end of an answer without events."""
        self._whole.record(duration_s, now)

    def stream_bound_s(self, prompt_tokens, max_tokens, now):
        """Returns the seconds that a stream may last; None if too little is known.

        Args:
            prompt_tokens: Number of tokens of its prompt.
            max_tokens: Number of tokens that its answer cannot exceed.
            now: Present time in seconds.
        """
        if not (self._is_known(self._waits, now) and self._is_known(self._paces, now)):
            return None
        settings = self._settings
        thousands = (prompt_tokens + settings.wait_tokens) / 1_000
        wait_s = thousands * self._waits.quantile_s(settings.wait_quantile)
        events = self._excess * _full_events(max_tokens, self._tokens_per_event)
        return wait_s + events * self._paces.quantile_s(settings.pace_quantile)

    def whole_bound_s(self, now):
        """Returns the same for an answer without events."""
        if not self._is_known(self._whole, now):
            return None
        return self._settings.whole_margin * self._whole.quantile_s(1.0)

    def _is_known(self, times, now):
        return times.recent_count(now) >= self._settings.min_answers


def _full_events(max_tokens, tokens_per_event):
    return max(1, math.ceil(max_tokens / tokens_per_event))
