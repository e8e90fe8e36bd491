"""Reserves and settles tokens of prepaid budgets."""

from dataclasses import dataclass

import msgspec

from pistachiowell.core.errors import (
    BudgetExhausted,
    BudgetUnreachable,
    StoreAnswerLost,
    StoreConflict,
    StoreThrottled,
    StoreUnavailable,
)
from pistachiowell.core.ids import new_id, stable_hash
from pistachiowell.schema.generated.objects_budgets import BudgetPage, Grant

GRANT_TOKENS = 20000
MAX_TRIES = 5


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens set aside for one request.

    Attributes:
        request_id: The request.
        account: Client account that pays.
        grant_id: Grant that covers the tokens.
        holder: Incarnation that holds the grant.
        tokens: Upper bound of the request in tokens.
    """

    request_id: str
    account: str
    grant_id: str
    holder: str
    tokens: int


class Spending:
    """Holds one grant per account and spends only out of it.

    Args:
        runtime: The process's ``Runtime``.
    """

    __slots__ = ("_grants", "_left", "_runtime")

    def __init__(self, runtime):
        self._runtime = runtime
        self._grants = {}
        self._left = {}

    async def reserve(self, account, request_id, tokens):
        """Reserves the upper bound of a request.

        Raises:
            BudgetExhausted: The budget is spent.
            BudgetUnreachable: The store does not answer and the grant is used up.
        """
        if self._left.get(account, 0) < tokens:
            await self._open_grant(account, max(tokens, GRANT_TOKENS), tokens)
        self._left[account] -= tokens
        return Reservation(
            request_id=request_id,
            account=account,
            grant_id=self._grants[account],
            holder=self._runtime.incarnation,
            tokens=tokens,
        )

    def settle(self, reservation, used_tokens):
        """Returns the unused part of a reservation to the grant."""
        unused = reservation.tokens - used_tokens
        self._left[reservation.account] += max(unused, 0)

    async def _open_grant(self, account, wanted, needed):
        store = self._runtime.store
        name = page_name(account, self._runtime.settings.budget_pages)
        try:
            for _ in range(MAX_TRIES):
                entry = await store.get("budgetpages", name)
                if entry is None:
                    raise BudgetExhausted(f"Account {account} has no budget.")
                page = msgspec.json.decode(entry.value, type=BudgetPage)
                budget = page.accounts.get(account)
                amount = min(wanted, unassigned_tokens(budget)) if budget else 0
                if amount < needed:
                    raise BudgetExhausted(f"Account {account} has {amount} left.")
                grant_id = new_id("grant")
                budget.grants[grant_id] = Grant(self._runtime.incarnation, amount)
                try:
                    value = msgspec.json.encode(page)
                    await store.put("budgetpages", name, value, entry.version)
                except StoreConflict:
                    continue
                self._grants[account] = grant_id
                self._left[account] = amount
                return
        except (StoreUnavailable, StoreThrottled, StoreAnswerLost) as error:
            raise BudgetUnreachable(f"Account {account}: {error.message}") from error
        raise BudgetUnreachable(f"The page of account {account} is contended.")


def page_name(account, page_count):
    """Returns the name of the budget page of an account."""
    return f"page-{stable_hash(account) % page_count}"


def unassigned_tokens(budget):
    """Returns the tokens of a ``BudgetAccount`` in no grant and no bill."""
    granted = sum(grant.amount for grant in budget.grants.values())
    return budget.credited - budget.closed - granted
