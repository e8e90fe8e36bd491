"""Policies that size the growth of a grant."""

import math
from dataclasses import dataclass

_POLICIES = {}

FREE_TOKENS_DIVISOR = 4
FIXED_GRANT_TOKENS = 10_000
PROPORTIONAL_SHARE = 0.35


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
        renew_after_s: Age in seconds from which a grant is replaced.
        close_idle_after_s: Time in seconds without a request after which grants are
            closed.
    """

    policy: str = "adaptive"
    horizon_s: float = 3600.0
    long_horizon_s: float = 0.0
    long_share: float = 0.05
    first_grant_requests: int = 16
    kept_requests: int = 0
    rate_window_s: float = 300.0
    renew_after_s: float = 300.0
    close_idle_after_s: float = math.inf


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
    left_share = free_tokens / max(credited_tokens, 1)
    bound = int(PROPORTIONAL_SHARE * free_tokens * left_share)
    missing = min(demand.target_tokens, bound) - demand.available_tokens
    return max(demand.need_tokens, missing)


@register_policy("fixed")
def _fixed(demand, free_tokens, credited_tokens):
    del free_tokens, credited_tokens
    return max(demand.need_tokens, FIXED_GRANT_TOKENS)


@register_policy("exact")
def _exact(demand, free_tokens, credited_tokens):
    del free_tokens, credited_tokens
    return demand.need_tokens
