"""Retries: only what is safe, within a share of the traffic and the deadline."""

from collections import deque
from dataclasses import dataclass

from pistachiowell.core.registry import Registry

RETRIES = Registry("retry policy")

EXTRA_SENDS = 2
MIN_LEFT_S = 0.05

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
        arrived: Whether the server may have got the request.
    """

    code: str
    ran: str
    retry_after_s: float = 0.0
    delivered_bytes: int = 0
    may_have_arrived: bool = True


class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

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
        """Counts a first attempt."""
        settings = self._settings
        self._tokens = min(settings.retry_burst, self._tokens + settings.retry_share)

    def try_spend(self):
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
            self._budget.record_request()
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
        return self._budget.try_spend()


@dataclass(frozen=True, slots=True)
class RetryShareSettings:
    """Settings of a ``RetryShare``.

    Attributes:
        ratio: Retries for each request.
        fixed: Retries of all routers in a window beside that.
        window_s: Length of the window in seconds.
        safety: Share of the allowance that is used.
    """

    ratio: float = 0.2
    fixed: float = 50.0
    window_s: float = 10.0
    safety: float = 0.75


class RetryShare:
    """One router's share of the retries that all routers may send to a service.

    Load pattern: servers fail or refuse all at once, and every request asks for
    another attempt. The fleet may send ``ratio`` retries for each request plus a
    fixed number in any window; each router takes its part of the fixed number by the
    routers that it knows, and earns the rest by its own requests.

    Args:
        settings: ``RetryShareSettings``.
        routers: Function that returns the number of routers that may be running.

    Examples:
        >>> share = RetryShare(RetryShareSettings(0.5, 8.0, safety=1.0), lambda: 4)
        >>> [share.try_spend(0.0) for _ in range(3)]
        [True, True, False]
        >>> share.record_request(0.0); share.record_request(0.0); share.try_spend(0.0)
        True
    """

    __slots__ = ("_earned", "_routers", "_settings", "_taken")

    def __init__(self, settings, routers):
        self._settings = settings
        self._routers = routers
        self._earned = deque()
        self._taken = deque()

    def record_request(self, now):
        """Counts a request."""
        self._forget(now)
        self._earned.append(now)

    def try_spend(self, now):
        """Takes one retry; returns whether there was one."""
        self._forget(now)
        settings = self._settings
        fixed = settings.fixed / max(1, self._routers())
        allowed = settings.ratio * len(self._earned) + fixed
        if len(self._taken) + 1 > settings.safety * allowed:
            return False
        self._taken.append(now)
        return True

    def _forget(self, now):
        begin = now - self._settings.window_s
        for times in (self._earned, self._taken):
            while times and times[0] < begin:
                times.popleft()


@RETRIES.add("by_route")
class RouteRetries:
    """Decides about the retries of one request by the rules of its route.

    An attempt that certainly did not run counts against the fleet's retries only; one
    that may have run counts against the servers that the route allows.

    Args:
        route: The ``Route``.
        share: The ``RetryShare`` of the service.
        deadline: Time of the caller's deadline.

    Attributes:
        may_have_run: Whether any attempt so far may have run.
    """

    __slots__ = ("_deadline", "_route", "_runs", "_sends", "_share", "may_have_run")

    def __init__(self, route, share, deadline):
        self._route = route
        self._share = share
        self._deadline = deadline
        self._runs = 0
        self._sends = 0
        self.may_have_run = False

    @property
    def attempts(self):
        """Attempts started so far."""
        return self._sends

    def start(self, now):
        """Counts the start of an attempt and returns its number, from 1."""
        if not self._sends:
            self._share.record_request(now)
        self._sends += 1
        return self._sends

    def may_retry(self, failure, now):
        """Tells whether another attempt may start.

        Args:
            failure: The ``AttemptFailure`` of the latest attempt; its code does not
                matter here.
            now: Present time in seconds.
        """
        if failure.ran != "no":
            self.may_have_run = True
            self._runs += 1
        if self.may_have_run and not self._route.is_repeatable:
            return False
        if self._runs >= self._route.max_attempts:
            return False
        if self._sends >= self._route.max_attempts + EXTRA_SENDS:
            return False
        if self._deadline - now < MIN_LEFT_S:
            return False
        return failure.may_have_arrived is False or self._share.try_spend(now)
