"""Stages of a move and their schedule up to the deadline."""

STAGES = (0.01, 0.05, 0.20, 0.50, 1.0)
LAST_STAGE = len(STAGES) - 1
CONTROL_SHARE = 0.02
RESERVE_FRACTION = 0.1
MAX_OBSERVATION_FRACTION = 0.3
MIN_STAGE_S = 2.0
MIN_STAGE_FRACTION = 0.1


class MovePlan:
    """Schedules the stages up to the deadline.

    A tenth of the time is held in reserve. At most three tenths are for observation at
    the last stage; the rest is split evenly over the stages before it. Time that is
    lost at one stage shortens the following ones.

    Args:
        now: Time in seconds at which the plan is made.
        deadline: Time in seconds by which the route must have moved.
        observation_s: Seconds at the last stage that the operator wants.

    Examples:
        >>> plan = MovePlan(0.0, 100.0, 300.0)
        >>> plan.may_advance(0, 0.0, 14.9), plan.may_advance(0, 0.0, 15.1)
        (False, True)
        >>> plan.is_observed(60.0, 89.0), plan.is_observed(60.0, 90.0)
        (False, True)
    """

    __slots__ = ("_deadline", "_planned_end", "_min_stage_s", "_observation_s")

    def __init__(self, now, deadline, observation_s):
        total_s = max(0.0, deadline - now)
        self._deadline = deadline
        self._min_stage_s = min(MIN_STAGE_S, MIN_STAGE_FRACTION * total_s)
        self._planned_end = deadline - RESERVE_FRACTION * total_s
        self._observation_s = min(observation_s, MAX_OBSERVATION_FRACTION * total_s)

    def is_over(self, now):
        """Returns whether the deadline has passed."""
        return now >= self._deadline

    def may_advance(self, stage, stage_started, now):
        """Returns whether a stage before the last has lasted long enough."""
        stages_left = LAST_STAGE - stage
        left_s = self._planned_end - self._observation_s - stage_started
        return now >= stage_started + max(self._min_stage_s, left_s / stages_left)

    def is_observed(self, stage_started, now):
        """Returns whether the last stage has lasted long enough."""
        left_s = min(self._observation_s, max(0.0, self._planned_end - stage_started))
        return now >= stage_started + left_s
