"""Counts of the answers of both versions of a move, by the second of their start.

Counting by the start of a request keeps the comparison fair: at any moment the counts
of both versions lack the answers that take longer than the time since that second.
Counting by the end would compare fast answers of the new version with answers of any
latency of the old one.
"""

import math
from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum

BUCKETS_PER_DOUBLING = 4
MIN_LATENCY_S = 0.001
# Events after the first by whose time the pace of a stream is judged.
PACE_EVENTS = 4
RETENTION_S = 600


def latency_bucket(latency_s):
    """Returns the bucket of a latency; four buckets cover a doubling of it.

    Examples:
        >>> latency_bucket(0.2) - latency_bucket(0.1)
        4
    """
    ratio = max(latency_s, MIN_LATENCY_S) / MIN_LATENCY_S
    return int(BUCKETS_PER_DOUBLING * math.log2(ratio))


class AnswerPhase(StrEnum):
    """What is known of an answer.

    Attributes:
        ended: It has ended.
        begun: Its first part has come.
        waited_for: Nothing of it has come yet.
        paced: ``PACE_EVENTS`` more events have come.
        pacing: It has begun, and fewer events have come.
    """

    ended = "ended"
    begun = "begun"
    waited_for = "waited_for"
    paced = "paced"
    pacing = "pacing"


@dataclass(frozen=True, slots=True)
class Answer:
    """Properties by which answers are grouped for counting.

    An answer is counted once in each phase that it reaches.

    Attributes:
        is_new: Whether the new version gave them.
        server: Name of the backend server.
        data_centre: Data centre of the backend server.
        failed: Whether they failed by a fault of the server or its version.
        bucket: Bucket of the latency to its end or its first part, of the time of the
            events after that, or of the time waited so far; see ``latency_bucket``.
        phase: The ``AnswerPhase``.
    """

    is_new: bool
    server: str
    data_centre: str = ""
    failed: bool = False
    bucket: int = 0
    phase: AnswerPhase = AnswerPhase.ended


class AnswerSums:
    """Sums of the answers of both versions.

    Each attribute has an entry for the old and one for the new version.

    Attributes:
        answers: Number of ended answers.
        failures: Number of failures.
        buckets: Successful ended answers by latency bucket.
        begun: Answers that have begun, by bucket of the latency to their first part.
        waited_for: Answers that have not begun, by bucket of the time waited.
        paced: Streams by bucket of the time of ``PACE_EVENTS`` events.
        pacing: Streams with fewer events, by bucket of the time since the first part.
    """

    __slots__ = (
        "answers",
        "begun",
        "buckets",
        "failures",
        "paced",
        "pacing",
        "waited_for",
    )

    def __init__(self):
        self.answers = [0, 0]
        self.failures = [0, 0]
        self.buckets = [defaultdict(int), defaultdict(int)]
        self.begun = [defaultdict(int), defaultdict(int)]
        self.waited_for = [defaultdict(int), defaultdict(int)]
        self.paced = [defaultdict(int), defaultdict(int)]
        self.pacing = [defaultdict(int), defaultdict(int)]

    def observed(self, side):
        """Returns the number of requests known of a side, at least.

        Args:
            side: 0 for the old version, 1 for the new one.
        """
        running = sum(self.begun[side].values()) + sum(self.waited_for[side].values())
        return max(self.answers[side], running)

    def add(self, answer, count):
        """Adds answers.

        Args:
            answer: An ``Answer``.
            count: Number of answers.
        """
        side = int(answer.is_new)
        if answer.phase is not AnswerPhase.ended:
            getattr(self, answer.phase)[side][answer.bucket] += count
            return
        self.answers[side] += count
        if answer.failed:
            self.failures[side] += count
        else:
            self.buckets[side][answer.bucket] += count

    def merge(self, other):
        """Adds other sums."""
        for side in (0, 1):
            self.answers[side] += other.answers[side]
            self.failures[side] += other.failures[side]
            for name in ("buckets", "begun", "waited_for", "paced", "pacing"):
                own = getattr(self, name)[side]
                for bucket, count in getattr(other, name)[side].items():
                    own[bucket] += count

    def copy(self):
        """Returns a copy."""
        copy = AnswerSums()
        copy.merge(self)
        return copy


class Evidence:
    """Answers of both versions on one route since a stage or a suspicion began.

    Args:
        started_at: Time in seconds; answers to requests that began earlier belong to
            the stage before and do not count.

    Examples:
        >>> evidence = Evidence(10.0)
        >>> evidence.add(Answer(True, "s1"), 12.0)
        >>> evidence.add(Answer(True, "s1"), 9.0)
        >>> evidence.sum_since(0.0).answers
        [0, 1]
    """

    __slots__ = ("_answers_by_second", "_started_at", "_sums_by_second", "_waits")

    def __init__(self, started_at):
        self._started_at = started_at
        self._waits = []
        self._answers_by_second = {}
        self._sums_by_second = {}

    @property
    def started_at(self):
        """Time in seconds since which answers count."""
        return self._started_at

    def add(self, answer, began, count=1):
        """Adds answers.

        Args:
            answer: An ``Answer``.
            began: Time at which their requests began, in seconds.
            count: Number of answers.
        """
        if began < self._started_at:
            return
        second = self._answers_by_second.setdefault(int(began), defaultdict(int))
        second[answer] += count
        self._sums_by_second.setdefault(int(began), AnswerSums()).add(answer, count)

    def replace_waits(self, waits):
        """Replaces the answers that are waited for.

        Args:
            waits: Triples ``(answer, began, count)`` of all routers.
        """
        self._waits = [wait for wait in waits if wait[1] >= self._started_at]

    def trim(self, now):
        """Discards answers to requests that began more than ``RETENTION_S`` ago."""
        for second in [s for s in self._answers_by_second if s < now - RETENTION_S]:
            del self._answers_by_second[second], self._sums_by_second[second]

    def span_sums(self, starts):
        """Sums the answers of several spans in one pass.

        A second counts whole if any part of it lies in the span.

        Args:
            starts: Start times of the spans in seconds, the latest first.

        Returns:
            A list of ``AnswerSums``, one for each span.
        """
        results, total = [], AnswerSums()
        seconds = sorted(self._sums_by_second, reverse=True)
        position = 0
        for start in starts:
            while position < len(seconds) and seconds[position] + 1 > start:
                total.merge(self._sums_by_second[seconds[position]])
                position += 1
            sums = total.copy()
            for answer, began, count in self._waits:
                if int(began) + 1 > start:
                    sums.add(answer, count)
            results.append(sums)
        return results

    def sum_since(self, since, is_excluded=lambda answer: False):
        """Sums the answers of requests that began at or after a time.

        A second counts whole if any part of it is at or after the time.

        Args:
            since: The time in seconds.
            is_excluded: Function that returns whether to leave an ``Answer`` out.
        """
        sums = AnswerSums()
        for second, answers in self._answers_by_second.items():
            if second + 1 <= since:
                continue
            for answer, count in answers.items():
                if not is_excluded(answer):
                    sums.add(answer, count)
        for answer, began, count in self._waits:
            if int(began) + 1 > since and not is_excluded(answer):
                sums.add(answer, count)
        return sums

    def new_failures_by_server(self):
        """Returns the number of failures of the new version by backend server.

        Servers of the new version without a failure are included with 0.
        """
        failures = defaultdict(int)
        for answer, count in self._iterate_answers():
            if answer.is_new:
                failures[answer.server] += count if answer.failed else 0
        return failures

    def sums_by_data_centre(self):
        """Returns ``AnswerSums`` by data centre."""
        sums = defaultdict(AnswerSums)
        for answer, count in self._iterate_answers():
            sums[answer.data_centre].add(answer, count)
        return sums

    def _iterate_answers(self):
        for answers in self._answers_by_second.values():
            yield from answers.items()
        for answer, _, count in self._waits:
            yield answer, count
