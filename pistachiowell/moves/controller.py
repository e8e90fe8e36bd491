"""Decisions of the router that holds a move: stages, suspicion and the end."""

from dataclasses import dataclass

from pistachiowell.moves.evidence import Evidence
from pistachiowell.moves.judges import BAD_SCORE, SUSPECT_SCORE, Spread, find_judge
from pistachiowell.moves.plan import CONTROL_SHARE, LAST_STAGE, STAGES, MovePlan
from pistachiowell.moves.traffic_tokens import TRAFFIC_TOKEN_S
from pistachiowell.schema.generated.objects_moves import MoveEvidence

DONE = "done"
TAKEN_BACK = "taken_back"
LOADING = -1

MIN_JUDGED = 30
PROBES = 4
OLD_PER_PROBE = 4
MAX_STAGE_SCORE = 5.0
PROBE_TIMEOUT_S = 2.0
CLEAR_FAILED_SHARE = 0.25
EPOCH_COST = 1.0
JUDGE_INTERVAL_S = 0.4


@dataclass(frozen=True, slots=True)
class StageDecision:
    """Asks the driver to write a new stage."""

    stage: int


@dataclass(frozen=True, slots=True)
class EndDecision:
    """Asks the driver to write the end of the move.

    Attributes:
        end: ``done`` or ``taken_back``.
        reason: One sentence.
        evidence: The ``MoveEvidence``.
    """

    end: str
    reason: str
    evidence: MoveEvidence


class MoveController:
    """Decides for one move while this router holds its lease.

    ``tick`` returns an action to write to the store; it takes effect by ``confirm``
    after the write. A share is lowered at once and raised only after its write.

    Args:
        now: Time in seconds.
        deadline: Time by which the route must have moved.
        soak_s: Seconds at the last stage that the operator wants.
        stage: Stage of the previous holder; ``LOADING`` at first.
        judged: Answers of the new version that earlier holders judged.
        judge: Name of the judge.
    """

    __slots__ = (
        "_carried",
        "_ending",
        "_evidence",
        "_judge",
        "_judged",
        "_judged_at",
        "_loaded",
        "_pending",
        "_plan",
        "_probe_grants",
        "_probe_expiries",
        "_spread",
        "_stage",
        "_stage_started",
        "_suspect",
    )

    def __init__(
        self, now, deadline, soak_s, stage=LOADING, judged=0, judge="sequential"
    ):
        self._plan = MovePlan(now, deadline, soak_s)
        self._judge = find_judge(judge)
        self._judged = judged
        self._judged_at = float("-inf")
        self._loaded = stage > LOADING
        self._pending = None
        self._ending = None
        self._suspect = None
        self._probe_expiries = []
        self._probe_grants = {}
        self._spread = Spread()
        self._carried = 0.0
        self._begin_stage(stage, now)

    @property
    def stage(self):
        """Index of the stage in force; ``LOADING`` before the first."""
        return self._stage

    @property
    def judged(self):
        """Answers of the new version judged so far, earlier holders included."""
        return self._judged

    @property
    def is_version_suspected(self):
        """Whether the new version gets probes only."""
        return self._suspect is not None

    def set_loaded(self):
        """Notes that backend servers have loaded the new version."""
        self._loaded = True

    def share(self):
        """Returns the share of the route for the new version."""
        if self._ending is not None:
            return 1.0 if self._ending.end == DONE else 0.0
        if self._stage == LOADING or self._suspect is not None:
            return 0.0
        return min(STAGES[self._stage], 1.0 - CONTROL_SHARE)

    def record_answers(self, answer, began, count):
        """Takes answers that a router has reported.

        Args:
            answer: An ``Answer``.
            began: Time at which the requests began, in seconds.
            count: Number of answers.
        """
        if answer.is_new:
            self._judged += count
        if self._suspect is not None and began >= self._suspect.started:
            self._suspect.add(answer, began, count)
            if answer.is_new:
                del self._probe_expiries[:count]
        else:
            self._evidence.add(answer, began, count)

    def suspect_version(self, now):
        """Stops the share, as the brake of a router has tripped."""
        if self._suspect is None and self._stage > LOADING and self._ending is None:
            self._suspect = Evidence(now)
            self._probe_expiries = []
            self._probe_grants = {}

    def grant_probes(self, router, left, now):
        """Returns the probes that a router which reports now may send.

        The answer replaces what the router had left. What it has left counts as long
        as its permit holds, and probes that it has sent count until they are answered
        or ``PROBE_TIMEOUT_S`` has passed.

        Args:
            router: Name of the router.
            left: Probes of its last permit that it has not sent.
            now: Time in seconds.
        """
        if self._suspect is None or self._ending is not None:
            return 0
        granted, _ = self._probe_grants.pop(router, (0, now))
        sent = max(0, granted - left)
        self._probe_expiries += [now + PROBE_TIMEOUT_S] * sent
        self._probe_expiries = [at for at in self._probe_expiries if at > now]
        unsent = [n for n, until in self._probe_grants.values() if until > now]
        old_answers, answers = self._suspect.sums(0.0).answers
        allowed = PROBES + old_answers // OLD_PER_PROBE - answers
        wanted = min(PROBES, allowed) - len(self._probe_expiries) - sum(unsent)
        granted = max(0, wanted)
        self._probe_grants[router] = (granted, now + TRAFFIC_TOKEN_S)
        return granted

    def set_spread(self, servers, centres):
        """Notes on how many backend servers and data centres the new version runs."""
        self._spread = Spread(servers, centres)

    def abort(self, reason):
        """Takes the move back on an operator's order."""
        self._end(TAKEN_BACK, reason, self._judge(self._evidence, 0.0, self._spread))

    def tick(self, now):
        """Decides.

        Args:
            now: Time in seconds.

        Returns:
            A ``StageDecision``, an ``EndDecision`` or None.
        """
        if self._ending is not None:
            return self._ending
        if self._pending is not None:
            return self._pending
        if self._stage == LOADING:
            return self._tick_loading(now)
        if self._suspect is not None:
            verdict = self._judge(self._evidence, now, self._spread)
            return self._tick_suspect(verdict, now)
        if now < self._judged_at + JUDGE_INTERVAL_S:
            return None
        self._judged_at = now
        self._evidence.trim(now)
        verdict = self._judge(self._evidence, now, self._spread)
        if verdict.score + self._carried >= BAD_SCORE:
            return self._end(TAKEN_BACK, _reason(verdict), verdict)
        return self._tick_running(verdict, now)

    def confirm(self, action, now):
        """Notes that an action's write took effect."""
        self._pending = None
        if isinstance(action, StageDecision):
            self._begin_stage(action.stage, now)

    def _begin_stage(self, stage, now):
        self._stage = stage
        self._stage_started = now
        self._evidence = Evidence(now)

    def _tick_loading(self, now):
        if self._plan.is_over(now):
            return self._end(
                TAKEN_BACK, "No backend server has loaded it in time.", None
            )
        return self._raise_to(0) if self._loaded else None

    def _tick_suspect(self, stage_verdict, now):
        verdict = self._judge(self._suspect, now, self._spread)
        stage_score = min(MAX_STAGE_SCORE, stage_verdict.raw_score)
        score = verdict.failure_score + stage_score + self._carried
        fails_now = verdict.failure_score >= SUSPECT_SCORE
        if verdict.is_bad or (fails_now and score >= BAD_SCORE):
            return self._end(TAKEN_BACK, _reason(verdict), verdict)
        if self._plan.is_over(now):
            return self._end(TAKEN_BACK, "Suspect at the deadline.", verdict)
        if self._is_cleared():
            self._carry(verdict.score)
            self._suspect = None
        return None

    def _is_cleared(self):
        sums = self._suspect.sums(0.0)
        (old_answers, answers), (old_failures, failures) = sums.answers, sums.failures
        if answers < PROBES:
            return False
        old_share = old_failures / old_answers if old_answers else 0.0
        return failures / answers < CLEAR_FAILED_SHARE + old_share

    def _tick_running(self, verdict, now):
        suspicious = verdict.score + self._carried >= SUSPECT_SCORE
        if self._plan.is_over(now):
            return self._end(TAKEN_BACK, self._late_reason(suspicious), verdict)
        if suspicious:
            return None
        if self._stage < LAST_STAGE:
            if self._plan.may_raise(self._stage, self._stage_started, now):
                self._carry(verdict.score)
                return self._raise_to(self._stage + 1)
            return None
        soaked = self._plan.has_soaked(self._stage_started, now)
        if soaked and self._judged >= MIN_JUDGED:
            return self._end(DONE, "The new version is as good.", verdict)
        return None

    def _late_reason(self, suspicious):
        if suspicious:
            return "Suspect at the deadline."
        if self._stage < LAST_STAGE:
            return "The deadline came before the last stage."
        if self._judged < MIN_JUDGED:
            return f"Only {self._judged} answers to judge by at the deadline."
        return "The deadline came before the end of the soak."

    def _carry(self, score):
        self._carried = max(0.0, self._carried + score - EPOCH_COST)

    def _raise_to(self, stage):
        self._pending = StageDecision(stage)
        return self._pending

    def _end(self, end, reason, verdict):
        if self._ending is None:
            self._ending = EndDecision(end, reason, _evidence(verdict))
        return self._ending


def _reason(verdict):
    if verdict.failure_score >= verdict.latency_score:
        return "The new version fails more than the old one."
    return "The new version is slower than the old one."


def _evidence(verdict):
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
