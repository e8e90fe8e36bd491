"""Admission by what a process itself can serve.

Load pattern: one client account keeps to one VM, and sends many times what the process
there can handle, while others send as usual. Whatever is begun delays all that is in
progress, until each request ends too late.

The sign of overload is the transit time: how long the event loop takes for so many
turns as a request needs. Each request in progress adds its step to each turn, so the
time grows as long as more is begun than is completed. A controller refuses the share of
the requests that keeps it at its target, at once, so that they may be sent elsewhere.
"""

import math
from dataclasses import dataclass

from pistachiowell.core.registry import Registry

OVERLOAD_POLICIES = Registry("overload policy")

# Longest time between two transit times that counts as such.
MAX_STEP_S = 0.5


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """Settings of the admission by lateness.

    Attributes:
        policy: Name of the policy in ``OVERLOAD_POLICIES``.
        target_s: Transit time in seconds that is kept while requests are refused.
        transit_window_s: Time constant of its mean in seconds.
        refused_per_s: Share of the requests refused for each second of transit time
            above the target.
        refused_per_s2: The same for each second that it lasts.
        min_lasting: Share that a lasting excess has to reach before anything is
            refused, so that a short burst is served late rather than refused.
        max_refused: Largest share of the requests that is refused.
        rate_window_s: Time constant of the rates of requests in seconds.
        min_retry_after_s: Shortest delay told with a refusal in seconds.
        max_retry_after_s: Longest such delay in seconds.
        elsewhere_retry_after_s: Delay told while other gateways have room, as the next
            attempt reaches another one.
        retry_after_spread: Largest part of a delay that is added at random, so that
            those refused together do not come back together.
        min_rank_share: Share of the admitted requests that each rank keeps if it has
            the demand, in policies by rank.
        max_accounts: Number of accounts above which idle ones are forgotten.
    """

    policy: str = "fair_share"
    target_s: float = 0.13
    transit_window_s: float = 0.05
    refused_per_s: float = 2.0
    refused_per_s2: float = 5.0
    min_lasting: float = 0.1
    max_refused: float = 0.95
    rate_window_s: float = 2.0
    min_retry_after_s: float = 0.25
    max_retry_after_s: float = 2.0
    elsewhere_retry_after_s: float = 0.05
    retry_after_spread: float = 0.5
    min_rank_share: float = 0.05
    max_accounts: int = 4_096


class EventRate:
    """Rate of events with exponential forgetting.

    Args:
        window_s: Time constant in seconds.

    Examples:
        >>> rate = EventRate(1.0)
        >>> for number in range(500):
        ...     rate.add(number / 100)
        >>> round(rate.per_s(5.0), -1)
        100.0
    """

    __slots__ = ("_at", "_count", "_window_s")

    def __init__(self, window_s):
        self._window_s = window_s
        self._count = 0.0
        self._at = 0.0

    def add(self, now):
        """Records one event."""
        self._count = self._decayed(now) + 1.0
        self._at = now

    def per_s(self, now):
        """Returns the events a second."""
        return self._decayed(now) / self._window_s

    def _decayed(self, now):
        passed_s = max(0.0, now - self._at)
        return self._count * math.exp(-passed_s / self._window_s)


class OverloadPolicy:
    """Base of the policies; admits all requests.

    Args:
        settings: ``OverloadSettings``.
        peers: What is known of the other gateways; None to take them for full.
        rng: A ``random.Random``; None for delays that are not spread.
    """

    __slots__ = ("_peers", "_rng", "_settings")

    def __init__(self, settings, peers=None, rng=None):
        self._settings = settings
        self._peers = peers
        self._rng = rng

    @property
    def refused_share(self):
        """Share of the requests that is refused at present."""
        return 0.0

    @property
    def is_for_link(self):
        """Whether requests are refused for the network link at present."""
        return False

    def record_transit(self, transit_s, now):
        """Records a transit time; both arguments are in seconds."""

    def record_link(self, refused_share, has_peer_room, now):
        """Records what to refuse for the network link.

        Args:
            refused_share: Share of the requests.
            has_peer_room: Whether others can take these requests.
            now: Present time in seconds.
        """

    def wait_s(self, account, now, rank=0):
        """Decides on a request that has just come.

        Args:
            account: Name of its client account.
            now: Present time in seconds.
            rank: Rank of the request; 0 is the most urgent.

        Returns:
            0 if it is admitted, else the seconds after which it may be sent again.
        """
        del account, now, rank
        return 0.0

    def expected_wait_s(self, account, now, rank=0):
        """Returns the least and the most that ``wait_s`` would return.

        The request does not count, and nothing changes.
        """
        del account, now, rank
        return 0.0, 0.0


@OVERLOAD_POLICIES.add("none")
class NoOverloadPolicy(OverloadPolicy):
    """Admits all requests; the baseline."""

    __slots__ = ()


class _Account:
    __slots__ = ("credit", "rate", "share")

    def __init__(self, window_s):
        self.rate = EventRate(window_s)
        self.share = 1.0
        self.credit = 0.0


@OVERLOAD_POLICIES.add("fair_share")
class FairShareOverload(OverloadPolicy):
    """Refuses a share that follows the transit time, of the accounts that send most.

    A proportional and integral controller sets the share. All accounts get the same
    rate at most, so that one that sends many times its usual takes nothing from the
    others.

    Examples:
        >>> policy = FairShareOverload(OverloadSettings())
        >>> policy.wait_s("shop", 0.0)
        0.0
        >>> policy.refused_share
        0.0

    References:
        RFC 8033, Proportional Integral Controller Enhanced (PIE).
    """

    __slots__ = (
        "_accounts",
        "_has_link_room",
        "_lasting_share",
        "_late_share",
        "_link_share",
        "_recorded_at",
        "_refusals",
        "_transit_s",
    )

    def __init__(self, settings, peers=None, rng=None):
        super().__init__(settings, peers, rng)
        self._refusals = EventRate(settings.rate_window_s)
        self._accounts = {}
        self._transit_s = 0.0
        self._recorded_at = 0.0
        self._lasting_share = 0.0
        self._late_share = 0.0
        self._link_share = 0.0
        self._has_link_room = False

    @property
    def refused_share(self):
        """Share of the requests that is refused at present."""
        return max(self._late_share, self._link_share)

    @property
    def is_for_link(self):
        """Whether requests are refused for the network link at present."""
        return self._link_share > self._late_share

    def record_link(self, refused_share, has_peer_room, now):
        """Records what to refuse for the network link; see ``OverloadPolicy``."""
        self._link_share, self._has_link_room = refused_share, has_peer_room
        if self.is_for_link:
            self._share_out(now)

    def record_transit(self, transit_s, now):
        """Records a transit time and adjusts the share; see ``OverloadPolicy``."""
        passed_s = min(MAX_STEP_S, max(0.0, now - self._recorded_at))
        self._recorded_at = now
        gain = min(1.0, passed_s / self._settings.transit_window_s)
        self._transit_s += gain * (transit_s - self._transit_s)
        self._adjust(now, passed_s)

    def wait_s(self, account, now, rank=0):
        """Decides on a request that has just come; see ``OverloadPolicy``."""
        state = self._accounts.get(account)
        if state is None:
            self._forget_idle_accounts(now)
            state = self._accounts[account] = _Account(self._settings.rate_window_s)
        state.rate.add(now)
        if not self.refused_share:
            return 0.0
        # Spread evenly: each request adds its share, and a whole one admits.
        state.credit += state.share
        if state.credit >= 1.0:
            state.credit -= 1.0
            return 0.0
        return self._retry_after_s(state, now, rank)

    def expected_wait_s(self, account, now, rank=0):
        """Returns the range of the wait; see ``OverloadPolicy.expected_wait_s``."""
        state = self._accounts.get(account)
        # An account that is new here is admitted once.
        if state is None or not self.refused_share:
            return 0.0, 0.0
        if state.credit + state.share >= 1.0:
            return 0.0, 0.0
        settings = self._settings
        delay_s = self._delay_s(state, rank)
        if self._would_peers_have_room(now):
            delay_s = settings.elsewhere_retry_after_s
        spread = settings.retry_after_spread if self._rng is not None else 0.0
        return delay_s, delay_s * (1.0 + spread)

    def _forget_idle_accounts(self, now):
        settings = self._settings
        if len(self._accounts) >= settings.max_accounts:
            self._accounts = {
                name: state
                for name, state in self._accounts.items()
                if state.rate.per_s(now) * settings.rate_window_s >= 1.0
            }

    def _retry_after_s(self, state, now, rank):
        settings = self._settings
        self._refusals.add(now)
        spread = 1.0
        if self._rng is not None:
            spread += settings.retry_after_spread * self._rng.random()
        if self._have_peers_room(now):
            return spread * settings.elsewhere_retry_after_s
        return spread * self._delay_s(state, rank)

    def _delay_s(self, state, rank):
        """Returns the seconds after which the excess may have ended."""
        del rank
        settings = self._settings
        excess = 1.0 / max(state.share, 0.01) - 1.0
        return min(settings.max_retry_after_s, settings.min_retry_after_s + excess)

    def _have_peers_room(self, now):
        """Returns whether others can take all that is refused here."""
        if self._peers is None:
            return False
        if self.is_for_link:
            return self._has_link_room
        return self._refusals.per_s(now) < self._peers.room_per_s(now)

    def _would_peers_have_room(self, now):
        """Returns what ``_have_peers_room`` would after one more refusal."""
        if self._peers is None:
            return False
        if self.is_for_link:
            return self._has_link_room
        refused_per_s = self._refusals.per_s(now) + 1.0 / self._settings.rate_window_s
        return refused_per_s < self._peers.expected_room_per_s(now)

    def _adjust(self, now, passed_s):
        settings = self._settings
        excess_s = self._transit_s - settings.target_s
        lasting = self._lasting_share + settings.refused_per_s2 * excess_s * passed_s
        self._lasting_share = min(settings.max_refused, max(0.0, lasting))
        share = 0.0
        if self._lasting_share > settings.min_lasting:
            share = self._lasting_share + settings.refused_per_s * excess_s
        self._late_share = min(settings.max_refused, max(0.0, share))
        if self._late_share and not self.is_for_link:
            self._share_out(now)

    def _share_out(self, now):
        rates = {name: state.rate.per_s(now) for name, state in self._accounts.items()}
        admitted = (1.0 - self.refused_share) * sum(rates.values())
        self._set_shares(rates, fair_ceiling(list(rates.values()), admitted))

    def _set_shares(self, rates, ceiling):
        for name, rate in rates.items():
            self._accounts[name].share = min(1.0, ceiling / rate) if rate else 1.0


def fair_ceiling(rates, limit):
    """Returns the rate that no account may exceed, so that all keep to a limit.

    Args:
        rates: Rates of the accounts.
        limit: Limit of their sum.

    Examples:
        >>> fair_ceiling([1.0, 2.0, 9.0], 8.0)
        5.0
        >>> fair_ceiling([1.0, 2.0], 8.0)
        inf
    """
    left = limit
    for number, rate in enumerate(sorted(rates)):
        ceiling = left / (len(rates) - number)
        if rate > ceiling:
            return ceiling
        left -= rate
    return math.inf
