"""Second attempts beside first ones whose answers are slow (hedged requests).

Load pattern: most answers of a service come soon, and a few take many times as long, as
one server was held up for a moment. They set the latency that callers notice. Another
server would have answered long before.

The pattern to keep apart from it is overload: then all answers are slow, and second
attempts make them slower. So hedges are bounded to a share of the requests, each spends
a retry of the fleet, and they stop at the first signs of load.
"""

from dataclasses import dataclass
from enum import StrEnum

from pistachiowell.core.registry import Registry
from pistachiowell.routing.recent_times import RecentTimes
from pistachiowell.routing.shared_times import SharedTimes, add_to_slow_share

HEDGE_POLICIES = Registry("hedge policy")


class HedgeDenial(StrEnum):
    """Why no hedge is sent although the answer is slow."""

    budget = "budget"
    late = "late"
    load = "load"
    room = "room"


@dataclass(frozen=True, slots=True)
class HedgeSettings:
    """Settings of hedged requests.

    Attributes:
        share: Hedges allowed for each request that may be hedged; 0 for none.
        policy: Name of the policy in ``HEDGE_POLICIES``.
        quantile: Share of the answers that come before a hedge is due.
        min_samples: Number of recent answers from which on the quantile is used; with
            fewer, only one or two of them lie above it.
        window_s: Seconds for which an answer is recent.
        min_delay_s: Shortest delay of a hedge in seconds; shorter ones are the network
            and the event loop rather than the server.
        fixed_delay_s: Delay in seconds of the policy ``fixed_delay``.
        max_saved: Hedges that may be sent at once after a time without slow answers.
        max_slow_share: Share of the latest answers that are slow above which the
            service is overloaded.
        slow_gain: Weight of the latest answer in that share.
        refusal_pause_s: Seconds without hedges after a server of a service has refused
            a request.
        max_transit_s: Transit time of this process in seconds above which nothing is
            hedged; half of the one at which it begins to refuse requests.
        transit_gain: Weight of the latest transit time in its mean.
        max_load_per_slot: Load per slot above which a server gets no hedge.
        kept_retry_share: Share of the allowed retries that hedges leave.
        max_kinds: Number of kinds of requests above which the oldest is forgotten.
    """

    share: float = 0.0
    policy: str = "shared_quantile"
    quantile: float = 0.95
    min_samples: int = 50
    window_s: float = 60.0
    min_delay_s: float = 0.02
    fixed_delay_s: float = 0.1
    max_saved: float = 5.0
    max_slow_share: float = 0.25
    slow_gain: float = 0.02
    refusal_pause_s: float = 2.0
    max_transit_s: float = 0.065
    transit_gain: float = 0.2
    max_load_per_slot: float = 0.5
    kept_retry_share: float = 0.5
    max_kinds: int = 256


class _Kind:
    __slots__ = ("slow_share", "times")

    def __init__(self, window_s):
        self.slow_share = 0.0
        self.times = RecentTimes(window_s)


class HedgePolicy:
    """Base of the hedge policies; it learns, and bounds the hedges.

    Each request that may be hedged saves a part of a hedge, and each hedge spends a
    whole one, so the hedges of a process never exceed their share of its requests.

    Args:
        settings: ``HedgeSettings``.
    """

    __slots__ = ("_kinds", "_refused_at", "_saved", "_settings", "_transit_s")

    def __init__(self, settings):
        self._settings = settings
        self._kinds = {}
        self._refused_at = {}
        self._saved = 0.0
        self._transit_s = 0.0

    @property
    def shared(self):
        """The ``SharedTimes``; None if this policy shares no times."""
        return None

    def delay_s(self, kind, now):
        """Returns the seconds after which an answer is slow; None if that is unknown.

        Args:
            kind: Tuple of a service's name and a name for a kind of its requests.
            now: Present time in seconds.
        """
        raise NotImplementedError

    def record_request(self, kind):
        """Records a request that may be hedged; see ``delay_s``."""
        settings = self._settings
        self._saved = min(settings.max_saved, self._saved + settings.share)
        if kind not in self._kinds:
            if len(self._kinds) >= settings.max_kinds:
                del self._kinds[next(iter(self._kinds))]
            self._kinds[kind] = _Kind(settings.window_s)

    def record_slow(self, kind):
        """Records that no answer has come within the delay; see ``delay_s``."""
        state = self._kinds.get(kind)
        if state is not None:
            self._add_to_slow_share(state, slow=1)

    def record_answer(self, kind, time_s, now, *, was_slow):
        """Records the time to the answer.

        Args:
            kind: See ``delay_s``.
            time_s: Seconds from the first attempt to the answer. If the answer came
                from the hedge, the first attempt took longer; for quantiles up to that
                of the delay, this makes no difference.
            now: Present time in seconds.
            was_slow: Whether the delay had passed before.
        """
        state = self._kinds.get(kind)
        if state is not None:
            state.times.record(time_s, now)
            if not was_slow:
                self._add_to_slow_share(state, timely=1)

    def record_refusal(self, service, now):
        """Records that a server of a service refused a request, as it is full."""
        self._refused_at[service] = now

    def record_transit(self, transit_s, now):
        """Records a transit time of this process; see ``LoopWatch``."""
        del now
        self._transit_s += self._settings.transit_gain * (transit_s - self._transit_s)

    def denial(self, kind, left_s, now, *, refused_share=0.0):
        """Returns why no hedge may be sent now; None if it may.

        Args:
            kind: See ``delay_s``.
            left_s: Seconds to the caller's deadline.
            now: Present time in seconds.
            refused_share: Share of the requests that this process refuses at present.
        """
        delay_s = self.delay_s(kind, now)
        if delay_s is None or left_s < delay_s:
            return HedgeDenial.late
        if refused_share or self._is_loaded(kind, now):
            return HedgeDenial.load
        return HedgeDenial.budget if self._saved < 1.0 else None

    def try_spend(self, retry_share, now):
        """Spends a hedge and a retry; returns whether both were left.

        Args:
            retry_share: The ``RetryShare`` of the service.
            now: Present time in seconds.
        """
        kept_share = self._settings.kept_retry_share
        if self._saved < 1.0 or not retry_share.try_spend(now, kept_share):
            return False
        self._saved -= 1.0
        return True

    def _slow_share(self, kind, now):
        """Returns the share of the latest answers that were slow."""
        del now
        state = self._kinds.get(kind)
        return state.slow_share if state is not None else 0.0

    def _add_to_slow_share(self, state, slow=0, timely=0):
        state.slow_share = add_to_slow_share(
            state.slow_share, self._settings.slow_gain, slow, timely
        )

    def _is_loaded(self, kind, now):
        settings = self._settings
        refused_at = self._refused_at.get(kind[0], float("-inf"))
        return (
            self._transit_s > settings.max_transit_s
            or now - refused_at < settings.refusal_pause_s
            or self._slow_share(kind, now) > settings.max_slow_share
        )


@HEDGE_POLICIES.add("none")
class NoHedges(HedgePolicy):
    """Hedges nothing; the baseline."""

    __slots__ = ()

    def delay_s(self, kind, now):
        """Returns None; see ``HedgePolicy``."""
        del kind, now


@HEDGE_POLICIES.add("fixed_delay")
class FixedDelayHedges(HedgePolicy):
    """Hedges after the same delay, whatever the service usually takes."""

    __slots__ = ()

    def delay_s(self, kind, now):
        """Returns the delay of the settings; see ``HedgePolicy``."""
        del kind, now
        return self._settings.fixed_delay_s


@HEDGE_POLICIES.add("quantile")
class QuantileHedges(HedgePolicy):
    """Hedges after a high quantile of what this kind of request took of late.

    Examples:
        >>> hedges = QuantileHedges(HedgeSettings(share=0.1, min_samples=20))
        >>> kind = ("desk", "read")
        >>> for number in range(20):
        ...     hedges.record_request(kind)
        ...     hedges.record_answer(kind, 0.1, number / 10, was_slow=False)
        >>> 0.1 <= hedges.delay_s(kind, 2.0) <= 0.11
        True
        >>> hedges.denial(kind, 1.0, 2.0) is None, str(hedges.denial(kind, 0.05, 2.0))
        (True, 'late')
    """

    __slots__ = ()

    def delay_s(self, kind, now):
        """Returns the quantile of the recent answers; see ``HedgePolicy``."""
        settings, state = self._settings, self._kinds.get(kind)
        if state is None or state.times.recent_count(now) < settings.min_samples:
            return None
        return max(settings.min_delay_s, state.times.quantile_s(settings.quantile))


@HEDGE_POLICIES.add("shared_quantile")
class SharedQuantileHedges(QuantileHedges):
    """Hedges after the quantile of all gateways where this one has too few answers.

    A gateway with few answers finds an overload late, too, so what the others find slow
    counts as its own does.

    Args:
        settings: ``HedgeSettings``.

    See Also:
        ``pistachiowell.routing.shared_times``
    """

    __slots__ = ("_shared",)

    def __init__(self, settings):
        super().__init__(settings)
        self._shared = SharedTimes()

    @property
    def shared(self):
        """The ``SharedTimes``."""
        return self._shared

    def delay_s(self, kind, now):
        """Returns the own quantile, or else the shared one; see ``HedgePolicy``."""
        own_s = super().delay_s(kind, now)
        if own_s is not None:
            return own_s
        summary = self._shared.find(kind, now)
        if summary is None:
            return None
        return max(self._settings.min_delay_s, summary.delay_s)

    def record_slow(self, kind):
        """Records a slow answer, also for the others; see ``HedgePolicy``."""
        super().record_slow(kind)
        self._shared.record_slow(kind)

    def record_answer(self, kind, time_s, now, *, was_slow):
        """Records an answer, also for the others; see ``HedgePolicy``."""
        super().record_answer(kind, time_s, now, was_slow=was_slow)
        self._shared.record_answer(kind, time_s, was_slow=was_slow)

    def _slow_share(self, kind, now):
        summary = self._shared.find(kind, now)
        shared = summary.slow_share if summary is not None else 0.0
        return max(super()._slow_share(kind, now), shared)
