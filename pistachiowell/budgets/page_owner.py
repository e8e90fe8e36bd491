"""Choice of the home router of a budget page in a data centre."""

from pistachiowell.core.ids import stable_hash


def choose_owner(page, routers):
    """Chooses by rendezvous hash, so that a lost router moves only its own pages.

    All accounts of a page share a home: one write then carries the changes of all
    of them.

    Args:
        page: Page number.
        routers: Ids of the live routers of the data centre.

    Returns:
        One of the ids; None if there is none.

    Examples:
        >>> choose_owner(3, ["a", "b"]) == choose_owner(3, ["b", "a"])
        True
    """
    return max(routers, key=_rank(page), default=None)


def refusal_is_final(account, tokens, own_tokens, unreachable):
    """Tells an exhausted budget from one that cannot be reached.

    Args:
        account: A ``BudgetAccount`` read after all homes were asked to give back.
        tokens: Size of the request in tokens.
        own_tokens: Unreserved tokens of the asking home.
        unreachable: Incarnations of the homes that did not answer.

    Returns:
        True if the request does not fit; False if it may fit once unreachable or
        sealing grants come back.

    Examples:
        >>> from pistachiowell.schema.generated.objects_budgets import (
        ...     BudgetAccount, Grant)
        >>> account = BudgetAccount(credited=9, grants={"g": Grant("r", 9)})
        >>> refusal_is_final(account, 5, 0, set())
        True
        >>> refusal_is_final(account, 5, 0, {"r"})
        False
    """
    away = sum(
        grant.amount
        for grant in account.grants.values()
        if grant.sealing or grant.holder in unreachable
    )
    granted = sum(grant.amount for grant in account.grants.values())
    free = account.credited + account.returned - account.closed - granted
    return free + own_tokens + away < tokens


def rank_owners(page, processes):
    """Orders the processes that may be home of a page; the first one is.

    Args:
        page: Page number.
        processes: Ids of the live processes that keep budgets.

    Returns:
        A list of ids, alike in every process.

    Examples:
        >>> rank_owners(3, ["a", "b"])[0] == choose_owner(3, ["a", "b"])
        True
    """
    return sorted(processes, key=_rank(page), reverse=True)


def _rank(page):
    return lambda process: (stable_hash(str(page), process), process)
