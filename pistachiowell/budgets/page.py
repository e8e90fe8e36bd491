"""Changes of budget pages.

A budget page is one store object with the budgets of many accounts. A writer applies
its changes to the page as last read and writes the result on the condition that the
object still has the version that was read. The store rejects the write if another
writer came in between, so no update is lost and the same free tokens are never
granted twice.

Grants are escrow: a grant sets tokens of a budget aside for one holder before any
request runs under it. A grant opens or grows only out of the free tokens,
``credited + returned - closed - grants``, so holders that cannot reach the store or
each other still cannot together spend more than was paid for.

Each change is idempotent. A writer whose answer was lost does not know whether its
write took effect; it reads the page and applies the changes again, which neither
credits nor grants anything a second time.
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
CLOSED_GRANTS_KEPT = 32

_APPLIERS = {}


@dataclass(frozen=True, slots=True)
class FundGrant:
    """Opens a grant or raises its amount.

    Attributes:
        account: Client account.
        grant_id: Id of the grant, made before the first write, so that a repeated
            write opens no second grant.
        holder: Incarnation of the process that holds the grant.
        known_tokens: Amount in tokens that the holder last read; 0 for a new grant.
            Another amount in the page shows that the change has taken effect, and it
            is not applied again.
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
    """Lowers the amount of a grant to ``tokens``; the difference becomes free."""

    account: str
    grant_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CloseGrant:
    """Closes a grant and charges the tokens used under it; the rest becomes free."""

    account: str
    grant_id: str
    used_tokens: int


@dataclass(frozen=True, slots=True)
class RecordUse:
    """Raises the recorded use of a grant to ``used_tokens``.

    Other holders read it to tell an exhausted budget from tokens that are set aside
    and may be returned.
    """

    account: str
    grant_id: str
    used_tokens: int


@dataclass(frozen=True, slots=True)
class FenceGrants:
    """Marks all grants of a holder as fenced.

    A fenced grant cannot grow, so the holder cannot add tokens while its use is being
    collected. A frozen holder that resumes reads the mark and stops reserving.
    """

    holder: str


@dataclass(frozen=True, slots=True)
class TopUp:
    """Credits tokens; a negative number takes away at most the free tokens."""

    account: str
    top_up_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class SetCredit:
    """Sets the tokens paid for, as given by a revision of the configuration.

    Attributes:
        account: Client account.
        tokens: Tokens paid for since the account began.
        revision: Revision of the configuration. One that is not newer than the page's
            changes nothing, so a writer with old configuration reverts no credit.
    """

    account: str
    tokens: int
    revision: int


@dataclass(frozen=True, slots=True)
class SetRefund:
    """Sets the refund of a request that was charged more than once.

    Attributes:
        account: Client account.
        request_id: Id of the request.
        tokens: Sum of its charges less its bill. A higher value replaces a lower one;
            the same or a lower value changes nothing, so no refund is paid twice.
    """

    account: str
    request_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RestoreGrant:
    """Writes a grant again that a return of the store may have lost.

    It may exceed the free tokens: they were set aside before the return.

    Attributes:
        account: Client account.
        grant_id: Id of the grant.
        holder: Incarnation of the process that holds the grant.
        tokens: Amount in tokens.
        page_version: See ``FundGrant``.
        is_exact: Whether the holder itself says so; others know a lower bound.
    """

    account: str
    grant_id: str
    holder: str
    tokens: int
    page_version: int = 0
    is_exact: bool = True


@dataclass(frozen=True, slots=True)
class RestoreClosed:
    """Charges a grant again whose closing a return of the store may have lost.

    Attributes:
        account: Client account.
        grant_id: Id of the grant.
        used_tokens: Tokens used under it.
    """

    account: str
    grant_id: str
    used_tokens: int


@dataclass(frozen=True, slots=True)
class MarkEra:
    """Records that grants may grow in an era of the store."""

    era: int


def page_number(account, pages):
    """Returns the number of the page that holds an account."""
    return stable_hash("budget-page", account) % pages


def page_name(number):
    """Returns the name of a page in the store."""
    return f"page-{number}"


def decode_page(value):
    """Decodes a page.

    Args:
        value: Content of the store object; None for a page never written.
    """
    if value is None:
        return BudgetPage()
    return msgspec.json.decode(value, type=BudgetPage)


def encode_page(page):
    """Encodes a page as the content of its store object, without default values."""
    accounts = {name: _compact(a) for name, a in page.accounts.items()}
    return msgspec.json.encode({"accounts": accounts, "era": page.era})


def _compact(account):
    document = msgspec.to_builtins(account)
    document["grants"] = {
        grant_id: {key: value for key, value in grant.items() if value}
        for grant_id, grant in document["grants"].items()
    }
    return {key: v for key, v in document.items() if v or key == "credited"}


def granted_tokens(account):
    """Returns the sum of an account's open grants in tokens."""
    return sum(grant.amount for grant in account.grants.values())


def unspent_elsewhere(account, own_grants):
    """Returns the tokens of other holders' grants that may be unspent.

    Args:
        account: A ``BudgetAccount``.
        own_grants: Ids of the grants to leave out, those of the holder that asks.

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
        changes: Iterable of changes, such as ``FundGrant``.

    Returns:
        The new page; the same object if nothing changed.
    """
    for change in changes:
        page = _APPLIERS[type(change)](page, change)
    return page


def apply_plan(page, changes):
    """Applies a plan unless it would only record what was used.

    Otherwise each refused request of a spent account would cost a write: its
    ``FundGrant`` has no effect, but the use of the other accounts has grown.

    Args:
        page: A ``BudgetPage``.
        changes: List of changes.

    Returns:
        The new page; the same object if nothing else changed.
    """
    effective = [c for c in changes if not isinstance(c, RecordUse)]
    if apply_changes(page, effective) is page:
        return page
    return apply_changes(page, changes)


def _applies_to_page(change_class):
    def decorate(function):
        _APPLIERS[change_class] = function
        return function

    return decorate


def _applies_to_account(change_class):
    """Registers a function from an account and a change to the new account.

    The function returns the same object if the change has no effect.
    """

    def decorate(function):
        def apply(page, change):
            old = page.accounts.get(change.account, BudgetAccount())
            new = function(old, change)
            if new is old:
                return page
            return replace(page, accounts={**page.accounts, change.account: new})

        _APPLIERS[change_class] = apply
        return function

    return decorate


def _with_grant(account, grant_id, grant):
    return replace(account, grants={**account.grants, grant_id: grant})


@_applies_to_account(FundGrant)
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


@_applies_to_account(LowerGrant)
def _lower(account, change):
    grant = account.grants.get(change.grant_id)
    if grant is None or grant.amount <= change.tokens:
        return account
    return _with_grant(account, change.grant_id, replace(grant, amount=change.tokens))


@_applies_to_account(RecordUse)
def _record_use(account, change):
    grant = account.grants.get(change.grant_id)
    if grant is None or grant.used_tokens >= change.used_tokens:
        return account
    updated = replace(grant, used_tokens=change.used_tokens)
    return _with_grant(account, change.grant_id, updated)


@_applies_to_account(CloseGrant)
def _close(account, change):
    grant = account.grants.get(change.grant_id)
    if grant is None:
        return account
    used = min(change.used_tokens, grant.amount)
    return _with_closed(account, change.grant_id, used)


def _with_closed(account, grant_id, used):
    grants = {k: v for k, v in account.grants.items() if k != grant_id}
    closed_grants = {**account.closed_grants, grant_id: used}
    while len(closed_grants) > CLOSED_GRANTS_KEPT:
        del closed_grants[next(iter(closed_grants))]
    return replace(
        account,
        closed=account.closed + used,
        closed_grants=closed_grants,
        grants=grants,
    )


@_applies_to_account(RestoreGrant)
def _restore_grant(account, change):
    grant = account.grants.get(change.grant_id)
    if grant is None:
        if change.grant_id in account.closed_grants:
            return account
        grant = Grant(change.holder, 0, page_version=change.page_version)
    tokens = change.tokens
    if not change.is_exact:
        tokens = max(tokens, grant.amount)
    if tokens == grant.amount:
        return account
    return _with_grant(account, change.grant_id, replace(grant, amount=tokens))


@_applies_to_account(RestoreClosed)
def _restore_closed(account, change):
    if change.grant_id in account.closed_grants:
        return account
    return _with_closed(account, change.grant_id, change.used_tokens)


@_applies_to_page(MarkEra)
def _mark_era(page, change):
    return replace(page, era=change.era) if change.era > page.era else page


@_applies_to_page(FenceGrants)
def _fence_grants(page, change):
    accounts = dict(page.accounts)
    for name, account in page.accounts.items():
        fenced = {
            grant_id: replace(grant, sealing=True)
            for grant_id, grant in account.grants.items()
            if grant.holder == change.holder and not grant.sealing
        }
        if fenced:
            accounts[name] = replace(account, grants={**account.grants, **fenced})
    return page if accounts == page.accounts else replace(page, accounts=accounts)


@_applies_to_account(TopUp)
def _top_up(account, change):
    if change.top_up_id in account.top_ups:
        return account
    tokens = max(change.tokens, -max(free_tokens(account), 0))
    top_ups = [*account.top_ups, change.top_up_id][-TOP_UP_IDS_KEPT:]
    return replace(account, credited=account.credited + tokens, top_ups=top_ups)


@_applies_to_account(SetCredit)
def _set_credit(account, change):
    if change.revision <= account.credit_revision:
        return account
    return replace(account, credited=change.tokens, credit_revision=change.revision)


@_applies_to_account(SetRefund)
def _set_refund(account, change):
    known = account.returns.get(change.request_id, 0)
    if change.tokens <= known:
        return account
    return replace(
        account,
        returned=account.returned + change.tokens - known,
        returns={**account.returns, change.request_id: change.tokens},
    )
