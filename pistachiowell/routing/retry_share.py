"""Each router's share of the retries of a service.

Load pattern: see ``retry``; the retries of all routers together are bounded.
"""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryShareSettings:
    """Settings of a ``RetryShare``.

    Attributes:
        ratio: Retries allowed for each request.
        fixed: Retries that all routers together may send in a window in addition.
        window_s: Length of the window in seconds.
        safety: Share of the allowance that a router uses.
        start_s: Seconds after its start for which a router uses only what ``safety``
            leaves of the fixed number: its earlier run, and routers that do not know of
            it yet, may use the rest.
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
    the number of routers that may be running, so the fleet keeps to its budget without
    messages between the routers.

    Args:
        settings: ``RetryShareSettings``.
        routers: Function that returns the number of routers that may be running.
        started_at: Time at which the router started in seconds.

    Examples:
        >>> share = RetryShare(RetryShareSettings(0.5, 8.0, safety=1.0), lambda: 4)
        >>> [share.try_spend(0.0) for _ in range(3)]
        [True, True, False]
        >>> share.record_request(0.0); share.record_request(0.0); share.try_spend(0.0)
        True
    """

    __slots__ = (
        "_requests_at",
        "_retries_at",
        "_routers",
        "_settings",
        "_started_at",
    )

    def __init__(self, settings, routers, started_at=float("-inf")):
        self._settings = settings
        self._started_at = started_at
        self._routers = routers
        self._requests_at = deque()
        self._retries_at = deque()

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

    def try_spend(self, now, kept_share=0.0, *, count=1):
        """Spends retries of the share; returns whether so many were left.

        Args:
            now: Present time in seconds.
            kept_share: Share of the allowance that is kept for others.
            count: Number of retries, all of which are spent or none.
        """
        if not self.has_left(now, kept_share, count=count):
            return False
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

    def has_left(self, now, kept_share=0.0, *, count=1):
        """Returns whether retries of the share are left; see ``try_spend``."""
        self._remove_before_window(now)
        settings = self._settings
        fixed = settings.fixed / max(1, self._routers())
        is_starting = now < self._started_at + settings.start_s
        fixed *= 1 - settings.safety if is_starting else settings.safety
        allowed = settings.safety * settings.ratio * len(self._requests_at) + fixed
        return len(self._retries_at) + count <= (1.0 - kept_share) * allowed

    def _remove_before_window(self, now):
        begin = now - self._settings.window_s
        for times in (self._requests_at, self._retries_at):
            while times and times[0] < begin:
                times.popleft()
