"""Decisions of a process that holds grants, a router or an agent."""

from collections import defaultdict
from dataclasses import dataclass

from pistachiowell.budgets.growth import GrantGrowth, growing_id
from pistachiowell.budgets.ledger import AccountLedger
from pistachiowell.budgets.page import (
    CloseGrant,
    LowerGrant,
    MarkEra,
    RecordUse,
    free_tokens,
    page_number,
)
from pistachiowell.budgets.restoring import Restoration, has_all
from pistachiowell.budgets.sizing import SizingSettings
from pistachiowell.budgets.stale import OpenReservation
from pistachiowell.core.ids import new_id


@dataclass(frozen=True, slots=True)
class GrantNews:
    """A grant of this holder that was opened, resized or closed.

    Attributes:
        account: Client account.
        grant_id: Id of the grant.
        tokens: Its amount, or what was used under it if it is closed.
        is_closed: Whether it is closed.
    """

    account: str
    grant_id: str
    tokens: int
    is_closed: bool = False


class GrantHolder:
    """Keeps the ledgers of one incarnation and plans its page writes.

    The driver calls ``plan``, writes the changes, and passes every page that it reads
    or has written to ``observe``. A write whose answer was lost is in doubt: it may
    have taken effect or may still do so. The driver reports it to ``on_answer_lost``,
    reads the page and writes the changes of a new plan, which contain only what the
    page still lacks.

    After a return of the store from an older copy a page may lack grants, or have
    grants that were closed. The holder then writes again what it holds and has closed,
    and no grant grows before all holders had the time for it.

    Args:
        incarnation: Incarnation of the process, the holder named in its grants.
        pages: Number of budget pages.
        policy: Name of the sizing policy.
        make_id: Function that makes a grant id.
        sizing: ``SizingSettings``; ``policy`` takes precedence over its own.
        started_at: Time in seconds at which the process started.

    Examples:
        >>> from pistachiowell.budgets.page import TopUp, apply_changes
        >>> from pistachiowell.schema.generated.objects_budgets import BudgetPage
        >>> page = apply_changes(BudgetPage(), [TopUp("shop", "t", 1000)])
        >>> holder = GrantHolder("router-1", 1)
        >>> holder.reserve("shop", "a", "router-1", 10, 0.0) is None
        True
        >>> page = apply_changes(page, holder.plan(0, 0.0))
        >>> holder.observe(0, 1, page, 0.0)
        >>> holder.reserve("shop", "a", "router-1", 10, 0.0).tokens
        10
    """

    __slots__ = (
        "_by_page",
        "_closing",
        "_fenced",
        "_fenced_routers",
        "_growth",
        "_incarnation",
        "_ledgers",
        "_news",
        "_pages",
        "_restoration",
        "_sizing",
        "_unresolved",
        "_versions",
    )

    def __init__(
        self,
        incarnation,
        pages,
        policy="adaptive",
        make_id=lambda: new_id("grant"),
        sizing=None,
        started_at=0.0,
    ):
        self._sizing = sizing or SizingSettings()
        self._incarnation = incarnation
        self._pages = pages
        self._growth = GrantGrowth(incarnation, policy, make_id, self._sizing)
        self._ledgers = {}
        self._by_page = defaultdict(set)
        self._versions = {}
        self._closing = {}
        self._unresolved = {}
        self._fenced_routers = set()
        self._fenced = False
        self._news = {}
        self._restoration = Restoration(started_at)

    @property
    def incarnation(self):
        """Incarnation of the process."""
        return self._incarnation

    @property
    def fenced(self):
        """Whether another process has fenced this incarnation or closed a grant of it.

        It must spend nothing any more: its grants are closed at the sums of the
        agents, and tokens reserved after that would be overspent.
        """
        return self._fenced

    @property
    def page_numbers(self):
        """Numbers of the pages with accounts of this holder."""
        return sorted(self._by_page)

    @property
    def closing(self):
        """Ids of grants that a plan closes and that the last page read still had."""
        return set(self._closing)

    def accounts(self, number):
        """Returns the names of this holder's accounts of a page."""
        return sorted(self._by_page[number])

    def page_of(self, account):
        """Returns the number of an account's page."""
        return page_number(account, self._pages)

    def ledger(self, account):
        """Returns the ``AccountLedger`` of an account."""
        ledger = self._ledgers.get(account)
        if ledger is None:
            ledger = self._ledgers[account] = AccountLedger(self._sizing)
            self._by_page[self.page_of(account)].add(account)
        return ledger

    def reserve(self, account, reservation_id, router, tokens, now):
        """Reserves tokens; see ``AccountLedger.reserve``.

        Nothing is reserved for a fenced router or once this holder is fenced.
        """
        if self._fenced or router in self._fenced_routers:
            return None
        return self.ledger(account).reserve(reservation_id, router, tokens, now)

    def settle(self, account, reservation_id, router, tokens, now):
        """Settles a reservation; see ``AccountLedger.settle``."""
        return self.ledger(account).settle(reservation_id, router, tokens, now)

    def settle_fenced_router(self, router, reports):
        """Settles all reservations of a fenced router and refuses it from now on.

        See ``AccountLedger.settle_fenced_router``.
        """
        self._fenced_routers.add(router)
        for ledger in self._ledgers.values():
            ledger.settle_fenced_router(router, reports)

    @property
    def has_reservations(self):
        """Whether any reservation is not settled."""
        return bool(self.reserving_routers())

    def can_fit(self, account, tokens, now):
        """Returns whether the next write of a page would cover a request.

        Args:
            account: Client account.
            tokens: Size of the request in tokens.
            now: Time in seconds.

        Returns:
            True if the request fits into the free tokens of the page as last read and
            what is left in the grant that grows; False if not, or as long as grants
            must not grow.
        """
        if self._fenced or self.is_settling(self.page_of(account), now):
            return False
        ledger = self.ledger(account)
        grant_id = growing_id(ledger)
        left = ledger.grants[grant_id].available_tokens if grant_id else 0
        return max(left, 0) + ledger.free_tokens >= tokens

    def can_gather(self, account, tokens):
        """Returns whether a request would fit if all own grants were put together.

        A request is paid out of one grant; ``recall`` returns what is idle in all of
        them, out of which a new grant is opened.

        Args:
            account: Client account.
            tokens: Size of the request in tokens.
        """
        ledger = self.ledger(account)
        idle = sum(max(g.available_tokens, 0) for g in ledger.grants.values())
        return idle + ledger.free_tokens >= tokens

    def open_reservations(self):
        """Returns an ``OpenReservation`` for each reservation that is not settled."""
        return [
            OpenReservation(account, reservation_id, router, tokens)
            for account, ledger in self._ledgers.items()
            for grant in ledger.grants.values()
            for reservation_id, (router, tokens) in grant.reservations.items()
        ]

    def has_reservations_of(self, router):
        """Returns whether a router has open reservations in any ledger."""
        return any(x.has_reservations_of(router) for x in self._ledgers.values())

    def recall(self, account, now):
        """Stops reserving from the idle part of an account's grants.

        The next plan returns the idle part to the page. For a while the account's
        grants then grow only by what waiting requests need, so that the returned
        tokens stay free for other holders.
        """
        self._growth.record_recall(account, now)
        for grant in self.ledger(account).grants.values():
            grant.ceiling = grant.committed_tokens

    def plan(self, number, now):
        """Plans the changes of one page.

        Args:
            number: Page number.
            now: Time in seconds.

        Returns:
            A list of changes; empty if nothing is to be written.
        """
        if self._fenced:
            return []
        if self._restoration.is_restoring(number):
            restored = self._plan_restoration(number, now)
            return restored + self._plan_use_records(number)
        changes, may_grow = [], not self.is_settling(number, now)
        for account in sorted(self._by_page[number]):
            changes += self._plan_reductions(account, self._ledgers[account])
        if may_grow:
            names = sorted(self._by_page[number])
            ledgers = {name: self._ledgers[name] for name in names}
            version = self._versions.get(number, 0)
            changes += self._growth.plan(ledgers, version, now)
        if changes and may_grow:
            changes.insert(0, MarkEra(self._restoration.era))
        if changes:
            changes += self._plan_use_records(number)
        return changes

    def record_return(self, era, now):
        """Records that the store has returned from an older copy.

        Args:
            era: Number of the store's era.
            now: Time in seconds.
        """
        self._restoration.record_return(era, now)

    def is_settling(self, number, now):
        """Returns whether grants of a page must not grow yet after a return.

        Args:
            number: Page number.
            now: Time in seconds.
        """
        return self._restoration.is_settling(number, now)

    def drain_news(self):
        """Returns the ``GrantNews`` since the last call."""
        news, self._news = list(self._news.values()), {}
        return news

    def _plan_restoration(self, number, now):
        ledgers = {name: self._ledgers[name] for name in self._by_page[number]}
        return self._restoration.plan(self._incarnation, ledgers, now)

    def on_answer_lost(self, number, base_version):
        """Records that the last write of a page is in doubt.

        A later version of the page resolves it: the write then shows in the page or
        can no longer take effect, as its condition fails. Until then planned
        reductions stay in force; reserving above them would overspend if the write
        has lowered or closed the grant.

        Args:
            number: Page number.
            base_version: Version that the write was conditional on.
        """
        self._unresolved[number] = base_version

    def on_conflict(self, number):
        """Records that a write of a page had no effect and is planned anew.

        Planned reductions stay in force: the next write makes them, and a recall that
        was withdrawn here would be confirmed without its tokens being returned. Grants
        are not closed yet, however, so one that is missing then was closed by another
        process.

        Args:
            number: Page number.
        """
        if number in self._unresolved:
            return
        for account in self._by_page[number]:
            for grant_id, grant in self._ledgers[account].grants.items():
                if grant_id in self._closing:
                    del self._closing[grant_id]
                    grant.draining = False

    def on_write_failed(self, number):
        """Withdraws the planned reductions of a page after a write without effect.

        An outage of the store thus leaves all tokens of the grants usable. While an
        earlier write of the page is in doubt nothing is withdrawn, as that write may
        still lower or close the grants.

        Args:
            number: Page number.
        """
        if number in self._unresolved:
            return
        self.on_conflict(number)
        for account in self._by_page[number]:
            for grant in self._ledgers[account].grants.values():
                grant.ceiling = None

    def observe(self, number, version, page, now):
        """Applies a page as read or written; a version older than the last is ignored.

        Args:
            number: Page number.
            version: Version of the page in the store.
            page: The ``BudgetPage``.
            now: Time in seconds.
        """
        if version < self._versions.get(number, 0):
            return
        known = self._versions.get(number)
        self._restoration.observe(number, version, known, page, now)
        self._versions[number] = version
        if version > self._unresolved.get(number, version):
            del self._unresolved[number]
        if not self._take_as_restored(number, page, now):
            return
        present = set()
        for name, account in page.accounts.items():
            if name in self._by_page[number]:
                self._ledgers[name].free_tokens = free_tokens(account)
                self._ledgers[name].credited_tokens = account.credited
            for grant_id, grant in account.grants.items():
                if grant.holder == self._incarnation:
                    present.add(grant_id)
                    self._fenced |= grant.sealing
                    self._apply_grant(name, grant_id, grant, now)
        self._remove_absent(number, present, now)
        if not self._fenced:
            for account in self._by_page[number]:
                self._ledgers[account].serve_waiting()

    def _take_as_restored(self, number, page, now):
        """Ends the restoration of a page that has everything again.

        Returns:
            Whether the page can be taken as it is.
        """
        if not self._restoration.is_restoring(number):
            return True
        if not has_all(page, self._plan_restoration(number, now)):
            return False
        self._restoration.end(number)
        return True

    def has_changes(self, number, now):
        """Returns whether a plan of a page would contain changes.

        Args:
            number: Page number.
            now: Time in seconds.
        """
        version = self._versions.get(number)
        return self._restoration.is_due(number, version) or any(
            self._growth.needs_change(self._ledgers[account], now)
            for account in self._by_page[number]
        )

    def reserving_routers(self):
        """Returns the incarnations of the routers with open reservations."""
        return {
            router
            for ledger in self._ledgers.values()
            for grant in ledger.grants.values()
            for router, _ in grant.reservations.values()
        }

    def used_by_others(self, routers):
        """Returns the settled tokens of all but some routers, by open grant.

        Args:
            routers: Incarnations of the routers to leave out.
        """
        used = {}
        for ledger in self._ledgers.values():
            for grant_id, grant in ledger.grants.items():
                tokens = sum(t for r, t in grant.used.items() if r not in routers)
                if tokens:
                    used[grant_id] = tokens
        return used

    def retire_idle(self, account, now):
        """Retires idle grants: the next plan lowers, replaces or closes them.

        See ``GrantGrowth.retire_idle``.

        While a write of the page is in doubt nothing is retired. No page is read or
        written then, and what is planned could not be withdrawn.

        Args:
            account: Client account.
            now: Time in seconds.
        """
        if self.page_of(account) in self._unresolved:
            return
        self._growth.retire_idle(self.ledger(account), now)

    def _apply_grant(self, account, grant_id, grant, now):
        ledger = self.ledger(account)
        known = ledger.grants.get(grant_id)
        is_opening = self._growth.is_opening(account, grant_id)
        if known is None and not is_opening:
            # A return of the store has brought a closed grant back. What was used under
            # it is not known any more, so its tokens stay charged.
            return
        if known is None or known.amount != grant.amount:
            self._news[grant_id] = GrantNews(account, grant_id, grant.amount)
        ledger.observe(grant_id, grant.amount, now, grant.page_version)
        if is_opening:
            self._growth.record_opened(account)
            for other_id, other in ledger.grants.items():
                other.draining |= other.renewing and other_id != grant_id

    def _remove_absent(self, number, present, now):
        for account in self._by_page[number]:
            grants = self._ledgers[account].grants
            for grant_id in [g for g in grants if g not in present]:
                del grants[grant_id]
                used = self._closing.pop(grant_id, None)
                if used is None:
                    self._fenced = True
                else:
                    self._record_closed(account, grant_id, used, now)

    def _record_closed(self, account, grant_id, used, now):
        self._restoration.record_closed(grant_id, account, used, now)
        self._news[grant_id] = GrantNews(account, grant_id, used, is_closed=True)

    def _plan_reductions(self, account, ledger):
        changes = []
        for grant_id, grant in ledger.grants.items():
            if grant.draining:
                grant.ceiling = grant.committed_tokens
            if grant.available_tokens <= 0 and not grant.reservations:
                grant.draining = True
                self._closing[grant_id] = grant.used_tokens
                changes.append(CloseGrant(account, grant_id, grant.used_tokens))
            elif grant.ceiling is not None and grant.ceiling < grant.amount:
                changes.append(LowerGrant(account, grant_id, grant.ceiling))
        return changes

    def _plan_use_records(self, number):
        """Plans records of the use of all grants of a page.

        They are added only to a write that is due anyway and so cost no call.
        """
        return [
            RecordUse(account, grant_id, grant.used_tokens)
            for account in sorted(self._by_page[number])
            for grant_id, grant in self._ledgers[account].grants.items()
        ]
