"""Concurrency limits: how many requests the backend server may run at once.

A server that runs too many requests at once answers slowly, refuses or crashes. A
limit that adapts to these signs keeps it working; the excess waits or is refused.
"""

from pistachiowell.admission.ticket import Outcome
from pistachiowell.core.registry import Registry

LIMITS = Registry("concurrency limit")

OVERLOAD_DECREASE_FACTOR = 0.7
CRASH_DECREASE_FACTOR = 0.75
CRASH_MIN_LOAD_SHARE = 0.5
CRASH_CEILING_S = 120.0
MIN_DECREASE_INTERVAL_S = 1.0
INCREASE_PER_ROUND = 1.0
SLOW_FACTOR = 4.0
BASELINE_EWMA_GAIN = 0.02
RECENT_EWMA_GAIN = 0.2
MIN_SLOW_SAMPLES = 20


@LIMITS.add("unbounded")
class UnboundedLimit:
    """Admits all requests at once; the baseline without a limit."""

    __slots__ = ()

    def __init__(self, settings):
        del settings

    @property
    def slots(self):
        """Requests that may run at once."""
        return 1_000_000

    def observe(self, outcome, service_s, running, now):
        """Ignores the outcome."""


@LIMITS.add("fixed")
class FixedLimit:
    """Keeps the limit at the configured number."""

    __slots__ = ("_slots",)

    def __init__(self, settings):
        self._slots = settings.slots

    @property
    def slots(self):
        """Requests that may run at once."""
        return self._slots

    def observe(self, outcome, service_s, running, now):
        """Ignores the outcome."""


@LIMITS.add("adaptive")
class AdaptiveLimit:
    """Decreases the limit on overload and increases it slowly (AIMD).

    Signs of overload are refusals by the server, crashes, and service times that exceed
    ``SLOW_FACTOR`` times their long-term average. Each sign multiplies the limit by a
    factor; each round of requests at the full limit adds one. After a crash the limit
    stays below the load at the crash for ``CRASH_CEILING_S``; a crash at low load is
    not a sign of overload. The limit never exceeds the configured number, as some
    servers show no sign of overload before they crash.

    Args:
        settings: ``AdmissionSettings``.

    Examples:
        >>> from pistachiowell.admission.settings import AdmissionSettings
        >>> limit = AdaptiveLimit(AdmissionSettings(slots=10))
        >>> limit.observe(Outcome.overloaded, 0.1, 10, 1.0)
        >>> limit.slots
        7
    """

    __slots__ = (
        "_baseline_s",
        "_crash_ceiling",
        "_crash_ceiling_until",
        "_decreased_at",
        "_limit",
        "_max_slots",
        "_recent_s",
        "_samples",
    )

    def __init__(self, settings):
        self._max_slots = float(settings.slots)
        self._limit = self._max_slots
        self._decreased_at = float("-inf")
        self._crash_ceiling = self._max_slots
        self._crash_ceiling_until = float("-inf")
        self._baseline_s = 0.0
        self._recent_s = 0.0
        self._samples = 0

    @property
    def slots(self):
        """Requests that may run at once."""
        return max(1, int(self._limit + 1e-9))

    def observe(self, outcome, service_s, running, now):
        """Adapts the limit to the end of a request.

        Args:
            outcome: An ``Outcome``.
            service_s: Seconds from start to end for each unit of cost.
            running: Number of requests that ran when it ended, itself included.
            now: Present time in seconds.
        """
        if outcome is Outcome.crashed:
            self._observe_crash(running, now)
        elif outcome is Outcome.overloaded:
            self._decrease(OVERLOAD_DECREASE_FACTOR, now)
        elif outcome is Outcome.ok:
            self._observe_service_time(service_s, running, now)

    def _observe_crash(self, running, now):
        # A crash ends all requests in progress; only the first end counts.
        if (
            now - self._decreased_at < MIN_DECREASE_INTERVAL_S
            or running < CRASH_MIN_LOAD_SHARE * self._max_slots
        ):
            return
        self._crash_ceiling = max(1.0, running * CRASH_DECREASE_FACTOR)
        self._crash_ceiling_until = now + CRASH_CEILING_S
        self._decrease(CRASH_DECREASE_FACTOR, now)

    def _observe_service_time(self, service_s, running, now):
        self._samples += 1
        if self._samples == 1:
            self._baseline_s = self._recent_s = service_s
        self._recent_s += RECENT_EWMA_GAIN * (service_s - self._recent_s)
        slow = self._recent_s > SLOW_FACTOR * self._baseline_s
        if slow and self._samples > MIN_SLOW_SAMPLES:
            self._decrease(OVERLOAD_DECREASE_FACTOR, now)
            self._recent_s = self._baseline_s
        elif running >= self.slots:
            self._limit += INCREASE_PER_ROUND / max(self._limit, 1.0)
        if not slow:
            self._baseline_s += BASELINE_EWMA_GAIN * (service_s - self._baseline_s)
        self._limit = min(self._limit, self._ceiling(now))

    def _ceiling(self, now):
        return (
            self._crash_ceiling if now < self._crash_ceiling_until else self._max_slots
        )

    def _decrease(self, factor, now):
        if now - self._decreased_at >= MIN_DECREASE_INTERVAL_S:
            self._decreased_at = now
            self._limit = max(1.0, self._limit * factor)
        self._limit = min(self._limit, self._ceiling(now))
