"""Where the tokens of an account are, as one holder of its grants can tell."""

from dataclasses import dataclass

from pistachiowell.budgets.page import free_tokens


@dataclass(frozen=True, slots=True)
class TokenBalance:
    """Tokens of an account by place; all but ``credited`` add up to it.

    Attributes:
        credited: Tokens paid for and refunded.
        used: Tokens charged, and those known to be used under open grants.
        reserved: Tokens reserved here.
        available: Tokens of the own grants that are not reserved.
        live: Unspent tokens of the grants of other holders that are registered.
        lost: Unspent tokens of the grants of holders that are registered no more.
        unknown: Unspent tokens of the grants of all others.
        free: Tokens that are in no grant.
    """

    credited: int = 0
    used: int = 0
    reserved: int = 0
    available: int = 0
    live: int = 0
    lost: int = 0
    unknown: int = 0
    free: int = 0


def token_balance(account, ledger, is_registered):
    """Returns the ``TokenBalance`` of an account.

    Args:
        account: The ``BudgetAccount`` as last read.
        ledger: The ``AccountLedger`` of the own grants.
        is_registered: Function that returns whether the holder of a grant, given by
            its incarnation, is registered; None if that is not known.

    Examples:
        >>> from pistachiowell.budgets.ledger import AccountLedger
        >>> from pistachiowell.schema.generated.objects_budgets import (
        ...     BudgetAccount, Grant)
        >>> grants = {"a": Grant("run-1", 40, used_tokens=10), "b": Grant("run-2", 20)}
        >>> account = BudgetAccount(credited=100, closed=5, grants=grants)
        >>> balance = token_balance(account, AccountLedger(), {"run-1": False}.get)
        >>> balance.used, balance.lost, balance.unknown, balance.free
        (15, 30, 20, 35)
    """
    used, reserved, available = account.closed, 0, 0
    elsewhere = {True: 0, False: 0, None: 0}
    for grant_id, grant in account.grants.items():
        own = ledger.grants.get(grant_id)
        if own is None:
            used += grant.used_tokens
            unspent = grant.amount - grant.used_tokens
            elsewhere[is_registered(grant.holder)] += unspent
        else:
            used += own.used_tokens
            reserved += own.committed_tokens - own.used_tokens
            available += grant.amount - own.committed_tokens
    return TokenBalance(
        account.credited + account.returned,
        used,
        reserved,
        available,
        elsewhere[True],
        elsewhere[False],
        elsewhere[None],
        free_tokens(account),
    )


def other_holders(account, ledger):
    """Returns the incarnations that hold grants of an account beside a ledger's own."""
    return {
        grant.holder
        for grant_id, grant in account.grants.items()
        if grant_id not in ledger.grants
    }
