"""Trial of a new version whose requests are bounded from the order to its limit."""

import math
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from pistachiowell.moves.evidence import Evidence
from pistachiowell.moves.exposure import ExposureAccount, ExposureSettings
from pistachiowell.moves.judges import SUSPECT_SCORE, Spread, find_judge
from pistachiowell.moves.scores import (
    MIN_OLD_LATENCIES,
    SLIGHT_FAILURE_EXCESS,
    failure_clearance,
    overdue_answers,
)

JUDGE_INTERVAL_S = 0.4
# Routers report more often what they wait for.
WAITS_VALID_S = 1.5
MIN_JUDGED_ANSWERS = 12
# Failures are rare enough at ten to one against a version that often fails.
MIN_CLEARANCE = math.log(10.0)
# Share of the answers that have begun at which a version may still be accepted.
MAX_OVERDUE_SHARE = 0.15

# An order is seen somewhat later than it was written.
ORDER_LAG_S = 0.3
# Time between the writing of the end and the limit of the order.
COMPLETION_S = 0.3
# Before the end is written, all requests go to the new version for so long at most; the
# old servers stop as soon as it is written, and requests there would be cut off.
DRAIN_S = 3.0
# Part of the account that is kept for the end, as time at the present rate.
KEPT_FOR_END_S = 1.8
# A judge that has just taken over does not know the rate.
MIN_OBSERVED_S = 0.8
# The rate may rise until the limit.
RATE_MARGIN = 1.2
MIN_TRIED_REQUESTS = 30
MIN_TRIED_SHARE = 0.3

FIRST_SHARE = 0.1
MAX_SHARE = 0.5
SUSPECT_SHARE = 0.25
# Reports come more often than a permit is planned to last.
PERMIT_S = 0.9
RESERVE_S = 1.2


class TrialEnd(StrEnum):
    """End of a trial."""

    accepted = "accepted"
    rejected = "rejected"


@dataclass(frozen=True, slots=True)
class TrialSettings:
    """Settings of a ``VersionTrial``.

    Attributes:
        duration_s: Seconds from the order to its limit.
        exposure: The ``ExposureSettings``.
        judge: Name of the judge.
    """

    duration_s: float
    exposure: ExposureSettings = field(default_factory=ExposureSettings)
    judge: str = "distributions"


@dataclass(frozen=True, slots=True)
class TrialDecision:
    """End of a trial, with its reason.

    Attributes:
        end: The ``TrialEnd``.
        reason: Reason in one sentence.
        answers: Judged answers of the new version.
        failures: Failures among them.
        sent: Requests that the new version has got.
    """

    end: TrialEnd
    reason: str
    answers: int
    failures: int
    sent: int


class VersionTrial:
    """Tries a new version with few requests and decides on it near the order's limit.

    Load pattern: traffic of any rate, and a version that fails or is slow, at once or
    later. The ``ExposureAccount`` bounds the requests to the version whatever is
    decided. The allowance is spent evenly, all answers since the order count, and what
    is kept of it pays for the time in which all requests go to the new version: the
    last moment before the end is written, and the rest of the order's time. A version
    that was wrongly taken for good has therefore got no more than the order allows.

    Args:
        settings: ``TrialSettings``.
        began: Time in seconds at which the order was seen.

    See Also:
        MoveController: Stages of a move of the product's own routers.
    """

    __slots__ = (
        "_account",
        "_began",
        "_counts",
        "_decision",
        "_evidence",
        "_is_suspected",
        "_judge",
        "_last_judged_at",
        "_settings",
        "_switched_at",
        "_verdict",
        "_waits",
    )

    def __init__(self, settings, began):
        self._settings = settings
        self._judge = find_judge(settings.judge)
        self._account = ExposureAccount(settings.exposure)
        self._began = began
        self._counts = {}
        self._evidence = Evidence(-math.inf)
        self._waits = {}
        self._last_judged_at = -math.inf
        self._verdict = None
        self._is_suspected = False
        self._switched_at = None
        self._decision = None

    @property
    def account(self):
        """The ``ExposureAccount``."""
        return self._account

    @property
    def is_switching(self):
        """Whether all requests go to the new version, as far as the account reaches."""
        return self._switched_at is not None

    @property
    def limit(self):
        """Time in seconds at which the order's time ends, at the latest."""
        return self._began + self._settings.duration_s

    @property
    def _completion_due_at(self):
        return self.limit - ORDER_LAG_S - COMPLETION_S

    def age_s(self, now):
        """Returns the seconds since any process is known to have seen the order."""
        return now - self._began

    def record_age(self, age_s, now):
        """Records for how long a router has known the order.

        Args:
            age_s: Age in seconds.
            now: Time in seconds.
        """
        self._began = min(self._began, now - age_s)

    def record_answers(self, run, answers, is_whole):
        """Records answers that a run of a router has reported.

        Args:
            run: Id of the run.
            answers: Triples ``(answer, began, count)``.
            is_whole: Whether they are all since the order and replace those before.
        """
        known = self._counts.setdefault(run, Counter())
        if is_whole and known:
            known.clear()
            self._evidence = Evidence(-math.inf)
            for counts in self._counts.values():
                self._add_to_evidence(counts)
        counts = Counter()
        for answer, began, count in answers:
            counts[answer, began] += count
        known.update(counts)
        self._add_to_evidence(counts)

    def _add_to_evidence(self, counts):
        for (answer, began), count in counts.items():
            self._evidence.add(answer, began, count)

    def replace_waits(self, run, waits, now):
        """Replaces what a run of a router waits for, as it has reported.

        Args:
            run: Id of the run.
            waits: Triples ``(answer, began, count)``.
            now: Time in seconds.
        """
        self._waits[run] = (now + WAITS_VALID_S, waits)

    def share(self, now):
        """Returns the share of the requests for the new version.

        Args:
            now: Time in seconds.
        """
        if self._decision is not None:
            return 0.0
        if self.is_switching:
            return 1.0
        rate = self._rate(now)
        if not rate:
            return FIRST_SHARE
        left = self._trial_allowance(now) - self._account.sent()[1]
        left_s = max(JUDGE_INTERVAL_S, self.limit - KEPT_FOR_END_S - now)
        share = min(MAX_SHARE, max(0.0, left / (rate * left_s)))
        return SUSPECT_SHARE * share if self._is_suspected else share

    def permit(self, run, now):
        """Returns the number of requests that a run may have sent to the new version.

        Args:
            run: Id of the run.
            now: Time in seconds.
        """
        share = self.share(now)
        wanted = math.ceil(share * self._account.rate(run) * PERMIT_S) + 1
        sent = self._account.sent_by(run)
        return self._account.permit(run, sent + wanted if share else 0)

    def wanted_reserve(self, now):
        """Returns how many requests the judge should reserve in the store now.

        Args:
            now: Time in seconds.
        """
        if self._decision is not None:
            return 0
        account = self._account
        planned = self.share(now) * self._rate(now) * RESERVE_S
        wanted = math.ceil(planned) + account.runs - account.free
        allowed = account.allowed()
        if not self.is_switching:
            allowed = min(allowed, self._trial_allowance(now))
        return max(0, min(wanted, allowed - account.total))

    def _rate(self, now):
        """Returns the requests per second, the higher of lately and since the order."""
        mean = sum(self._account.sent()) / max(1.0, self.age_s(now))
        return max(self._account.rate(), mean)

    def _trial_allowance(self, now):
        """Returns how many requests may be used before the switch.

        This is a plan: the bound that always holds is ``ExposureAccount.allowed``.
        """
        rate = self._rate(now)
        expected = self._account.allowed(rate * max(0.0, self.limit - now))
        kept = rate * KEPT_FOR_END_S
        return math.floor(
            max(MIN_TRIED_REQUESTS, MIN_TRIED_SHARE * expected, expected - kept)
        )

    def tick(self, now):
        """Judges the version and returns the ``TrialDecision``, or None before it.

        Args:
            now: Time in seconds.
        """
        if self._decision is None and now >= self._last_judged_at + JUDGE_INTERVAL_S:
            self._last_judged_at = now
            self._judge_version(now)
        if self._decision is None and self._verdict is not None:
            self._advance(now)
        return self._decision

    def _judge_version(self, now):
        valid = [waits for until, waits in self._waits.values() if now < until]
        self._evidence.replace_waits([wait for waits in valid for wait in waits])
        self._verdict = self._judge(self._evidence, now, Spread())
        self._is_suspected = self._verdict.score >= SUSPECT_SCORE
        if self._verdict.is_bad:
            fails = self._verdict.failure_score >= self._verdict.latency_score
            self._end(
                TrialEnd.rejected,
                "The new version fails more than the old one."
                if fails
                else "The new version is slower than the old one.",
            )

    def _advance(self, now):
        doubt = self._doubt()
        if self.is_switching and doubt:
            self._switched_at = None
        is_late = now >= self._completion_due_at
        if self.is_switching:
            if is_late or now >= self._switched_at + DRAIN_S:
                self._end(TrialEnd.accepted, "The new version is as good.")
        elif is_late:
            self._end(TrialEnd.rejected, doubt or "The allowance was used up.")
        elif not doubt and self._may_switch(now):
            self._switched_at = now

    def _may_switch(self, now):
        if now < self._completion_due_at - DRAIN_S:
            return False
        if self._account.observed_s() < MIN_OBSERVED_S:
            return False
        expected = RATE_MARGIN * self._rate(now) * (self.limit - now)
        return expected <= self._account.left()

    def _doubt(self):
        """Returns why the version can't be accepted now; empty if it can."""
        sums, old, new = self._evidence.sum_since(0.0), 0, 1
        begun = [sum(side.values()) for side in sums.begun]
        judged = [max(sums.answers[side], begun[side]) for side in (old, new)]
        if judged[new] < MIN_JUDGED_ANSWERS:
            return f"Only {judged[new]} answers to judge by."
        if judged[old] < MIN_OLD_LATENCIES:
            return f"Only {judged[old]} answers of the old version to compare with."
        if self._is_suspected:
            return "The new version is suspected of being worse."
        if failure_clearance(sums) < MIN_CLEARANCE:
            return "The answers are too few for the failures among them."
        if failure_clearance(sums, SLIGHT_FAILURE_EXCESS) < 0.0:
            return "It rather fails more than the old version."
        if overdue_answers(sums) > max(1, MAX_OVERDUE_SHARE * begun[new]):
            return "Too many answers of the new version are overdue."
        return ""

    def _end(self, end, reason):
        sums, new = self._evidence.sum_since(0.0), 1
        self._decision = TrialDecision(
            end,
            reason,
            sums.answers[new],
            sums.failures[new],
            self._account.sent()[new],
        )
