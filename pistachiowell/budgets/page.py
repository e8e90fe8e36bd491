"""Changes of budget pages.

A change is applied to the page as last read and written by a conditional update.
Applying a change again after it took effect alters nothing, so a writer whose
answer was lost reads the page and applies the same changes once more.
"""

from dataclasses import dataclass, replace

import msgspec

from pistachiowell.budgets.sizing import Demand, grant_growth
from pistachiowell.core.ids import stable_hash
from pistachiowell.schema.generated.objects_budgets import (
    BudgetAccount,
    BudgetPage,
    Grant,
)

COLLECTION = "budgetpages"
TOP_UP_IDS_KEPT = 64

_APPLY = {}


@dataclass(frozen=True, slots=True)
class FundGrant:
    """Opens a grant or raises its amount.

    Attributes:
        account: Client account.
        grant_id: Id of the grant, made before the first write.
        holder: Incarnation of the holding router.
        known_tokens: Amount that the holder last read; 0 for a new grant. Another
            amount in the page shows that the change took effect already.
        page_version: Version of the page that the change was planned for.
        demand: Demand that the growth is sized by.
        policy: Name of the sizing policy.
    """

    account: str
    grant_id: str
    holder: str
    known_tokens: int
    page_version: int
    demand: Demand
    policy: str = "adaptive"


@dataclass(frozen=True, slots=True)
class LowerGrant:
    """Lowers the amount of a grant to ``tokens``."""

    account: str
    grant_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CloseGrant:
    """Closes a grant at what was used under it; the rest returns."""

    account: str
    grant_id: str
    used_tokens: int


@dataclass(frozen=True, slots=True)
class NoteUse:
    """Raises what others know to be used under a grant to ``used_tokens``."""

    account: str
    grant_id: str
    used_tokens: int


@dataclass(frozen=True, slots=True)
class FenceGrants:
    """Marks all grants of a holder, which can then grow no more."""

    holder: str


@dataclass(frozen=True, slots=True)
class TopUp:
    """Credits tokens; a negative number lowers the budget to what is free."""

    account: str
    top_up_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class SetCredit:
    """Sets what was paid for, as a revision of the configuration says.

    Attributes:
        account: Client account.
        tokens: Tokens paid for since the account began.
        revision: The revision; an older one than the page has changes nothing.
    """

    account: str
    tokens: int
    revision: int


@dataclass(frozen=True, slots=True)
class ReturnTokens:
    """Sets what a request was charged beyond its one bill.

    Attributes:
        account: Client account.
        request_id: The request.
        tokens: Sum of its charges less its bill; a higher value replaces a lower.
    """

    account: str
    request_id: str
    tokens: int


def page_number(account, pages):
    """Returns the number of the page that holds an account."""
    return stable_hash("budget-page", account) % pages


def page_name(number):
    """Returns the name of a page in the store."""
    return f"page-{number}"


def decode_page(value):
    """Reads a page.

    Args:
        value: Content of the store object; None for a page never written.
    """
    if value is None:
        return BudgetPage()
    return msgspec.json.decode(value, type=BudgetPage)


def encode_page(page):
    """Returns the content of the store object of a page."""
    accounts = {name: _compact(a) for name, a in page.accounts.items()}
    return msgspec.json.encode({"accounts": accounts})


def _compact(account):
    document = msgspec.to_builtins(account)
    document["grants"] = {
        grant_id: {key: value for key, value in grant.items() if value}
        for grant_id, grant in document["grants"].items()
    }
    return {key: v for key, v in document.items() if v or key == "credited"}


def granted_tokens(account):
    """Returns the sum of an account's open grants."""
    return sum(grant.amount for grant in account.grants.values())


def unspent_elsewhere(account, own_grants):
    """Returns the tokens of other holders' grants that may be unspent.

    Args:
        account: A ``BudgetAccount``.
        own_grants: Ids of the asking holder's grants.

    Examples:
        >>> grants = {"own": Grant("a", 5), "other": Grant("b", 9, used_tokens=7)}
        >>> unspent_elsewhere(BudgetAccount(grants=grants), {"own"})
        2
    """
    return sum(
        grant.amount - grant.used_tokens
        for grant_id, grant in account.grants.items()
        if grant_id not in own_grants
    )


def free_tokens(account):
    """Returns the tokens of an account that are neither charged nor granted.

    Examples:
        >>> free_tokens(BudgetAccount(credited=10, closed=3))
        7
    """
    paid = account.credited + account.returned
    return paid - account.closed - granted_tokens(account)


def apply_changes(page, changes):
    """Applies changes in order.

    Args:
        page: A ``BudgetPage``.
        changes: Changes, such as ``FundGrant``.

    Returns:
        The new page; the same object if nothing changed.
    """
    for change in changes:
        page = _APPLY[type(change)](page, change)
    return page


def _registers(change_class):
    def decorate(function):
        _APPLY[change_class] = function
        return function

    return decorate


def _changes_account(change_class):
    """Registers a function from an account and a change to the new account."""

    def decorate(function):
        def apply(page, change):
            old = page.accounts.get(change.account, BudgetAccount())
            new = function(old, change)
            if new is old:
                return page
            return replace(page, accounts={**page.accounts, change.account: new})

        _APPLY[change_class] = apply
        return function

    return decorate


def _with_grant(account, grant_id, grant):
    return replace(account, grants={**account.grants, grant_id: grant})


@_changes_account(FundGrant)
def _fund(account, change):
    grant = account.grants.get(change.grant_id)
    present = grant.amount if grant else 0
    if present != change.known_tokens or (grant and grant.sealing):
        return account
    growth = grant_growth(
        change.policy, change.demand, free_tokens(account), account.credited
    )
    if growth <= 0:
        return account
    if grant is None:
        grant = Grant(change.holder, 0, page_version=change.page_version)
    grown = replace(grant, amount=present + growth)
    return _with_grant(account, change.grant_id, grown)


@_changes_account(LowerGrant)
def _lower(account, change):
    grant = account.grants.get(change.grant_id)
    if grant is None or grant.amount <= change.tokens:
        return account
    return _with_grant(account, change.grant_id, replace(grant, amount=change.tokens))


@_changes_account(NoteUse)
def _note_use(account, change):
    grant = account.grants.get(change.grant_id)
    if grant is None or grant.used_tokens >= change.used_tokens:
        return account
    noted = replace(grant, used_tokens=change.used_tokens)
    return _with_grant(account, change.grant_id, noted)


@_changes_account(CloseGrant)
def _close(account, change):
    grant = account.grants.get(change.grant_id)
    if grant is None:
        return account
    grants = {k: v for k, v in account.grants.items() if k != change.grant_id}
    closed = account.closed + min(change.used_tokens, grant.amount)
    return replace(account, closed=closed, grants=grants)


@_registers(FenceGrants)
def _mark_sealing(page, change):
    accounts = dict(page.accounts)
    for name, account in page.accounts.items():
        marked = {
            grant_id: replace(grant, sealing=True)
            for grant_id, grant in account.grants.items()
            if grant.holder == change.holder and not grant.sealing
        }
        if marked:
            accounts[name] = replace(account, grants={**account.grants, **marked})
    return page if accounts == page.accounts else replace(page, accounts=accounts)


@_changes_account(TopUp)
def _top_up(account, change):
    if change.top_up_id in account.top_ups:
        return account
    tokens = max(change.tokens, -max(free_tokens(account), 0))
    top_ups = [*account.top_ups, change.top_up_id][-TOP_UP_IDS_KEPT:]
    return replace(account, credited=account.credited + tokens, top_ups=top_ups)


@_changes_account(SetCredit)
def _set_credit(account, change):
    if change.revision <= account.credit_revision:
        return account
    return replace(account, credited=change.tokens, credit_revision=change.revision)


@_changes_account(ReturnTokens)
def _return(account, change):
    known = account.returns.get(change.request_id, 0)
    if change.tokens <= known:
        return account
    return replace(
        account,
        returned=account.returned + change.tokens - known,
        returns={**account.returns, change.request_id: change.tokens},
    )
