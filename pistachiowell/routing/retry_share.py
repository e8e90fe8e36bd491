"""One router's share of the retry budget of a service.

Load pattern: all servers fail while routers start again and callers move between them,
and each router keeps to its own share of what the fleet may send again.
"""

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass

# Part of a retry by which sums of parts may be too small.
ROUNDING = 1e-9


@dataclass(frozen=True, slots=True)
class RetryShareSettings:
    """Settings of a ``RetryShare``.

    Attributes:
        ratio: Retries allowed for each request.
        fixed: Retries that all routers together may send in a window in addition.
        window_s: Length of the window in seconds.
        safety: Share of the allowance that a router uses.
        start_s: Seconds after its start for which a router uses only what ``safety``
            leaves of the fixed number: routers that do not know of it yet may use the
            rest.
    """

    ratio: float = 0.2
    fixed: float = 50.0
    window_s: float = 10.0
    safety: float = 0.75
    start_s: float = 17.0


class RetryShare:
    """One router's share of the retry budget of a service.

    In any window all routers together may send ``ratio`` retries for each request plus
    a fixed number. Each router counts its own requests and divides the fixed number by
    the number of routers that share it, so the fleet keeps to its budget without
    messages between the routers.

    Callers may move to another router, whose requests then allow retries too, while the
    retries of the first one still count. So what a request allows lapses after some
    time, by which what ``safety`` leaves makes up for it.

    A router that has started does not know what an earlier run has sent. Until that
    has left the window, it uses nothing of the fixed number.

    Args:
        settings: ``RetryShareSettings``.
        routers: Function that returns the number of routers that share the fixed
            number; see ``RouterCount``.
        started_at: Time at which the router started in seconds.
        may_follow: Function that returns whether there may have been an earlier run.

    Examples:
        >>> share = RetryShare(RetryShareSettings(0.5, 8.0, safety=0.5), lambda: 4)
        >>> [share.try_spend(0.0) for _ in range(2)]
        [True, False]
        >>> for _ in range(4): share.record_request(0.0)
        >>> share.try_spend(0.0)
        True
    """

    __slots__ = (
        "_fixed_spent",
        "_may_follow",
        "_requests_at",
        "_retries_at",
        "_routers",
        "_saved",
        "_settings",
        "_started_at",
    )

    def __init__(
        self, settings, routers, started_at=float("-inf"), may_follow=lambda: True
    ):
        self._may_follow = may_follow
        self._settings = settings
        self._started_at = started_at
        self._routers = routers
        self._requests_at = deque()
        self._retries_at = deque()
        # Pairs of a time and of the part of a retry.
        self._fixed_spent = deque()
        self._saved = 0.0

    @property
    def requests(self):
        """Number of requests in the latest window."""
        return len(self._requests_at)

    @property
    def retries(self):
        """Number of retries in the latest window."""
        return len(self._retries_at)

    def record_request(self, now):
        """Records a request, which adds to the allowed retries."""
        self._remove_before_window(now)
        self._requests_at.append(now)
        self._saved += self._per_request

    def try_spend(self, now, kept_share=0.0, *, count=1):
        """Spends retries of the share; returns whether so many were left.

        Args:
            now: Present time in seconds.
            kept_share: Share of the allowance that is kept for others.
            count: Number of retries, all of which are spent or none.
        """
        if not self.has_left(now, kept_share, count=count):
            return False
        from_saved = min(count, self._saved)
        self._saved -= from_saved
        if from_saved < count:
            self._fixed_spent.append((now, count - from_saved))
        self._retries_at.extend([now] * count)
        return True

    def give_back(self, spent_at):
        """Takes back a retry that was not sent.

        Args:
            spent_at: Time at which it was spent in seconds.
        """
        # It may be too long ago to count.
        if spent_at in self._retries_at:
            self._retries_at.remove(spent_at)
            self._saved += 1.0

    def has_left(self, now, kept_share=0.0, *, count=1):
        """Returns whether retries of the share are left; see ``try_spend``."""
        self._remove_before_window(now)
        self._saved = min(self._saved, self._per_request * self._unlapsed_count(now))
        fixed = self._fixed(now)
        fixed_left = max(0.0, fixed - sum(part for _, part in self._fixed_spent))
        if self._saved + fixed_left < count - ROUNDING:
            return False
        allowed = self._per_request * len(self._requests_at) + fixed
        return len(self._retries_at) + count <= (1.0 - kept_share) * allowed + ROUNDING

    @property
    def _per_request(self):
        """Retries that this router takes for each request."""
        return self._settings.safety * self._settings.ratio

    def _unlapsed_count(self, now):
        """Returns the number of latest requests whose retries may still be sent."""
        settings = self._settings
        begin = now - settings.window_s * (1.0 / settings.safety - 1.0)
        return len(self._requests_at) - bisect_left(self._requests_at, begin)

    def _fixed(self, now):
        """Returns this router's part of the fixed number."""
        settings = self._settings
        age_s = now - self._started_at
        if age_s < settings.window_s and self._may_follow():
            return 0.0
        part = 1 - settings.safety if age_s < settings.start_s else settings.safety
        return part * settings.fixed / max(1, self._routers())

    def _remove_before_window(self, now):
        begin = now - self._settings.window_s
        for times in (self._requests_at, self._retries_at):
            while times and times[0] < begin:
                times.popleft()
        while self._fixed_spent and self._fixed_spent[0][0] < begin:
            self._fixed_spent.popleft()
