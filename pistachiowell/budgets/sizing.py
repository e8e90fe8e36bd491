"""Policies that size the growth of a grant."""

import math
from dataclasses import dataclass

_POLICIES = {}

FREE_TOKENS_DIVISOR = 4
FIXED_GRANT_TOKENS = 10_000


@dataclass(frozen=True, slots=True)
class SizingSettings:
    """Settings of the size and the lifetime of grants.

    Attributes:
        policy: Name of the policy.
        horizon_s: Time in seconds that a grant is to last at the recent rate of use.
        long_horizon_s: The same at the most, for an account with much left: its grants
            bridge outages of the store, and what a killed holder loses is a small part.
        long_share: Share of what is left of the budget that a grant may cover beyond
            ``horizon_s``.
        first_grant_requests: Size of a first grant, as a multiple of the tokens that
            waiting requests lack.
        kept_requests: Requests of the size of the largest recent one that a grant is to
            cover at least; an account with few requests can send some in an outage of
            the store, too.
        rate_window_s: Window in seconds over which the rate of use is measured.
        first_rate_s: Least time in seconds over which the rate of an account is
            measured whose first use is more recent than ``rate_window_s``; 0 to measure
            over the whole window, which takes the rate for too low at first.
        renew_after_s: Age in seconds from which a grant is replaced.
        close_idle_after_s: Time in seconds without a request after which grants are
            closed.
        free_share: Share of the free tokens that a proportional grant may cover while
            nothing of the budget is spent.
        least_horizon_s: Time in seconds that a growth is to last, however little is
            left of the budget; otherwise each request near the end costs a write.
        refill_share: Share of the target below which a grant is refilled.
        refill_together_share: The same for the other accounts of a page that is written
            anyway, so that its accounts are refilled by one write and not by one each.
        return_share: Multiple of the target above which idle tokens are returned.
    """

    policy: str = "adaptive"
    horizon_s: float = 3600.0
    long_horizon_s: float = 0.0
    long_share: float = 0.05
    first_grant_requests: int = 16
    kept_requests: int = 0
    rate_window_s: float = 300.0
    first_rate_s: float = 0.0
    renew_after_s: float = 300.0
    close_idle_after_s: float = math.inf
    free_share: float = 0.35
    least_horizon_s: float = 0.0
    refill_share: float = 0.5
    refill_together_share: float = 0.9
    return_share: float = 4.0


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one holder for one account.

    Attributes:
        need_tokens: Tokens of all waiting requests; 0 if they fit. What is available
            is not subtracted: later requests may reserve it before the grant grows.
        smallest_need_tokens: Tokens that the smallest waiting request lacks.
        rate_tokens_per_s: Recent rate of use.
        available_tokens: Unreserved tokens of one grant: of the one that is to grow, or
            of the one with the most left.
        sizing: The ``SizingSettings``.
        free_tokens: Tokens of the budget that were free when its page was last read.
        request_tokens: Tokens of the largest recent request.
        credited_tokens: Tokens paid for since the account began.

    Examples:
        >>> sizing = SizingSettings(horizon_s=6.0, long_horizon_s=24.0)
        >>> lefts = (0, 6_000, 20_000, 1_000_000)
        >>> [Demand(0, 0, 100.0, 0, sizing, left).horizon_s for left in lefts]
        [6.0, 6.0, 10.0, 24.0]
    """

    need_tokens: int = 0
    smallest_need_tokens: int = 0
    rate_tokens_per_s: float = 0.0
    available_tokens: int = 0
    sizing: SizingSettings = SizingSettings()
    free_tokens: int = 0
    request_tokens: int = 0
    credited_tokens: int = 0

    @property
    def horizon_s(self):
        """Seconds of the recent use that the holder wants to be able to cover."""
        sizing = self.sizing
        left_s = self.free_tokens / max(self.rate_tokens_per_s, 1.0)
        long_s = min(sizing.long_horizon_s, sizing.long_share * left_s)
        return max(sizing.horizon_s, long_s)

    @property
    def target_tokens(self):
        """Available tokens that the holder aims at."""
        forecast = int(self.rate_tokens_per_s * self.horizon_s)
        first = self.sizing.first_grant_requests * self.need_tokens
        return max(forecast, first, self.sizing.kept_requests * self.request_tokens)


def register_policy(name):
    """Registers a sizing policy.

    Args:
        name: Name of the policy.

    Returns:
        A function decorator.
    """

    def decorate(function):
        _POLICIES[name] = function
        return function

    return decorate


def wanted_tokens(policy, demand):
    """Returns the available tokens that a policy aims at out of what is left.

    Args:
        policy: Name of a registered policy.
        demand: A ``Demand``.

    Examples:
        >>> demand = Demand(rate_tokens_per_s=10.0, free_tokens=100)
        >>> wanted_tokens("adaptive", demand), wanted_tokens("proportional", demand)
        (36000, 35)
    """
    if policy == "proportional":
        return _proportional_target(demand, demand.free_tokens, demand.credited_tokens)
    return demand.target_tokens


def grant_growth(policy, demand, free_tokens, credited_tokens=0):
    """Computes by how much a grant grows.

    Args:
        policy: Name of a registered policy.
        demand: A ``Demand``.
        free_tokens: Tokens of the budget that are neither charged nor granted.
        credited_tokens: Tokens paid for since the account began.

    Returns:
        Tokens, at most ``free_tokens``; 0 if not even the smallest request fits.

    Examples:
        >>> grant_growth("adaptive", Demand(100, 100), 1_000_000)
        1600
        >>> grant_growth("adaptive", Demand(100, 100), 150)
        100
        >>> grant_growth("adaptive", Demand(100, 100), 50)
        0
    """
    if free_tokens < max(demand.smallest_need_tokens, 1):
        return 0
    wanted = _POLICIES[policy](demand, free_tokens, credited_tokens)
    return min(free_tokens, max(wanted, 0))


@register_policy("adaptive")
def _adaptive(demand, free_tokens, credited_tokens):
    del credited_tokens
    missing = demand.target_tokens - demand.available_tokens
    share = free_tokens // FREE_TOKENS_DIVISOR
    return max(demand.need_tokens, min(missing, share))


@register_policy("proportional")
def _proportional(demand, free_tokens, credited_tokens):
    """Limits the target in proportion to the share of the budget that is left.

    Suits holders that are killed with unspent tokens and a store with outages. While
    much of the budget is left, a large grant bridges an outage, and if its holder is
    killed enough remains. Near the end the lost tokens would be those that callers
    still need, so grants are small.
    """
    target = _proportional_target(demand, free_tokens, credited_tokens)
    return max(demand.need_tokens, target - demand.available_tokens)


def _proportional_target(demand, free_tokens, credited_tokens):
    left_share = free_tokens / max(credited_tokens, free_tokens, 1)
    bound = int(demand.sizing.free_share * free_tokens * left_share)
    least = demand.need_tokens
    least += int(demand.rate_tokens_per_s * demand.sizing.least_horizon_s)
    return min(demand.target_tokens, max(bound, least))


@register_policy("fixed")
def _fixed(demand, free_tokens, credited_tokens):
    del free_tokens, credited_tokens
    return max(demand.need_tokens, FIXED_GRANT_TOKENS)


@register_policy("exact")
def _exact(demand, free_tokens, credited_tokens):
    del free_tokens, credited_tokens
    return demand.need_tokens
