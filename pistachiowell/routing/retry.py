"""Retries of failed attempts.

Load pattern: when servers fail or refuse all at once, every request asks for another
attempt, and the retries multiply the load on servers that are failing already (a retry
storm). A retry budget bounds the retries to a share of the requests. A request is sent
again only if it did not run or may run more than once, and only before its deadline.
"""

from dataclasses import dataclass

from pistachiowell.core.registry import Registry

RETRIES = Registry("retry policy")

MAX_EXTRA_SENDS = 2
MIN_RETRY_TIME_S = 0.05

RETRYABLE_CODES = frozenset(
    {"overloaded", "leaving", "link_lost", "link_timeout", "server_failed"}
    | {"router_unknown", "no_server", "answer_broken"}
)


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Why an attempt ended without a whole answer.

    Attributes:
        code: Code of the error list.
        ran: ``"no"`` if the attempt certainly did not run and will not.
        retry_after_s: Delay in seconds that the refusal asks for.
        delivered_bytes: Bytes of its answer that the caller already has.
        may_have_arrived: Whether the server may have received the request.
        has_other_server: Whether a server that has not refused a connection is left for
            the next attempt.
    """

    code: str
    ran: str
    retry_after_s: float = 0.0
    delivered_bytes: int = 0
    may_have_arrived: bool = True
    has_other_server: bool = False


class RetryBudget:
    """Bounds the retries of a process to a share of its requests.

    A token bucket: each request adds ``retry_ratio`` tokens, up to ``retry_burst``, and
    each retry spends one. Even if all requests fail, the retries do not exceed that
    share and one burst.

    Args:
        settings: ``RoutingSettings``.

    Examples:
        >>> from pistachiowell.routing.settings import RoutingSettings
        >>> budget = RetryBudget(RoutingSettings(retry_burst=1.0))
        >>> budget.try_spend(), budget.try_spend()
        (True, False)
    """

    __slots__ = ("_settings", "_tokens")

    def __init__(self, settings):
        self._settings = settings
        self._tokens = settings.retry_burst

    def record_request(self):
        """Records the first attempt of a request, which adds to the allowed retries."""
        settings = self._settings
        self._tokens = min(settings.retry_burst, self._tokens + settings.retry_ratio)

    def try_spend(self):
        """Spends one retry of the budget; returns whether one was left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@RETRIES.add("always")
class AlwaysRetry:
    """Retries every failure until the deadline; the baseline without a budget."""

    __slots__ = ("_attempts", "_deadline", "may_have_run")

    def __init__(self, settings, budget, is_idempotent, deadline):
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
        """Returns True until the deadline."""
        self.may_have_run = self.may_have_run or failure.ran != "no"
        return now < self._deadline


@RETRIES.add("budgeted")
class RequestRetries:
    """Decides about the retries of one request by the retry budget of the process.

    A failure is retried only if the server or the link caused it, if no byte of the
    answer was delivered, and if the request is idempotent or certainly did not run.

    Args:
        settings: ``RoutingSettings``.
        budget: The ``RetryBudget`` of the process.
        is_idempotent: Whether the request may run more than once.
        deadline: Time of the caller's deadline in seconds.

    Attributes:
        may_have_run: Whether any attempt so far may have run, which the error to the
            caller must say.
    """

    __slots__ = (
        "_attempts",
        "_budget",
        "_deadline",
        "_is_idempotent",
        "_settings",
        "may_have_run",
    )

    def __init__(self, settings, budget, is_idempotent, deadline):
        self._settings = settings
        self._budget = budget
        self._is_idempotent = is_idempotent
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
            self._budget.record_request()
        self._attempts += 1
        return self._attempts

    def may_retry(self, failure, now):
        """Decides whether another attempt may start, and spends a retry if so.

        Args:
            failure: The ``AttemptFailure`` of the latest attempt.
            now: Present time in seconds.

        Returns:
            True if another attempt must start on another server.
        """
        if failure.ran != "no":
            self.may_have_run = True
        if failure.delivered_bytes or failure.code not in RETRYABLE_CODES:
            return False
        if self.may_have_run and not self._is_idempotent:
            return False
        if self._attempts >= self._settings.max_attempts:
            return False
        if self._deadline - now < self._settings.retry_min_left_s:
            return False
        return self._budget.try_spend()


@RETRIES.add("by_route")
class RouteRetries:
    """Decides about the retries of one request by the rules of its route.

    An attempt that certainly did not run counts against the retry budget of the fleet
    only. One that may have run counts against the attempts that the route allows, too.
    A request that the server cannot have received is sent again without spending a
    retry. In all at most ``MAX_EXTRA_SENDS`` more attempts start than the route allows
    to run. An attempt that did not arrive is not among them while another server is
    left: each server is avoided once it has refused a connection, so these attempts are
    bounded by the servers, for all requests together. Nor are refusals of the rest of a
    stream, before each of which there is a wait.

    Args:
        route: The ``Route``.
        deadline: Time of the caller's deadline.

    Attributes:
        is_paid: Whether the retry that follows the present attempt is already spent.
        may_have_run: Whether any attempt so far may have run, which the error to the
            caller must say.
    """

    __slots__ = (
        "_deadline",
        "_free_sends",
        "_kept_at",
        "_route",
        "_runs",
        "_sends",
        "is_paid",
        "may_have_run",
    )

    def __init__(self, route, deadline):
        self._route = route
        self._deadline = deadline
        self._free_sends = 0
        self._kept_at = None
        self._runs = 0
        self._sends = 0
        self.is_paid = False
        self.may_have_run = False

    @property
    def attempts(self):
        """Attempts started so far."""
        return self._sends

    def start(self, now, share):
        """Counts the start of an attempt and returns its number, from 1.

        Args:
            now: Present time in seconds.
            share: The ``RetryShare`` of the service that the attempt goes to.
        """
        if not self._sends:
            share.record_request(now)
        self._sends += 1
        return self._sends

    def record_failure(self, failure):
        """Records the failure of an attempt beside which another one goes on.

        Args:
            failure: The ``AttemptFailure``.
        """
        if failure.ran != "no":
            self.may_have_run = True
            self._runs += 1

    def may_retry(self, failure, now, share):
        """Decides whether another attempt may start, and spends a retry if so.

        Args:
            failure: The ``AttemptFailure`` of the latest attempt; its code is ignored.
            now: Present time in seconds.
            share: The ``RetryShare`` of the service that the next attempt goes to.
        """
        was_paid, self.is_paid = self.is_paid, False
        self.record_failure(failure)
        if not failure.may_have_arrived and failure.has_other_server:
            self._free_sends += 1
        if not self._may_send_again(now, self._runs, self.may_have_run):
            return False
        return was_paid or not failure.may_have_arrived or share.try_spend(now)

    def may_send_later(self, now):
        """Returns whether the rest of a stream that was refused may be sent later.

        Args:
            now: Present time in seconds.
        """
        return self._may_run_again(now, self._runs, self.may_have_run)

    def try_send_later(self, now, share, *, is_paid):
        """Spends the retry that follows a refusal; returns whether one was left.

        Args:
            now: Present time in seconds.
            share: The ``RetryShare`` of the service that the next attempt goes to.
            is_paid: Whether the retry that was spent for that attempt is left, as it
                arrived at no server.
        """
        if not is_paid and not self.is_paid:
            if self._kept_at is None and not share.try_spend(now):
                return False
            self._kept_at = None
        self.is_paid = False
        self._free_sends += 1
        return True

    def return_kept(self, share):
        """Returns the retry that was kept for a refusal, as a server goes on."""
        if self._kept_at is not None:
            share.give_back(self._kept_at)
            self._kept_at = None

    def try_move_on(self, now, share, *, is_begun=False):
        """Spends the retry that follows if the present attempt is given up now.

        The attempt may have run. Others are given up in the same moment, so a retry
        that is only found to be left may be gone by the time it is to start.

        Args:
            now: Present time in seconds.
            share: The ``RetryShare`` of the service that the next attempt goes to.
            is_begun: Whether the caller has a part of the answer. If so, a second retry
                is kept, for the way back if the next server refuses the rest.

        Returns:
            Whether the attempt may be given up.
        """
        count = 2 if is_begun and self._kept_at is None else 1
        self.is_paid = self.may_send_beside(now) and share.try_spend(now, count=count)
        if self.is_paid and is_begun:
            self._kept_at = now if self._kept_at is None else self._kept_at
        return self.is_paid

    def may_send_beside(self, now):
        """Returns whether the route allows another attempt beside the present one.

        Args:
            now: Present time in seconds.
        """
        return self._may_send_again(now, self._runs + 1, may_have_run=True)

    def _may_send_again(self, now, runs, may_have_run):
        sends = self._sends - self._free_sends
        if sends >= self._route.max_attempts + MAX_EXTRA_SENDS:
            return False
        return self._may_run_again(now, runs, may_have_run)

    def _may_run_again(self, now, runs, may_have_run):
        if may_have_run and not self._route.is_idempotent:
            return False
        if runs >= self._route.max_attempts:
            return False
        return self._deadline - now >= MIN_RETRY_TIME_S
