"""Planned stop of a gateway: what it still begins, and how the rest ends.

Load pattern: callers keep sending over open connections to a gateway that has been told
to stop, and some of their requests would last longer than it may run.
"""

from contextlib import contextmanager

from pistachiowell.core.errors import Leaving, ServerFailed
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.stops.duration_bounds import DurationBounds

# The answers of the requests that are ended have to reach their callers.
ENDING_S = 0.4
RETRY_AFTER_S = 0.3

_log = part_logger("gateway")


class StoppedRequest(ServerFailed):
    """The gateway stopped while a server ran the request."""

    closes_connection = True


class StopRefusal(Leaving):
    """A request may last longer than the gateway still runs.

    Args:
        bound_s: Seconds that the request may last; None if nothing is begun any more.
        left_s: Seconds that are left for it.

    Attributes:
        fields: What the log says of it.
    """

    def __init__(self, bound_s, left_s):
        super().__init__(
            "The gateway stops before the request can end.",
            retry_after_s=RETRY_AFTER_S,
        )
        self.fields = {"bound_s": rounded(bound_s), "left_s": rounded(left_s)}


class PlannedStop:
    """Refuses what cannot end before the gateway stops, and ends what has not.

    A stream is begun only if the longest answer that its request allows fits, at the
    slow end of the recent paces, and a request that must not run twice only if its
    whole time limit does. During the notice, streams of which too little is known are
    taken for very slow, and requests that may run again and are no streams for short:
    their callers get a whole answer in any case. After it no stream is begun, and the
    time limit counts where too little is known.

    Args:
        metrics: The process's ``Metrics``.
        now: Function that returns the monotonic time in seconds.

    Attributes:
        bounds: The ``DurationBounds``.

    Examples:
        >>> from pistachiowell.core.metrics import Metrics
        >>> stop = PlannedStop(Metrics(), lambda: 0.0)
        >>> stop.has_begun
        False
    """

    __slots__ = (
        "_began_at",
        "_earlier",
        "_ends_at",
        "_has_ended",
        "_is_past_notice",
        "_metrics",
        "_now",
        "_refuses_all",
        "_scopes",
        "bounds",
    )

    def __init__(self, metrics, now):
        self._metrics = metrics
        self._now = now
        self.bounds = DurationBounds()
        self._began_at = None
        self._ends_at = None
        self._has_ended = False
        self._is_past_notice = False
        self._refuses_all = False
        self._scopes = set()
        self._earlier = frozenset()

    @property
    def has_begun(self):
        """Whether the gateway has been told to stop."""
        return self._ends_at is not None

    @property
    def has_ended(self):
        """Whether the requests in progress were ended."""
        return self._has_ended

    @property
    def in_progress(self):
        """Number of requests that have not ended."""
        return len(self._scopes)

    @property
    def has_earlier(self):
        """Whether a request is in progress that came before the end of the notice."""
        return not self._scopes.isdisjoint(self._earlier)

    @property
    def left_s(self):
        """Seconds until the requests in progress are ended; 0 once it is time."""
        return max(0.0, self._ends_at - self._now())

    def begin(self, ends_at):
        """Begins the stop.

        Args:
            ends_at: Time in seconds by which all requests will have ended.
        """
        self._began_at = self._now()
        self._ends_at = ends_at

    def end_notice(self):
        """Begins from now on no stream, and only what is known to fit."""
        self._is_past_notice = True
        self._earlier = frozenset(self._scopes)

    def refuse_all(self):
        """Refuses all requests from now on."""
        self._refuses_all = True

    def check(self, route, prompt, deadline, now):
        """Checks a request whose head has come, as ``check_time`` does.

        Raises:
            StopRefusal: It cannot end in time, or would prolong the stop.
        """
        if self._refuses_all or (self._is_past_notice and route.has_prompts):
            raise StopRefusal(None, self.left_s)
        self.check_time(route, prompt, deadline, now)

    def check_time(self, route, prompt, deadline, now):
        """Checks that a request can end before the gateway stops.

        Args:
            route: The ``Route``.
            prompt: The ``Prompt``; None without one.
            deadline: Time in seconds at which it has to have ended.
            now: Present time in seconds.

        Returns:
            Seconds that it may last; None if the stop has not begun.

        Raises:
            StopRefusal: It cannot.
        """
        if self._ends_at is None:
            return None
        if self._has_ended:
            raise StopRefusal(None, 0.0)
        limit_s = max(0.0, deadline - now)
        known_s, left_s = self._known_bound_s(route, prompt, now), self._ends_at - now
        bound_s = limit_s if known_s is None else min(known_s, limit_s)
        if bound_s > left_s:
            raise StopRefusal(bound_s, left_s)
        return bound_s

    def _known_bound_s(self, route, prompt, now):
        if not (route.has_prompts or route.is_idempotent):
            return None
        bound_s = self.bounds.bound_s(route, prompt, now)
        if bound_s is None and not self._is_past_notice:
            return self._assumed_bound_s(route, prompt)
        return bound_s

    def _assumed_bound_s(self, route, prompt):
        if not route.has_prompts:
            return 0.0
        return None if prompt is None else self.bounds.assumed_bound_s(prompt)

    @contextmanager
    def tracked(self, scope):
        """Lets the cancel scope of a request be cancelled at the end of the stop."""
        self._scopes.add(scope)
        try:
            yield
        finally:
            self._scopes.discard(scope)

    def end_requests(self):
        """Ends all requests in progress; ``error`` says how."""
        self._has_ended = True
        self._refuses_all = True
        for scope in list(self._scopes):
            scope.cancel()

    def end_of(self, request, usage):
        """Logs that a request was ended by the stop, and returns its error.

        Args:
            request: The ``GatewayRequest``.
            usage: Its ``Usage``.
        """
        _log.warning(
            "Request is ended by the stop.",
            request=request.id,
            begun_after_s=rounded(request.received_at - self._began_at),
            bound_s=rounded(request.bound_s),
            events=usage.events,
            may_have_run=usage.may_have_run,
        )
        return self.error(may_have_run=usage.may_have_run)

    def error(self, *, may_have_run):
        """Returns the error of a request that was ended.

        Args:
            may_have_run: Whether a server may have run it.
        """
        self._metrics.count("stop.ended")
        if may_have_run:
            return StoppedRequest("The gateway stopped before the answer had ended.")
        return Leaving(
            "The gateway stopped before a server got the request.",
            retry_after_s=RETRY_AFTER_S,
        )


def rounded(duration_s):
    """Returns a duration in seconds as logs say it; None stays None."""
    return None if duration_s is None else round(duration_s, 3)
