"""Choice of the owner of a budget page, the process that reserves from it.

With one owner per page in a data centre, mostly one process writes the page, and
conditional writes rarely conflict. Safety does not depend on it: two processes that
both take themselves for the owner hold separate grants.
"""

from pistachiowell.core.ids import stable_hash


def choose_owner(page, routers):
    """Chooses the owner of a page by rendezvous hash.

    Losing a router moves only the pages that it owned. All accounts of a page share an
    owner, so that one write carries the changes of all of them.

    Args:
        page: Page number, or another key that the choice depends on.
        routers: Ids of the live routers that may be chosen.

    Returns:
        One of the ids; None if there is none.

    Examples:
        >>> choose_owner(3, ["a", "b"]) == choose_owner(3, ["b", "a"])
        True
    """
    return max(routers, key=_rank(page), default=None)


def refusal_is_final(account, tokens, own_tokens, unreachable):
    """Returns whether a refusal is final, as the budget is exhausted.

    Tokens out of reach do not exhaust a budget: their holder may still return them, and
    a caller told that nothing is left would not try again.

    Args:
        account: A ``BudgetAccount`` read after all holders were asked to return idle
            tokens.
        tokens: Size of the request in tokens.
        own_tokens: Unreserved tokens of the asking owner.
        unreachable: Incarnations of the holders that did not answer.

    Returns:
        True if the request does not fit; False if it may fit once the grants of
        unreachable or fenced holders are returned.

    Examples:
        >>> from pistachiowell.schema.generated.objects_budgets import (
        ...     BudgetAccount, Grant)
        >>> account = BudgetAccount(credited=9, grants={"g": Grant("r", 9)})
        >>> refusal_is_final(account, 5, 0, set())
        True
        >>> refusal_is_final(account, 5, 0, {"r"})
        False
    """
    out_of_reach = sum(
        grant.amount
        for grant in account.grants.values()
        if grant.sealing or grant.holder in unreachable
    )
    granted = sum(grant.amount for grant in account.grants.values())
    free = account.credited + account.returned - account.closed - granted
    return free + own_tokens + out_of_reach < tokens


def rank_owners(page, processes):
    """Ranks the processes that may own a page; the first one is the owner.

    Args:
        page: Page number.
        processes: Ids of the live processes that keep budgets.

    Returns:
        A list of ids. Processes that know the same ids compute the same list.

    Examples:
        >>> rank_owners(3, ["a", "b"])[0] == choose_owner(3, ["a", "b"])
        True
    """
    return sorted(processes, key=_rank(page), reverse=True)


def _rank(page):
    return lambda process: (stable_hash(str(page), process), process)
