"""Refusals by rank: the most urgent requests of a gateway at its limit are kept.

Load pattern: interactive callers and background work meet at one gateway that cannot
serve both.
"""

import math

from pistachiowell.admission.overload import (
    OVERLOAD_POLICIES,
    FairShareOverload,
    fair_ceiling,
)


@OVERLOAD_POLICIES.add("ranked_share")
class RankedShareOverload(FairShareOverload):
    """Refuses the least urgent first, and within a rank the accounts that send most.

    Each rank keeps a minimum share, so that none is starved by more urgent ones.

    Examples:
        >>> from pistachiowell.admission.overload import OverloadSettings
        >>> policy = RankedShareOverload(OverloadSettings())
        >>> policy.wait_s("shop", 0.0, rank=2)
        0.0
    """

    __slots__ = ()

    def wait_s(self, account, now, rank=0):
        """Decides on a request that has just come; see ``OverloadPolicy``."""
        return super().wait_s((rank, account), now, rank)

    def expected_wait_s(self, account, now, rank=0):
        """Returns the range of the wait; see ``OverloadPolicy.expected_wait_s``."""
        return super().expected_wait_s((rank, account), now, rank)

    def _share_out(self, now):
        by_rank = {}
        for key, state in self._accounts.items():
            by_rank.setdefault(key[0], {})[key] = state.rate.per_s(now)
        demands = {rank: sum(rates.values()) for rank, rates in by_rank.items()}
        admitted = (1.0 - self.refused_share) * sum(demands.values())
        limits = rank_limits(demands, admitted, self._settings.min_rank_share)
        for rank, rates in by_rank.items():
            ceiling = fair_ceiling(list(rates.values()), limits[rank])
            self._set_shares(rates, ceiling)

    def _delay_s(self, state, rank):
        # The more urgent come back sooner, also where the longest delay applies.
        return super()._delay_s(state, rank) * (1 + rank) / (2 + rank)


def rank_limits(demands, admitted, min_share):
    """Returns the requests a second that each rank may have.

    Args:
        demands: Requests a second by rank; the lowest rank is the most urgent.
        admitted: Requests a second that are admitted in all.
        min_share: Share of these that each rank keeps if it has the demand.

    Returns:
        Mapping of rank to its limit; infinite where all of it is admitted.

    Examples:
        >>> rank_limits({0: 6.0, 1: 6.0, 2: 6.0}, 10.0, 0.1)
        {0: inf, 1: 3.0, 2: 1.0}
    """
    kept = {rank: min(need, min_share * admitted) for rank, need in demands.items()}
    left = max(0.0, admitted - sum(kept.values()))
    limits = {}
    for rank in sorted(demands):
        more = min(demands[rank] - kept[rank], left)
        left -= more
        is_whole = kept[rank] + more >= demands[rank]
        limits[rank] = math.inf if is_whole else kept[rank] + more
    return limits
