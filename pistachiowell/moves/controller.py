"""Controller of a move: decides on its stages, on suspicion and on its end."""

from dataclasses import dataclass

from pistachiowell.moves.evidence import AnswerPhase, Evidence
from pistachiowell.moves.judges import (
    BAD_SCORE,
    SUSPECT_SCORE,
    Spread,
    find_judge,
)
from pistachiowell.moves.plan import CONTROL_SHARE, LAST_STAGE, STAGES, MovePlan
from pistachiowell.moves.traffic_tokens import TRAFFIC_TOKEN_S
from pistachiowell.schema.generated.objects_moves import MoveEvidence

DONE = "done"
# The store and the table keep the value under this name.
ROLLED_BACK = "taken_back"
LOADING = -1

MIN_JUDGED_ANSWERS = 30
PROBE_BATCH = 4
OLD_ANSWERS_PER_PROBE = 4
MAX_STAGE_SCORE = 5.0
PROBE_TIMEOUT_S = 2.0
CLEAR_FAILURE_EXCESS = 0.25
CARRY_OVER_DISCOUNT = 1.0
JUDGE_INTERVAL_S = 0.4


@dataclass(frozen=True, slots=True)
class StageDecision:
    """Asks the caller to write a new stage to the store.

    Attributes:
        stage: Index into ``STAGES``.
    """

    stage: int


@dataclass(frozen=True, slots=True)
class EndDecision:
    """Asks the caller to write the end of the move to the store.

    Attributes:
        end: ``done``, or ``taken_back`` for a rollback.
        reason: Reason of the end in one sentence.
        evidence: The ``MoveEvidence``.
    """

    end: str
    reason: str
    evidence: MoveEvidence


class MoveController:
    """Decides on one move while this process is its holder.

    ``tick`` returns a decision for the caller to write to the store. A new stage
    applies once ``confirm`` reports that its write took effect. So no router gets the
    share of a stage that is not stored, and a router that takes the lease over knows
    the highest stage that was in force. A share is lowered at once, as waiting for the
    store would send more requests to a bad version.

    Every stage is judged on its own answers. If a circuit breaker trips, the version
    becomes a suspected version: the share drops to 0, and routers send only a few
    probes until these confirm that the version fails or clear it. Without probes there
    would be no further answers to decide by.

    As every stage and every suspicion starts with empty counts, a part of the score is
    carried over, so that a version that looks slightly worse at each stage is found
    too. Scores up to ``CARRY_OVER_DISCOUNT`` do not add up.

    Args:
        now: Time in seconds.
        deadline: Time in seconds by which the route must have moved.
        observation_s: Seconds at the last stage that the operator wants.
        stage: Stage of the previous holder; ``LOADING`` at first.
        judged: Number of answers of the new version that earlier holders judged.
        judge: Name of the judge.
    """

    __slots__ = (
        "_carried_score",
        "_end_decision",
        "_evidence",
        "_judge",
        "_judged",
        "_last_judged_at",
        "_is_loaded",
        "_pending_decision",
        "_plan",
        "_probe_grants",
        "_probe_expiries",
        "_spread",
        "_stage",
        "_stage_started_at",
        "_suspicion",
    )

    def __init__(
        self,
        now,
        deadline,
        observation_s,
        stage=LOADING,
        judged=0,
        judge="sequential",
    ):
        self._plan = MovePlan(now, deadline, observation_s)
        self._judge = find_judge(judge)
        self._judged = judged
        self._last_judged_at = float("-inf")
        self._is_loaded = stage > LOADING
        self._pending_decision = None
        self._end_decision = None
        self._suspicion = None
        self._probe_expiries = []
        self._probe_grants = {}
        self._spread = Spread()
        self._carried_score = 0.0
        self._begin_stage(stage, now)

    @property
    def stage(self):
        """Index of the stage in force; ``LOADING`` before the first."""
        return self._stage

    @property
    def judged(self):
        """Number of answers of the new version so far, earlier holders included."""
        return self._judged

    @property
    def is_version_suspected(self):
        """Whether the new version gets probes only."""
        return self._suspicion is not None

    def set_loaded(self):
        """Records that backend servers have loaded the new version."""
        self._is_loaded = True

    def share(self):
        """Returns the share of the route for the new version.

        Until the move is done, the old version keeps at least ``CONTROL_SHARE``, so
        that there are answers to compare with.
        """
        if self._end_decision is not None:
            return 1.0 if self._end_decision.end == DONE else 0.0
        if self._stage == LOADING or self._suspicion is not None:
            return 0.0
        return min(STAGES[self._stage], 1.0 - CONTROL_SHARE)

    def record_answers(self, answer, began, count):
        """Records answers that a router has reported.

        Args:
            answer: An ``Answer``.
            began: Time at which the requests began, in seconds.
            count: Number of answers.
        """
        has_ended = answer.phase is AnswerPhase.ended
        if answer.is_new and has_ended:
            self._judged += count
        if self._suspicion is not None and began >= self._suspicion.started_at:
            self._suspicion.add(answer, began, count)
            if answer.is_new and has_ended:
                del self._probe_expiries[:count]
        else:
            self._evidence.add(answer, began, count)

    def suspect_version(self, now):
        """Marks the version as suspected: stops its share and begins to probe it.

        Called when the circuit breaker of a router has tripped.

        Args:
            now: Time in seconds.
        """
        if (
            self._suspicion is None
            and self._stage > LOADING
            and self._end_decision is None
        ):
            self._suspicion = Evidence(now)
            self._probe_expiries = []
            self._probe_grants = {}

    def grant_probes(self, router, left, now):
        """Grants probes to a router that reports now and returns their number.

        The grant replaces the probes that the router has not sent. Unsent probes of a
        router count until its traffic token expires, and sent ones until they are
        answered or ``PROBE_TIMEOUT_S`` has passed. This limits the outstanding probes
        of all routers to ``PROBE_BATCH``, so that a bad version fails few requests.

        Args:
            router: Name of the router.
            left: Number of probes of its last traffic token that it has not sent.
            now: Time in seconds.
        """
        if self._suspicion is None or self._end_decision is not None:
            return 0
        granted, _ = self._probe_grants.pop(router, (0, now))
        sent = max(0, granted - left)
        self._probe_expiries += [now + PROBE_TIMEOUT_S] * sent
        self._probe_expiries = [at for at in self._probe_expiries if at > now]
        unsent = [n for n, until in self._probe_grants.values() if until > now]
        old_answers, answers = self._suspicion.sum_since(0.0).answers
        allowed = PROBE_BATCH + old_answers // OLD_ANSWERS_PER_PROBE - answers
        wanted = min(PROBE_BATCH, allowed) - len(self._probe_expiries) - sum(unsent)
        granted = max(0, wanted)
        self._probe_grants[router] = (granted, now + TRAFFIC_TOKEN_S)
        return granted

    def set_spread(self, servers, data_centres):
        """Records on how many backend servers and data centres the version runs."""
        self._spread = Spread(servers, data_centres)

    def abort(self, reason):
        """Rolls the move back on an operator's request.

        Args:
            reason: Reason of the end in one sentence.
        """
        # At time 0.0 every span reaches back to the start of the stage.
        self._end(ROLLED_BACK, reason, self._judge(self._evidence, 0.0, self._spread))

    def tick(self, now):
        """Returns the decision that is due, or None.

        Returns the same decision again until it is confirmed.

        Args:
            now: Time in seconds.

        Returns:
            A ``StageDecision``, an ``EndDecision`` or None.
        """
        if self._end_decision is not None:
            return self._end_decision
        if self._pending_decision is not None:
            return self._pending_decision
        if self._stage == LOADING:
            return self._tick_loading(now)
        if self._suspicion is not None:
            verdict = self._judge(self._evidence, now, self._spread)
            return self._tick_suspected(verdict, now)
        if now < self._last_judged_at + JUDGE_INTERVAL_S:
            return None
        self._last_judged_at = now
        self._evidence.trim(now)
        verdict = self._judge(self._evidence, now, self._spread)
        if verdict.score + self._carried_score >= BAD_SCORE:
            return self._end(ROLLED_BACK, _rollback_reason(verdict), verdict)
        return self._tick_running(verdict, now)

    def confirm(self, decision, now):
        """Applies a decision whose write took effect.

        Args:
            decision: The ``StageDecision`` or ``EndDecision``.
            now: Time in seconds.
        """
        self._pending_decision = None
        if isinstance(decision, StageDecision):
            self._begin_stage(decision.stage, now)

    def _begin_stage(self, stage, now):
        self._stage = stage
        self._stage_started_at = now
        self._evidence = Evidence(now)

    def _tick_loading(self, now):
        if self._plan.is_over(now):
            return self._end(
                ROLLED_BACK, "No backend server has loaded it in time.", None
            )
        return self._advance_to(0) if self._is_loaded else None

    def _tick_suspected(self, stage_verdict, now):
        verdict = self._judge(self._suspicion, now, self._spread)
        stage_score = min(MAX_STAGE_SCORE, stage_verdict.raw_score)
        score = verdict.failure_score + stage_score + self._carried_score
        fails_now = verdict.failure_score >= SUSPECT_SCORE
        if verdict.is_bad or (fails_now and score >= BAD_SCORE):
            return self._end(ROLLED_BACK, _rollback_reason(verdict), verdict)
        if self._plan.is_over(now):
            return self._end(ROLLED_BACK, "Suspect at the deadline.", verdict)
        if self._is_cleared():
            self._carry_over(verdict.score)
            self._suspicion = None
        return None

    def _is_cleared(self):
        sums = self._suspicion.sum_since(0.0)
        (old_answers, answers), (old_failures, failures) = sums.answers, sums.failures
        if answers < PROBE_BATCH:
            return False
        old_rate = old_failures / old_answers if old_answers else 0.0
        return failures / answers < CLEAR_FAILURE_EXCESS + old_rate

    def _tick_running(self, verdict, now):
        is_suspicious = verdict.score + self._carried_score >= SUSPECT_SCORE
        if self._plan.is_over(now):
            return self._end(ROLLED_BACK, self._late_reason(is_suspicious), verdict)
        if is_suspicious:
            return None
        if self._stage < LAST_STAGE:
            if self._plan.may_advance(self._stage, self._stage_started_at, now):
                self._carry_over(verdict.score)
                return self._advance_to(self._stage + 1)
            return None
        is_observed = self._plan.is_observed(self._stage_started_at, now)
        if is_observed and self.judged >= MIN_JUDGED_ANSWERS:
            return self._end(DONE, "The new version is as good.", verdict)
        return None

    def _late_reason(self, is_suspicious):
        if is_suspicious:
            return "Suspect at the deadline."
        if self._stage < LAST_STAGE:
            return "The deadline came before the last stage."
        if self.judged < MIN_JUDGED_ANSWERS:
            return f"Only {self.judged} answers to judge by at the deadline."
        return "The deadline came before the end of the soak."

    def _carry_over(self, score):
        self._carried_score = max(
            0.0, self._carried_score + score - CARRY_OVER_DISCOUNT
        )

    def _advance_to(self, stage):
        self._pending_decision = StageDecision(stage)
        return self._pending_decision

    def _end(self, end, reason, verdict):
        if self._end_decision is None:
            self._end_decision = EndDecision(end, reason, _move_evidence(verdict))
        return self._end_decision


def _rollback_reason(verdict):
    if verdict.failure_score >= verdict.latency_score:
        return "The new version fails more than the old one."
    return "The new version is slower than the old one."


def _move_evidence(verdict):
    if verdict is None:
        return MoveEvidence()
    old, new = 0, 1
    return MoveEvidence(
        new_answers=verdict.sums.answers[new],
        new_failures=verdict.sums.failures[new],
        old_answers=verdict.sums.answers[old],
        old_failures=verdict.sums.failures[old],
        failure_score=round(verdict.failure_score, 2),
        latency_score=round(verdict.latency_score, 2),
    )
