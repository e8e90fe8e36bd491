"""How large the grants of a holder are to be."""

from pistachiowell.budgets.page import FundGrant
from pistachiowell.budgets.sizing import wanted_tokens

RECALL_HOLD_S = 2.0


class GrantGrowth:
    """Decides which grants of one holder grow, and which are replaced or returned.

    Args:
        incarnation: Incarnation of the holder.
        policy: Name of the sizing policy.
        make_id: Function that makes a grant id.
        sizing: ``SizingSettings``; ``policy`` takes precedence over its own.
    """

    __slots__ = (
        "_incarnation",
        "_make_id",
        "_opening",
        "_policy",
        "_recalled_at",
        "_sizing",
    )

    def __init__(self, incarnation, policy, make_id, sizing):
        self._incarnation = incarnation
        self._policy = policy
        self._make_id = make_id
        self._sizing = sizing
        self._opening = {}
        self._recalled_at = {}

    def record_recall(self, account, now):
        """Lets the grants of an account grow only by what waits, for ``RECALL_HOLD_S``.

        Args:
            account: Client account.
            now: Time in seconds.
        """
        self._recalled_at[account] = now

    def is_opening(self, account, grant_id):
        """Returns whether a grant is the one that was last planned to be opened."""
        return self._opening.get(account) == grant_id

    def record_opened(self, account):
        """Records that the planned grant of an account is open."""
        del self._opening[account]

    def plan(self, ledgers, version, now):
        """Plans the growth of the grants of one page.

        Args:
            ledgers: ``AccountLedger`` by client account.
            version: Version of the page as last read.
            now: Time in seconds.

        Returns:
            A list of ``FundGrant``; one that is due lets others grow along with it.
        """
        is_due = any(
            ledger.can_grow(now) or self._is_low(ledger, now, self._sizing.refill_share)
            for ledger in ledgers.values()
        )
        share = self._sizing.refill_together_share
        return [
            self._plan_fund(account, ledger, version, now)
            for account, ledger in ledgers.items()
            if ledger.demand(now).need_tokens
            or (is_due and self._is_low(ledger, now, share))
        ]

    def needs_change(self, ledger, now):
        """Returns whether grants of an ``AccountLedger`` are to grow or to shrink."""
        if ledger.demand(now).need_tokens:
            return True
        return self._is_low(ledger, now, self._sizing.refill_share) or any(
            grant.ceiling is not None or grant.renewing or grant.draining
            for grant in ledger.grants.values()
        )

    def retire_idle(self, ledger, now):
        """Marks the idle grants of an ``AccountLedger``.

        Available tokens above ``return_share`` times the target are returned down to
        the target. A grant older than ``renew_after_s`` is replaced: after an
        agent crash, grants opened before it cannot be closed by recovery, and short
        lives keep these few. Without a request for ``close_idle_after_s`` the grants
        are closed, as another holder may have the demand now.

        Args:
            ledger: The ``AccountLedger``.
            now: Time in seconds.
        """
        demand = ledger.demand(now)
        for grant in list(ledger.grants.values()):
            if grant.draining or demand.need_tokens:
                continue
            if ledger.is_inactive(now) and not grant.reservations:
                grant.draining = True
                continue
            wanted = wanted_tokens(self._policy, demand)
            if grant.available_tokens > self._sizing.return_share * wanted:
                grant.ceiling = grant.committed_tokens + wanted
            elif now - grant.opened_at >= self._sizing.renew_after_s:
                grant.renewing = True

    def _is_low(self, ledger, now, share):
        """Returns whether an account has too little, or a grant to be replaced."""
        demand = ledger.demand(now)
        wanted = wanted_tokens(self._policy, demand)
        is_low = demand.available_tokens < share * wanted
        can_grow = demand.free_tokens >= max(demand.smallest_need_tokens, 1)
        return (is_low and can_grow) or any(
            g.renewing and not g.draining for g in ledger.grants.values()
        )

    def _plan_fund(self, account, ledger, version, now):
        policy = self._policy
        if now - self._recalled_at.get(account, -RECALL_HOLD_S) < RECALL_HOLD_S:
            policy = "exact"
        grant_id, known = self._growing_grant(account, ledger)
        demand = ledger.demand_of(grant_id, now)
        return FundGrant(
            account,
            grant_id,
            self._incarnation,
            known,
            version,
            demand,
            policy,
        )

    def _growing_grant(self, account, ledger):
        grant_id = growing_id(ledger)
        if grant_id is not None:
            return grant_id, ledger.grants[grant_id].amount
        grant_id = self._opening.setdefault(account, self._make_id())
        return grant_id, 0


def growing_id(ledger):
    """Returns the id of the open grant that grows next, or None.

    Args:
        ledger: An ``AccountLedger``.
    """
    for grant_id, grant in ledger.grants.items():
        if not grant.renewing and not grant.draining and grant.ceiling is None:
            return grant_id
    return None
