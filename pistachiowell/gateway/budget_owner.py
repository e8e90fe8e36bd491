"""The budgets that an agent keeps for the gateways.

An agent stands beside a backend server and loses neither the store nor the gateways
when the entry VMs are cut off from both, so the grants are held there and not in the
gateways. One agent is home of a budget page; another takes over with grants of its own
when the home is lost.
"""

from collections import defaultdict
from dataclasses import dataclass

import anyio

from pistachiowell.budgets import Holder
from pistachiowell.budgets.page import (
    SetCredit,
    free_tokens,
    granted_tokens,
    unspent_elsewhere,
)
from pistachiowell.budgets.sizing import SizingSettings
from pistachiowell.core.errors import BudgetExhausted, BudgetUnreachable
from pistachiowell.core.logs import part_logger
from pistachiowell.router.grant_pages import GrantPages
from pistachiowell.schema.generated.messages_budgets import (
    ReserveTokens,
    SettleTokens,
    TokensReserved,
    TokensSettled,
)
from pistachiowell.schema.generated.objects_budgets import BudgetAccount

FIRST_GRANT_REQUESTS = 4
RATE_WINDOW_S = 5.0
RENEW_AFTER_S = 3600.0
CLOSE_IDLE_AFTER_S = 4.0
KEEP_INTERVAL_S = 0.5
RETIRE_INTERVAL_S = 2.0
WRITE_WAIT_S = 0.5
OUTAGE_MEMORY_S = 0.5
OUTAGE_RETRY_S = 1.5
REFUSAL_MEMORY_S = 0.3
MAX_SYNCS = 3

_log = part_logger("budgets")


@dataclass(frozen=True, slots=True)
class _Refusal:
    """A refusal that holds for the next requests of an account.

    Attributes:
        until: Time until which it holds.
        tokens: Size of the refused request; smaller ones may fit.
        catalog: The ``Catalog`` of the refusal; a newer one may pay for more.
        error_class: Class of the error.
        text: Message of the error.
    """

    until: float
    tokens: int
    catalog: object
    error_class: type
    text: str

    def covers(self, message, catalog, now):
        """Tells whether it refuses a request too."""
        is_recent = now < self.until and catalog is self.catalog
        return is_recent and message.tokens >= self.tokens


class BudgetOwner:
    """Reserves and settles for the gateways, out of this process's grants.

    A grant lives and dies with the run of the process that holds it: what a killed
    run had not spent stays granted, so nothing can be spent twice.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``; its catalog says what was paid for.
        handlers: Handlers of the links to gateways; this adds its own.
    """

    __slots__ = (
        "_holder",
        "_lost_until",
        "_pages",
        "_paid",
        "_paid_by",
        "_refusals",
        "_runtime",
        "_state",
    )

    def __init__(self, runtime, state, handlers):
        self._runtime = runtime
        self._state = state
        pages = runtime.settings.budget_pages
        sizing = SizingSettings(
            policy="tapering",
            horizon_s=runtime.settings.budget_horizon_s,
            first_grant_requests=FIRST_GRANT_REQUESTS,
            rate_window_s=RATE_WINDOW_S,
            renew_after_s=RENEW_AFTER_S,
            close_idle_after_s=CLOSE_IDLE_AFTER_S,
        )
        self._holder = Holder(
            runtime.incarnation, pages, policy=sizing.policy, sizing=sizing
        )
        self._refusals = {}
        self._lost_until = float("-inf")
        self._paid_by = None
        self._paid = {}
        self._pages = GrantPages(
            runtime, tuple, self._holder, RETIRE_INTERVAL_S, self._credits
        )
        handlers.on(ReserveTokens)(self._take_reserve)
        handlers.on(SettleTokens, quick=True)(self._take_settle)

    async def run(self):
        """Keeps the grants as large as the demand until cancelled."""
        while True:
            await self._pages.keep_grants()
            await anyio.sleep(KEEP_INTERVAL_S)

    async def return_idle_tokens(self):
        """Returns all idle tokens of the grants to their pages."""
        await self._pages.give_back()

    async def _take_reserve(self, link, message):
        del link
        held = self._pages.reserve(message)
        if held is None:
            try:
                held = await self._reserve_from_page(message)
            finally:
                if held is None:
                    ledger = self._holder.ledger(message.account)
                    ledger.give_up(message.reservation_id)
        return TokensReserved(
            message.request_id, held.grant_id, self._runtime.incarnation, held.tokens
        )

    async def _take_settle(self, link, message):
        del link
        self._pages.settle(message)
        return TokensSettled(message.request_id)

    async def _reserve_from_page(self, message):
        self._check_refusals(message)
        for _ in range(MAX_SYNCS):
            page = await self._sync(message.account)
            held = self._pages.reserve(message)
            if held is not None:
                return held
            account = page.accounts.get(message.account, BudgetAccount())
            # A request that came meanwhile may have taken what this one asked for.
            if free_tokens(account) < message.tokens:
                break
        raise self._refusal(message, account)

    async def _sync(self, account):
        page = None
        try:
            with anyio.move_on_after(WRITE_WAIT_S):
                page = await self._pages.sync(account)
        except BudgetUnreachable as error:
            raise self._outage() from error
        if page is None:
            raise self._outage()
        return page

    def _outage(self):
        self._lost_until = self._runtime.now() + OUTAGE_MEMORY_S
        return BudgetUnreachable(
            "The store does not answer, and the grants are used up.",
            retry_after_s=OUTAGE_RETRY_S,
        )

    def _check_refusals(self, message):
        now = self._runtime.now()
        if now < self._lost_until:
            raise BudgetUnreachable(
                "The store has not answered, and the grants are used up.",
                retry_after_s=OUTAGE_RETRY_S,
            )
        refusal = self._refusals.get(message.account)
        if refusal is not None and refusal.covers(message, self._state.catalog, now):
            raise refusal.error_class(refusal.text)

    def _refusal(self, message, account):
        free, granted = free_tokens(account), granted_tokens(account)
        own = self._holder.ledger(message.account).grants
        elsewhere = unspent_elsewhere(account, own)
        unused = sum(g.amount - g.used_tokens for g in own.values())
        if free + elsewhere + unused < message.tokens:
            cls = BudgetExhausted
            text = f"Account {message.account} has not enough tokens left."
        else:
            cls = BudgetUnreachable
            text = f"The rest of the budget of {message.account} is set aside."
        until = self._runtime.now() + REFUSAL_MEMORY_S
        self._refusals[message.account] = _Refusal(
            until, message.tokens, self._state.catalog, cls, text
        )
        _log.warning(
            "Account refused.",
            request=message.request_id,
            account=message.account,
            code=str(cls.code),
            tokens=message.tokens,
            free=free,
            granted=granted,
            elsewhere=elsewhere,
            unused=unused,
            credited=account.credited,
            closed=account.closed,
        )
        return cls(text)

    def _credits(self, number, page):
        catalog = self._state.catalog
        if catalog is None:
            return []
        changes = []
        for name, tokens in self._paid_of_page(number, catalog):
            known = page.accounts.get(name, BudgetAccount())
            is_newer = catalog.revision > known.credit_revision
            if is_newer and known.credited != tokens:
                changes.append(SetCredit(name, tokens, catalog.revision))
        return changes

    def _paid_of_page(self, number, catalog):
        """Returns names and prepaid tokens; sorted to pages once for each catalog."""
        if self._paid_by is not catalog:
            self._paid_by = catalog
            self._paid = defaultdict(list)
            for name, account in catalog.prepaid_accounts().items():
                page = self._holder.page_of(name)
                self._paid[page].append((name, account.prepaid_tokens))
        return self._paid[number]
