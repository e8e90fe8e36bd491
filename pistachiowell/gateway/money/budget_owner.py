"""Budget pages that an agent owns on behalf of the gateways.

Grants are held at agents and not at gateways. An agent runs beside a backend server and
keeps its connections to the store and the gateways when the entry VMs are cut off from
both. A gateway that is cut off could neither renew its grants nor return them, and no
other gateway could use the tokens in them. One agent is the owner of a budget page; if
it is lost, another one takes over with grants of its own.
"""

from collections import defaultdict
from dataclasses import dataclass

import anyio

from pistachiowell.budgets import GrantHolder
from pistachiowell.budgets.lost_runs import LostRuns
from pistachiowell.budgets.page import (
    SetCredit,
    free_tokens,
    unspent_elsewhere,
)
from pistachiowell.budgets.sizing import SizingSettings
from pistachiowell.core.errors import (
    BudgetExhausted,
    BudgetUnreachable,
    OwnerUnready,
    PistachiowellError,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.money.grant_notices import GrantTeller, NoticedGrants
from pistachiowell.gateway.money.holder_states import HolderStates
from pistachiowell.gateway.money.lost_grants import LostGrantRecovery
from pistachiowell.gateway.money.refusal_log import RefusalLog
from pistachiowell.gateway.money.reservation_checks import ReservationChecks
from pistachiowell.gateway.money.served_runs import ServedRunsWriter
from pistachiowell.router.grant_pages import GrantPages
from pistachiowell.schema.generated.messages_budgets import (
    GrantNotice,
    ReserveTokens,
    SettleTokens,
    TokensReserved,
    TokensSettled,
)
from pistachiowell.schema.generated.objects_budgets import BudgetAccount

FIRST_GRANT_REQUESTS = 4
RATE_WINDOW_S = 5.0
# Grants are refilled at half of it, so outages of half of it are bridged.
LONG_HORIZON_S = 24.0
RENEW_AFTER_S = 3600.0
CLOSE_IDLE_AFTER_S = 4.0
GRANT_CHECK_INTERVAL_S = 0.5
RETIRE_INTERVAL_S = 2.0
WRITE_TIMEOUT_S = 0.5
# After an outage was found, requests are refused at once for this long. Otherwise each
# of them would wait for a write to time out.
OUTAGE_CACHE_S = 0.5
OUTAGE_RETRY_AFTER_S = 1.5
NO_CONFIGURATION_RETRY_AFTER_S = 0.5
# A refusal is repeated for this long without a write to the page. Otherwise each
# request for a spent budget would cost one. A longer time refuses requests that would
# fit again.
REFUSAL_CACHE_S = 0.3
MAX_PAGE_WRITES = 3
# Another agent writes the page too; the next one in rank is asked, or the caller again.
CONFLICT_RETRY_AFTER_S = 0.3
SETTLING_CHECK_INTERVAL_S = 0.1

_log = part_logger("budgets")


def owner_sizing(horizon_s):
    """Returns the ``SizingSettings`` of an owner; see its ``horizon_s``."""
    return SizingSettings(
        policy="proportional",
        horizon_s=horizon_s,
        long_horizon_s=LONG_HORIZON_S,
        first_grant_requests=FIRST_GRANT_REQUESTS,
        rate_window_s=RATE_WINDOW_S,
        renew_after_s=RENEW_AFTER_S,
        close_idle_after_s=CLOSE_IDLE_AFTER_S,
    )


@dataclass(frozen=True, slots=True)
class _Refusal:
    """A refusal that applies to the next requests of an account too.

    Attributes:
        until: Time until which it applies.
        tokens: Size of the refused request; smaller ones may fit.
        catalog: The ``Catalog`` at the refusal; a newer one may contain a top-up.
        is_settling: Whether grants could not grow, as the store had returned.
        error_class: Class of the error.
        text: Message of the error.
    """

    until: float
    tokens: int
    catalog: object
    is_settling: bool
    error_class: type
    text: str

    def covers(self, message, catalog, is_settling, now):
        """Returns whether it applies to a request."""
        is_recent = now < self.until and catalog is self.catalog
        is_same = is_settling is self.is_settling
        return is_recent and is_same and message.tokens >= self.tokens


class BudgetOwner:
    """Reserves and settles tokens for the gateways out of this process's grants.

    A grant belongs to one run of the process that holds it. What a killed run had not
    spent is recovered by the next run of the same agent; see ``LostGrantRecovery``.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``; its catalog contains the prepaid tokens.
        handlers: Handlers of the links to gateways; this registers its own.
        links: The ``LinkSet`` of the links to gateways.
        is_deputy: Whether it runs in a gateway, in place of an agent. The unspent
            tokens of a killed deputy are not recovered.
    """

    __slots__ = (
        "_checks",
        "_holder",
        "_noticed",
        "_outage_until",
        "_pages",
        "_prepaid_by_page",
        "_prepaid_catalog",
        "_holder_states",
        "_lost_grants",
        "_lost_runs",
        "_recent_refusals",
        "_refusal_log",
        "_runtime",
        "_returned",
        "_served_runs",
        "_state",
    )

    def __init__(self, runtime, state, handlers, links, *, is_deputy=False):
        self._runtime = runtime
        self._state = state
        pages = runtime.settings.budget_pages
        sizing = owner_sizing(runtime.settings.budget_horizon_s)
        self._holder = GrantHolder(
            runtime.incarnation,
            pages,
            policy=sizing.policy,
            sizing=sizing,
            started_at=runtime.now(),
        )
        self._noticed = NoticedGrants(runtime.incarnation, pages)
        self._returned = anyio.Event()
        teller = GrantTeller(runtime.incarnation, links)
        self._recent_refusals = {}
        self._outage_until = float("-inf")
        self._prepaid_catalog = None
        self._prepaid_by_page = {}
        self._pages = GrantPages(
            runtime,
            tuple,
            self._holder,
            RETIRE_INTERVAL_S,
            self._first_changes,
            teller.tell,
        )
        self._lost_runs = LostRuns()
        self._served_runs = None
        if not is_deputy:
            self._served_runs = ServedRunsWriter(
                runtime, self._holder, links, self._lost_runs
            )
        self._lost_grants = LostGrantRecovery(
            runtime, self._lost_runs, self._pages, links
        )
        self._checks = ReservationChecks(runtime, self._holder, links)
        self._holder_states = HolderStates(links, runtime.now)
        self._refusal_log = RefusalLog(
            runtime, self._holder, self._pages, self._holder_states
        )
        runtime.store.era.add_listener(self._record_return)
        handlers.on(GrantNotice, quick=True)(self._handle_notice)
        handlers.on(ReserveTokens)(self._handle_reserve)
        handlers.on(SettleTokens, quick=True)(self._handle_settle)

    async def run(self):
        """Adjusts the grants to the demand until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._holder_states.run)
            group.start_soon(self._checks.run)
            if self._served_runs is not None:
                group.start_soon(self._served_runs.run)
                group.start_soon(self._lost_grants.run)
            await self._keep_grants()

    async def _keep_grants(self):
        while True:
            await self._restore_noticed()
            await self._pages.keep_grants()
            with anyio.move_on_after(GRANT_CHECK_INTERVAL_S):
                await self._returned.wait()
            self._returned = anyio.Event()

    def _record_return(self, era):
        self._pages.record_return(era)
        self._noticed.record_return(self._runtime.now())
        self._returned.set()
        self._recent_refusals.clear()

    async def _handle_notice(self, link, message):
        del link
        self._noticed.record(message, self._runtime.now())

    async def _restore_noticed(self):
        """Writes the grants of other holders again that gateways know of."""
        for account in sorted(self._noticed.accounts(self._runtime.now())):
            try:
                await self._pages.sync(account)
            except BudgetUnreachable as error:
                _log.info(
                    "Restoring grants after a return failed; trying again.",
                    account=account,
                    error=error.message,
                )

    def _first_changes(self, number, page):
        now = self._runtime.now()
        noticed = self._noticed.changes(number, now)
        lost = self._lost_runs.changes(page, now)
        return noticed + lost + self._credit_changes(number, page)

    async def wait_until_settled(self):
        """Waits until all reservations are settled."""
        while self._holder.has_reservations:
            await anyio.sleep(SETTLING_CHECK_INTERVAL_S)

    async def return_idle_tokens(self):
        """Returns all idle tokens of the grants to their pages."""
        await self._pages.return_idle_tokens()

    async def _handle_reserve(self, link, message):
        self._checks.record_gateway(link)
        if self._served_runs is not None:
            await self._served_runs.ensure_listed(message.router)
        reserved = self._pages.reserve(message)
        if reserved is None:
            ledger = self._holder.ledger(message.account)
            try:
                reserved = await self._reserve_from_page(message, ledger)
            except PistachiowellError as error:
                if not ledger.has_ended(message.reservation_id):
                    self._refusal_log.record(message, error)
                raise
            finally:
                if reserved is None:
                    ledger.cancel(message.reservation_id)
        return TokensReserved(
            message.request_id,
            reserved.grant_id,
            self._runtime.incarnation,
            reserved.tokens,
        )

    async def _handle_settle(self, link, message):
        del link
        self._pages.settle(message)
        return TokensSettled(message.request_id)

    async def _reserve_from_page(self, message, ledger):
        """Reserves out of what the next writes of the page grant.

        A write grants what all waiting requests need, and they get it at once. More
        than one is needed only if the page had been written by others, or if tokens of
        several grants have to be put together.
        """
        self._check_recent_refusals(message)
        for _ in range(MAX_PAGE_WRITES):
            if ledger.has_ended(message.reservation_id):
                # The gateway has given the call up. No later request is affected.
                raise BudgetUnreachable("The reservation was cancelled meanwhile.")
            reserved = await self._sync_for(message)
            if reserved is not None:
                return reserved
            if not self._may_fit(message) and not self._gather(message):
                raise self._record_refusal(message)
        raise OwnerUnready(
            f"Page writes of {message.account} met those of other owners.",
            retry_after_s=CONFLICT_RETRY_AFTER_S,
        )

    async def _sync_for(self, message):
        """Writes the page and returns what was reserved for a request, or None."""
        try:
            await self._sync(message.account)
        except OwnerUnready:
            # A settlement may have released enough tokens meanwhile.
            reserved = self._pages.reserve(message)
            if reserved is None:
                raise
            return reserved
        return self._pages.reserve(message)

    def _may_fit(self, message):
        now = self._runtime.now()
        return self._holder.can_fit(message.account, message.tokens, now)

    def _gather(self, message):
        """Returns idle tokens of all own grants if they and the free ones suffice."""
        page = self._holder.page_of(message.account)
        now = self._runtime.now()
        if self._holder.is_settling(page, now):
            return False
        if not self._holder.can_gather(message.account, message.tokens):
            return False
        self._holder.recall(message.account, now)
        return True

    async def _sync(self, account):
        if self._outage_until > float("-inf"):
            # One request at a time finds out whether the outage is over.
            self._record_outage()
        page = None
        try:
            with anyio.move_on_after(WRITE_TIMEOUT_S):
                page = await self._pages.sync(account)
        except BudgetUnreachable as error:
            raise self._record_outage() from error
        if page is None:
            raise self._record_outage()
        self._outage_until = float("-inf")
        return page

    def _record_outage(self):
        self._outage_until = self._runtime.now() + OUTAGE_CACHE_S
        return OwnerUnready(
            "The store does not answer, and the grants are used up.",
            retry_after_s=OUTAGE_RETRY_AFTER_S,
        )

    def _check_recent_refusals(self, message):
        now = self._runtime.now()
        if now < self._outage_until:
            raise OwnerUnready(
                "The store has not answered, and the grants are used up.",
                retry_after_s=OUTAGE_RETRY_AFTER_S,
            )
        refusal = self._recent_refusals.get(message.account)
        if refusal is None or self._may_fit(message):
            return
        page = self._holder.page_of(message.account)
        is_settling = self._holder.is_settling(page, now)
        if refusal.covers(message, self._state.catalog, is_settling, now):
            raise self._refusal_error(message, refusal)

    def _record_refusal(self, message):
        page = self._pages.page_of(message.account).page
        account = page.accounts.get(message.account, BudgetAccount())
        free = free_tokens(account)
        own = self._holder.ledger(message.account).grants
        elsewhere = unspent_elsewhere(account, own)
        unused = sum(g.amount - g.used_tokens for g in own.values())
        page = self._holder.page_of(message.account)
        is_settling = self._holder.is_settling(page, self._runtime.now())
        if not is_settling and free + elsewhere + unused < message.tokens:
            cls = BudgetExhausted
            text = f"Account {message.account} has not enough tokens left."
        else:
            cls = BudgetUnreachable
            text = (
                f"The rest of the budget of {message.account} is granted or reserved."
            )
        until = self._runtime.now() + REFUSAL_CACHE_S
        refusal = self._recent_refusals[message.account] = _Refusal(
            until, message.tokens, self._state.catalog, is_settling, cls, text
        )
        return self._refusal_error(message, refusal)

    def _refusal_error(self, message, refusal):
        """Returns the error of a refusal, or that a top-up may not be known here."""
        catalog = self._state.catalog
        revision = catalog.revision if catalog else 0
        if revision >= message.catalog_revision:
            return refusal.error_class(refusal.text)
        return OwnerUnready(
            f"Configuration {message.catalog_revision} has not arrived yet.",
            retry_after_s=NO_CONFIGURATION_RETRY_AFTER_S,
        )

    def _credit_changes(self, number, page):
        catalog = self._state.catalog
        if catalog is None:
            return []
        changes = []
        for name, tokens in self._prepaid_of_page(number, catalog):
            known = page.accounts.get(name, BudgetAccount())
            is_newer = catalog.revision > known.credit_revision
            if is_newer and known.credited != tokens:
                changes.append(SetCredit(name, tokens, catalog.revision))
        return changes

    def _prepaid_of_page(self, number, catalog):
        """Returns the names and prepaid tokens of the accounts of a page.

        The accounts are assigned to pages once for each catalog, not at each write.
        """
        if self._prepaid_catalog is not catalog:
            self._prepaid_catalog = catalog
            self._prepaid_by_page = defaultdict(list)
            for name, account in catalog.prepaid_accounts().items():
                page = self._holder.page_of(name)
                self._prepaid_by_page[page].append((name, account.prepaid_tokens))
        return self._prepaid_by_page[number]
