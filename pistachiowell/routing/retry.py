"""Retries: only what is safe, within a share of the traffic and the deadline."""

from dataclasses import dataclass

from pistachiowell.core.registry import Registry

RETRIES = Registry("retry policy")

SERVER_CODES = frozenset(
    {"overloaded", "leaving", "link_lost", "link_timeout", "server_failed"}
    | {"router_unknown", "no_server", "answer_broken"}
)


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Why an attempt ended without a whole answer.

    Attributes:
        code: Code of the error list.
        ran: ``"no"`` if the attempt certainly did not and will not run.
        retry_after_s: Hint of the refusal in seconds.
        delivered_bytes: Bytes of its answer that the caller already has.
    """

    code: str
    ran: str
    retry_after_s: float = 0.0
    delivered_bytes: int = 0


class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Args:
        settings: ``RoutingSettings``.

    Examples:
        >>> from pistachiowell.routing.settings import RoutingSettings
        >>> budget = RetryBudget(RoutingSettings(retry_burst=1.0))
        >>> budget.take(), budget.take()
        (True, False)
    """

    __slots__ = ("_settings", "_tokens")

    def __init__(self, settings):
        self._settings = settings
        self._tokens = settings.retry_burst

    def earn(self):
        """Counts a first attempt."""
        settings = self._settings
        self._tokens = min(settings.retry_burst, self._tokens + settings.retry_share)

    def take(self):
        """Takes one retry; returns whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@RETRIES.add("always")
class AlwaysRetry:
    """Retries every failure until the deadline; the naive baseline."""

    __slots__ = ("_attempts", "_deadline", "may_have_run")

    def __init__(self, settings, budget, repeatable, deadline):
        self._attempts = 0
        self._deadline = deadline
        self.may_have_run = False

    @property
    def attempts(self):
        """Attempts started so far."""
        return self._attempts

    def start(self):
        """Counts the start of an attempt and returns its number, from 1."""
        self._attempts += 1
        return self._attempts

    def may_retry(self, failure, now):
        """Tells whether another attempt may start."""
        self.may_have_run = self.may_have_run or failure.ran != "no"
        return now < self._deadline


@RETRIES.add("budgeted")
class RequestRetries:
    """Decides about the retries of one request and what its caller is told.

    Args:
        settings: ``RoutingSettings``.
        budget: The ``RetryBudget`` of the process.
        repeatable: Whether the request may run twice.
        deadline: Time of the caller's deadline.

    Attributes:
        may_have_run: Whether any attempt so far may have run.
    """

    __slots__ = (
        "_attempts",
        "_budget",
        "_deadline",
        "_repeatable",
        "_settings",
        "may_have_run",
    )

    def __init__(self, settings, budget, repeatable, deadline):
        self._settings = settings
        self._budget = budget
        self._repeatable = repeatable
        self._deadline = deadline
        self._attempts = 0
        self.may_have_run = False

    @property
    def attempts(self):
        """Attempts started so far."""
        return self._attempts

    def start(self):
        """Counts the start of an attempt and returns its number, from 1."""
        if not self._attempts:
            self._budget.earn()
        self._attempts += 1
        return self._attempts

    def may_retry(self, failure, now):
        """Tells whether another attempt may start.

        Args:
            failure: The ``AttemptFailure`` of the latest attempt.
            now: Present time in seconds.

        Returns:
            True if the driver shall start another attempt on another server.
        """
        if failure.ran != "no":
            self.may_have_run = True
        if failure.delivered_bytes or failure.code not in SERVER_CODES:
            return False
        if self.may_have_run and not self._repeatable:
            return False
        if self._attempts >= self._settings.max_attempts:
            return False
        if self._deadline - now < self._settings.retry_min_left_s:
            return False
        return self._budget.take()
