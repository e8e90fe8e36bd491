"""Concurrency limits: how many requests the backend server may run at once."""

from pistachiowell.admission.ticket import Outcome
from pistachiowell.core.registry import Registry

LIMITS = Registry("concurrency limit")

OVERLOAD_FACTOR = 0.7
CRASH_FACTOR = 0.75
CRASH_MIN_SHARE = 0.5
CRASH_MEMORY_S = 120.0
COOLDOWN_S = 1.0
RECOVERY_PER_ROUND = 1.0
SLOW_FACTOR = 4.0
BASELINE_GAIN = 0.02
RECENT_GAIN = 0.2
MIN_SAMPLES = 20


@LIMITS.add("unbounded")
class Unbounded:
    """Lets everything run at once; the naive baseline."""

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
class Fixed:
    """Keeps the configured number."""

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
class Adaptive:
    """Falls by a factor on signs of overload and rises by one per full round.

    Signs are the server's own refusals, crashes, and service times that are
    ``SLOW_FACTOR`` above their slow average. The limit stays below the load of a
    crash for ``CRASH_MEMORY_S``; a crash at little load is no sign. It never passes
    the configured number, as some servers give no sign before they fall over.

    Args:
        settings: ``AdmissionSettings``.

    Examples:
        >>> from pistachiowell.admission.settings import AdmissionSettings
        >>> limit = Adaptive(AdmissionSettings(slots=10))
        >>> limit.observe(Outcome.overloaded, 0.1, 10, 1.0)
        >>> limit.slots
        7
    """

    __slots__ = (
        "_baseline_s",
        "_crash_ceiling",
        "_crash_until",
        "_cut_at",
        "_limit",
        "_max",
        "_recent_s",
        "_samples",
    )

    def __init__(self, settings):
        self._max = float(settings.slots)
        self._limit = self._max
        self._cut_at = float("-inf")
        self._crash_ceiling = self._max
        self._crash_until = float("-inf")
        self._baseline_s = 0.0
        self._recent_s = 0.0
        self._samples = 0

    @property
    def slots(self):
        """Requests that may run at once."""
        return max(1, int(self._limit + 1e-9))

    def observe(self, outcome, service_s, running, now):
        """Learns from the end of a request.

        Args:
            outcome: An ``Outcome``.
            service_s: Seconds from start to end.
            running: Requests that ran when it ended, itself included.
            now: Present time in seconds.
        """
        if outcome is Outcome.crashed:
            self._observe_crash(running, now)
        elif outcome is Outcome.overloaded:
            self._cut(OVERLOAD_FACTOR, now)
        elif outcome is Outcome.ok:
            self._observe_time(service_s, running, now)

    def _observe_crash(self, running, now):
        # One crash ends all requests in progress; the first of them counts.
        if now - self._cut_at < COOLDOWN_S or running < CRASH_MIN_SHARE * self._max:
            return
        self._crash_ceiling = max(1.0, running * CRASH_FACTOR)
        self._crash_until = now + CRASH_MEMORY_S
        self._cut(CRASH_FACTOR, now)

    def _observe_time(self, service_s, running, now):
        self._samples += 1
        if self._samples == 1:
            self._baseline_s = self._recent_s = service_s
        self._recent_s += RECENT_GAIN * (service_s - self._recent_s)
        slow = self._recent_s > SLOW_FACTOR * self._baseline_s
        if slow and self._samples > MIN_SAMPLES:
            self._cut(OVERLOAD_FACTOR, now)
            self._recent_s = self._baseline_s
        elif running >= self.slots:
            self._limit += RECOVERY_PER_ROUND / max(self._limit, 1.0)
        if not slow:
            self._baseline_s += BASELINE_GAIN * (service_s - self._baseline_s)
        self._limit = min(self._limit, self._ceiling(now))

    def _ceiling(self, now):
        return self._crash_ceiling if now < self._crash_until else self._max

    def _cut(self, factor, now):
        if now - self._cut_at >= COOLDOWN_S:
            self._cut_at = now
            self._limit = max(1.0, self._limit * factor)
        self._limit = min(self._limit, self._ceiling(now))
