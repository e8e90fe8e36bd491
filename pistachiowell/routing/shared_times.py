"""Times of answers that the gateways of a data centre share.

Load pattern: many gateways, each with a few answers a minute of a kind of request. Each
one alone never learns which answer is slow, and finds an overload late. Together they
have enough answers within seconds.

A gateway collects its answers in ``SharedTimes`` and reports them; an agent adds them
up in a ``TimesSum`` and tells the gateways what they show.
"""

from dataclasses import dataclass, field

from pistachiowell.routing.recent_times import BUCKETS, RecentTimes, time_bucket

MAX_COUNT = 100_000
# Long enough for another agent to learn after the loss of one.
MAX_AGE_S = 20.0
# A report of four kinds has 371 bytes. With more, each is told less often; up to 16 are
# told again before they are too old.
MAX_REPORTED_KINDS = 4
MAX_AGENTS = 4


@dataclass(slots=True)
class KindTimes:
    """New answers of a kind of requests at one gateway.

    Attributes:
        kind: Tuple of a service's name and a route's name.
        counts: Mapping of buckets of ``RecentTimes`` to numbers of answers.
        slow: Number of requests that had no answer within the delay of a hedge.
        timely: Number of answers that came within it.
    """

    kind: tuple[str, str]
    counts: dict[int, int] = field(default_factory=dict)
    slow: int = 0
    timely: int = 0

    @property
    def answers(self):
        """Number of the answers."""
        return sum(self.counts.values())

    @property
    def is_plausible(self):
        """Whether the numbers can be counts of answers."""
        counts = (*self.counts.values(), self.slow, self.timely)
        return all(0 <= bucket < BUCKETS for bucket in self.counts) and all(
            0 <= count <= MAX_COUNT for count in counts
        )


@dataclass(frozen=True, slots=True)
class KindSummary:
    """What the answers of all gateways of a data centre show of a kind of requests.

    Attributes:
        kind: Tuple of a service's name and a route's name.
        delay_s: Seconds after which an answer is slow.
        slow_share: Share of the latest answers that were slow.
    """

    kind: tuple[str, str]
    delay_s: float
    slow_share: float

    @property
    def is_plausible(self):
        """Whether the values are a time and a share; NaN is neither."""
        return 0.0 < self.delay_s < float("inf") and 0.0 <= self.slow_share <= 1.0


def add_to_slow_share(share, gain, slow, timely):
    """Returns the share of the latest answers that were slow after some more answers.

    Args:
        share: The share before.
        gain: Weight of the latest answer.
        slow: Number of further slow ones.
        timely: Number of further others.
    """
    share = 1.0 - (1.0 - share) * (1.0 - gain) ** slow
    return share * (1.0 - gain) ** timely


class SharedTimes:
    """New answers of this gateway, and what agents report of all gateways.

    Args:
        max_age_s: Seconds for which a summary counts.
        max_kinds: Number of kinds in a report; the other ones wait for the next.

    Examples:
        >>> shared = SharedTimes()
        >>> shared.record_answer(("desk", "read"), 0.1, was_slow=False)
        >>> [(times.kind, times.counts) for times in shared.take()], shared.take()
        ([(('desk', 'read'), {49: 1})], [])
        >>> summary = KindSummary(("desk", "read"), 0.2, 0.05)
        >>> shared.record_summaries("agent-1", 7, [summary], 10.0)
        True
        >>> shared.find(("desk", "read"), 11.0).delay_s
        0.2
        >>> shared.find(("desk", "read"), 60.0) is None
        True
    """

    __slots__ = ("_max_age_s", "_max_kinds", "_new", "_numbers", "_summaries")

    def __init__(self, max_age_s=MAX_AGE_S, max_kinds=MAX_REPORTED_KINDS):
        self._max_age_s = max_age_s
        self._max_kinds = max_kinds
        self._new = {}
        self._numbers = {}
        self._summaries = {}

    def record_slow(self, kind):
        """Records that no answer has come within the delay."""
        self._times(kind).slow += 1

    def record_answer(self, kind, time_s, *, was_slow):
        """Records the time to an answer in seconds."""
        times, bucket = self._times(kind), time_bucket(time_s)
        times.counts[bucket] = times.counts.get(bucket, 0) + 1
        if not was_slow:
            times.timely += 1

    def take(self):
        """Returns the ``KindTimes`` to report now, those with the most answers."""
        new = sorted(self._new.values(), key=lambda times: -times.answers)
        taken = new[: self._max_kinds]
        self._new = {times.kind: times for times in new[self._max_kinds :]}
        return taken

    def record_summaries(self, source, number, summaries, now):
        """Records the summaries that an agent sends.

        Args:
            source: Unique id of this run of the agent.
            number: Number of the message in this run.
            summaries: The ``KindSummary`` of each kind.
            now: Present time in seconds.

        Returns:
            Whether it counts; it does not if a later one of this agent is known.
        """
        if number <= self._numbers.get(source, -1):
            return False
        # Keeps the agents in the order of their latest messages.
        self._numbers.pop(source, None)
        self._numbers[source] = number
        if len(self._numbers) > MAX_AGENTS:
            del self._numbers[next(iter(self._numbers))]
        oldest_at = now - self._max_age_s
        self._summaries = {
            kind: entry
            for kind, entry in self._summaries.items()
            if entry[1] >= oldest_at
        }
        for summary in summaries[: self._max_kinds]:
            self._summaries[summary.kind] = (summary, now)
        return True

    def find(self, kind, now):
        """Returns the latest ``KindSummary`` of a kind; None if it is too old."""
        summary, at = self._summaries.get(kind, (None, now))
        return summary if now - at <= self._max_age_s else None

    def known_kinds(self, now):
        """Returns the number of kinds of which a summary counts."""
        return sum(now - at <= self._max_age_s for _, at in self._summaries.values())

    def _times(self, kind):
        return self._new.setdefault(kind, KindTimes(kind))


class _KindSum:
    __slots__ = ("is_new", "slow_share", "times", "told_at")

    def __init__(self, window_s):
        self.is_new = False
        self.told_at = float("-inf")
        self.slow_share = 0.0
        self.times = RecentTimes(window_s)


class TimesSum:
    """Adds up the answers that the gateways of a data centre report.

    Args:
        settings: ``HedgeSettings``.

    Examples:
        >>> from pistachiowell.routing import HedgeSettings
        >>> total = TimesSum(HedgeSettings(min_samples=3))
        >>> kind = ("desk", "read")
        >>> total.add(KindTimes(kind, {49: 1}, timely=1), 0.0)
        >>> total.summaries(0.0)
        []
        >>> total.add(KindTimes(kind, {49: 1, 60: 1}, timely=2), 1.0)
        >>> [round(summary.delay_s, 2) for summary in total.summaries(1.0)]
        [0.3]
    """

    __slots__ = ("_kinds", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._kinds = {}

    def add(self, new, now):
        """Adds plausible ``KindTimes`` of a gateway."""
        settings = self._settings
        total = self._kinds.pop(new.kind, None) or _KindSum(settings.window_s)
        # Keeps the kinds in the order of their latest reports.
        self._kinds[new.kind] = total
        if len(self._kinds) > settings.max_kinds:
            del self._kinds[next(iter(self._kinds))]
        total.is_new = True
        total.times.add(new.counts, now)
        total.slow_share = add_to_slow_share(
            total.slow_share, settings.slow_gain, new.slow, new.timely
        )

    def summaries(self, now):
        """Returns the ``KindSummary`` of the kinds to tell now.

        They have new answers, enough in all, and were told longest ago.
        """
        due = [
            (kind, total)
            for kind, total in self._kinds.items()
            if total.is_new
            and total.times.recent_count(now) >= self._settings.min_samples
        ]
        due.sort(key=lambda item: item[1].told_at)
        told = due[:MAX_REPORTED_KINDS]
        for _, total in told:
            total.is_new, total.told_at = False, now
        return [
            KindSummary(
                kind,
                total.times.quantile_s(self._settings.quantile),
                total.slow_share,
            )
            for kind, total in told
        ]
