"""Bounds of the durations of answers, in a model of lengths with a long tail.

Guards against streams that are begun because most of the recent ones were short.
"""

from random import Random

import pytest

from pistachiowell.routing import AnswerTimes, AnswerTimeSettings, UsualWait

TOKENS_PER_EVENT = 5
PROMPT_TOKENS = 1_000
LEFT_S = 4.0
# Seconds an event at three servers, one of which is slow.
PACES_S = (0.024, 0.026, 0.06)
MAX_TOKENS = (100, 300, 1_000)


def draw_streams(rng, count):
    """Yields the most tokens, the events, the wait and the duration of streams."""
    for _ in range(count):
        max_tokens = rng.choice(MAX_TOKENS)
        tokens = min(max_tokens, 1 + rng.lognormvariate(4.0, 1.2))
        events = -(-int(tokens) // TOKENS_PER_EVENT)
        pace_s = rng.choice(PACES_S) * rng.uniform(0.9, 1.1)
        yield max_tokens, events, rng.expovariate(10.0), events * pace_s


@pytest.mark.parametrize("seed", range(3))
def test_streams_with_a_long_tail_outlast_the_mean_and_not_the_bound(seed):
    rng, now = Random(seed), 0.0
    times, usual = AnswerTimes(AnswerTimeSettings()), UsualWait()
    begun, cut, cut_by_mean = 0, 0, 0
    for max_tokens, events, wait_s, duration_s in draw_streams(rng, 4_000):
        total_s, now = wait_s + duration_s, now + 0.1
        bound_s = times.stream_bound_s(PROMPT_TOKENS, max_tokens, now)
        if bound_s is not None and bound_s <= LEFT_S:
            begun += 1
            cut += total_s > LEFT_S
        if usual.bound_s() is not None and usual.bound_s() <= LEFT_S:
            cut_by_mean += total_s > LEFT_S
        usual.record(total_s)
        times.record_wait(wait_s, PROMPT_TOKENS, now)
        times.record_stream(
            events,
            duration_s,
            max_tokens=max_tokens,
            tokens_per_event=TOKENS_PER_EVENT,
            now=now,
        )
    assert (cut, cut_by_mean > 0, begun > 1_000) == (0, True, True)


def test_answers_of_long_ago_bound_nothing():
    times = AnswerTimes(AnswerTimeSettings(min_answers=1))
    times.record_whole(0.1, 0.0)
    assert 0.2 <= times.whole_bound_s(20.0) <= 0.25
    assert times.whole_bound_s(31.0) is None


def test_events_that_are_not_full_make_more_of_them():
    times = AnswerTimes(AnswerTimeSettings(min_answers=1))
    times.record_wait(0.001, PROMPT_TOKENS, 0.0)
    times.record_stream(101, 1.0, max_tokens=101, tokens_per_event=5, now=0.0)
    assert times.stream_bound_s(PROMPT_TOKENS, 500, 0.0) >= 4.8


def test_prompt_that_is_longer_than_the_recent_ones_takes_no_longer_to_read():
    times = AnswerTimes(AnswerTimeSettings(min_answers=1))
    times.record_wait(0.2, 8_000, 0.0)
    times.record_stream(10, 0.1, max_tokens=50, tokens_per_event=5, now=0.0)
    bounds_s = [times.stream_bound_s(tokens, 50, 0.0) for tokens in (8_000, 48_000)]
    assert bounds_s[1] - bounds_s[0] >= 0.75
