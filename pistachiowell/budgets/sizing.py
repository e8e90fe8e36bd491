"""Policies that size the growth of a grant."""

import math
from dataclasses import dataclass

_POLICIES = {}

FREE_SHARE = 4
FIXED_GRANT_TOKENS = 10_000
PROPORTIONAL_SHARE = 0.35


@dataclass(frozen=True, slots=True)
class SizingSettings:
    """Settings of the size of grants.

    Attributes:
        policy: Name of the policy.
        horizon_s: Seconds of the recent demand that a grant shall last.
        first_grant_requests: Size of a first grant in requests like those that wait.
        rate_window_s: Window of the recent demand in seconds.
        renew_after_s: Age above which a grant is replaced.
        close_idle_after_s: Time without a request after which grants are closed.
    """

    policy: str = "adaptive"
    horizon_s: float = 3600.0
    first_grant_requests: int = 16
    rate_window_s: float = 300.0
    renew_after_s: float = 300.0
    close_idle_after_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Demand:
    """What a holder knows about its demand for one account.

    Attributes:
        need_tokens: Missing for all requests that wait.
        smallest_need_tokens: Missing for the smallest request that waits.
        rate_tokens_per_s: Recent use.
        available_tokens: Unreserved tokens of the holder's grant.
        sizing: The ``SizingSettings``.
    """

    need_tokens: int = 0
    smallest_need_tokens: int = 0
    rate_tokens_per_s: float = 0.0
    available_tokens: int = 0
    sizing: SizingSettings = SizingSettings()

    @property
    def target_tokens(self):
        """Available tokens that the holder would like to have."""
        forecast = int(self.rate_tokens_per_s * self.sizing.horizon_s)
        return max(forecast, self.sizing.first_grant_requests * self.need_tokens)


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
    """Decides by how much a grant grows.

    Args:
        policy: Name of a registered policy.
        demand: A ``Demand``.
        free_tokens: Tokens of the budget that no grant holds.
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
    share = free_tokens // FREE_SHARE
    return max(demand.need_tokens, min(missing, share))


@register_policy("proportional")
def _proportional(demand, free_tokens, credited_tokens):
    """Holds less of a budget the less of it is left.

    Load pattern: holders are killed with what they have not spent, and the store is
    away now and then. Early on a large grant bridges an outage and its loss leaves
    enough; near the end the loss would be what callers still need.
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
