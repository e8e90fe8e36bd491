"""Counts of answers of the two versions of a move, by the second they began in.

Counting by the start of a request keeps the comparison fair: at any moment both
versions lack the answers that take longer than the time since that second.
"""

import math
from collections import defaultdict
from dataclasses import dataclass

BUCKETS_PER_DOUBLING = 4
MIN_LATENCY_S = 0.001
KEPT_S = 600


def latency_bucket(latency_s):
    """Returns the bucket of a latency; four buckets double it.

    Examples:
        >>> latency_bucket(0.2) - latency_bucket(0.1)
        4
    """
    ratio = max(latency_s, MIN_LATENCY_S) / MIN_LATENCY_S
    return int(BUCKETS_PER_DOUBLING * math.log2(ratio))


@dataclass(frozen=True, slots=True)
class Answer:
    """Answers that count alike.

    Attributes:
        is_new: Whether the new version gave them.
        server: Name of the backend server.
        data_centre: Data centre of the backend server.
        failed: Whether they failed by a fault of the server or its version.
        bucket: Latency bucket; see ``latency_bucket``.
    """

    is_new: bool
    server: str
    data_centre: str = ""
    failed: bool = False
    bucket: int = 0


class Sums:
    """Sums of answers of the two versions.

    Attributes:
        answers: Number of answers of the old and the new version.
        failures: Number of failures of the old and the new version.
        buckets: Answers by latency bucket of the old and the new version.
    """

    __slots__ = ("answers", "buckets", "failures")

    def __init__(self):
        self.answers = [0, 0]
        self.failures = [0, 0]
        self.buckets = [defaultdict(int), defaultdict(int)]

    def add(self, answer, count):
        """Adds answers."""
        side = int(answer.is_new)
        self.answers[side] += count
        if answer.failed:
            self.failures[side] += count
        else:
            self.buckets[side][answer.bucket] += count


class Evidence:
    """Answers of one route, new version against old, since a stage began.

    Args:
        started: Time of the beginning; earlier answers do not count.

    Examples:
        >>> evidence = Evidence(10.0)
        >>> evidence.add(Answer(True, "s1"), 12.0)
        >>> evidence.add(Answer(True, "s1"), 9.0)
        >>> evidence.sums(0.0).answers
        [0, 1]
    """

    __slots__ = ("_seconds", "_started")

    def __init__(self, started):
        self._started = started
        self._seconds = {}

    @property
    def started(self):
        """Time since which answers count."""
        return self._started

    def add(self, answer, began, count=1):
        """Adds answers.

        Args:
            answer: An ``Answer``.
            began: Time at which their requests began.
            count: Number of answers.
        """
        if began < self._started:
            return
        second = self._seconds.setdefault(int(began), defaultdict(int))
        second[answer] += count

    def trim(self, now):
        """Forgets answers that began more than ``KEPT_S`` ago."""
        for second in [s for s in self._seconds if s < now - KEPT_S]:
            del self._seconds[second]

    def sums(self, since, without=lambda answer: False):
        """Sums the answers of requests that began at or after a time.

        Args:
            since: The time.
            without: Tells of an ``Answer`` whether to leave it out.
        """
        sums = Sums()
        for second, answers in self._seconds.items():
            if second + 1 <= since:
                continue
            for answer, count in answers.items():
                if not without(answer):
                    sums.add(answer, count)
        return sums

    def servers(self):
        """Returns the failures of the new version by its backend server."""
        failures = defaultdict(int)
        for answer, count in self._answers():
            if answer.is_new:
                failures[answer.server] += count if answer.failed else 0
        return failures

    def centres(self):
        """Returns ``Sums`` by data centre."""
        sums = defaultdict(Sums)
        for answer, count in self._answers():
            sums[answer.data_centre].add(answer, count)
        return sums

    def _answers(self):
        for answers in self._seconds.values():
            yield from answers.items()
