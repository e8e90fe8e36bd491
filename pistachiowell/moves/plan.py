"""Stages of a move and their pace up to the deadline."""

STAGES = (0.01, 0.05, 0.20, 0.50, 1.0)
LAST_STAGE = len(STAGES) - 1
CONTROL_SHARE = 0.02
MARGIN_PART = 0.1
MAX_SOAK_PART = 0.3
MIN_STAGE_S = 2.0
MIN_STAGE_PART = 0.1


class MovePlan:
    """Paces the stages to the deadline.

    A tenth of the time is kept back. At most three tenths are the soak at the last
    stage; the rest is split evenly over the stages before it. Time that is lost at
    one stage shortens the others.

    Args:
        now: Time in seconds at which the plan is made.
        deadline: Time by which the route must have moved.
        soak_s: Seconds at the last stage that the operator wants.

    Examples:
        >>> plan = MovePlan(0.0, 100.0, 300.0)
        >>> plan.may_raise(0, 0.0, 14.9), plan.may_raise(0, 0.0, 15.1)
        (False, True)
        >>> plan.has_soaked(60.0, 89.0), plan.has_soaked(60.0, 90.0)
        (False, True)
    """

    __slots__ = ("_deadline", "_end", "_min_stage_s", "_soak_s")

    def __init__(self, now, deadline, soak_s):
        total_s = max(0.0, deadline - now)
        self._deadline = deadline
        self._min_stage_s = min(MIN_STAGE_S, MIN_STAGE_PART * total_s)
        self._end = deadline - MARGIN_PART * total_s
        self._soak_s = min(soak_s, MAX_SOAK_PART * total_s)

    def is_over(self, now):
        """Whether the deadline has come."""
        return now >= self._deadline

    def may_raise(self, stage, stage_started, now):
        """Whether a stage before the last has lasted long enough."""
        left = LAST_STAGE - stage
        until_soak_s = self._end - self._soak_s - stage_started
        return now >= stage_started + max(self._min_stage_s, until_soak_s / left)

    def has_soaked(self, stage_started, now):
        """Whether the last stage has lasted long enough."""
        soak_s = min(self._soak_s, max(0.0, self._end - stage_started))
        return now >= stage_started + soak_s
