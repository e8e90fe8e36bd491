"""Pays for requests out of grants of the accounts' prepaid budgets."""

from dataclasses import dataclass

import anyio

from pistachiowell.budgets import Holder
from pistachiowell.budgets.page import SetCredit, free_tokens, granted_tokens
from pistachiowell.budgets.sizing import SizingSettings
from pistachiowell.core.errors import BudgetExhausted, BudgetUnreachable
from pistachiowell.core.ids import new_id
from pistachiowell.core.logs import part_logger
from pistachiowell.router.grant_pages import GrantPages
from pistachiowell.schema.generated.objects_budgets import BudgetAccount

SIZING = SizingSettings(
    horizon_s=12.0, first_grant_requests=8, rate_window_s=5.0, renew_after_s=3600.0
)
KEEP_INTERVAL_S = 0.5
RETIRE_INTERVAL_S = 2.0
WRITE_WAIT_S = 0.5
OUTAGE_MEMORY_S = 0.5
OUTAGE_RETRY_S = 2.0
REFUSAL_MEMORY_S = 0.5

_log = part_logger("budgets")


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens set aside for one request.

    Attributes:
        id: Unique id.
        account: Name of the client account.
        tokens: Upper bound of the request's cost.
    """

    id: str
    account: str
    tokens: int


class GatewaySpending:
    """Reserves and settles with this router's own grants.

    A grant lives and dies with the run of the process that holds it: what a killed
    run had not spent stays granted, so nothing can be spent twice.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
    """

    __slots__ = ("_holder", "_lost_until", "_pages", "_refused", "_runtime")
    __slots__ += ("_state",)

    def __init__(self, runtime, state):
        self._runtime = runtime
        self._state = state
        pages = runtime.settings.budget_pages
        self._holder = Holder(runtime.incarnation, pages, sizing=SIZING)
        self._refused = {}
        self._lost_until = float("-inf")
        self._pages = GrantPages(
            runtime, tuple, self._holder, RETIRE_INTERVAL_S, self._credits
        )

    async def run(self):
        """Keeps the grants as large as the demand until cancelled."""
        while True:
            await self._pages.keep_grants()
            await anyio.sleep(KEEP_INTERVAL_S)

    async def give_back(self):
        """Gives all idle tokens back."""
        await self._pages.give_back()

    async def reserve(self, account, tokens):
        """Sets tokens aside.

        Args:
            account: The ``Account``.
            tokens: Upper bound of the request's cost.

        Returns:
            A ``Reservation``; None for an account without a budget.

        Raises:
            BudgetExhausted: The budget is spent.
            BudgetUnreachable: The rest of the budget cannot be had now.
        """
        if account is None or account.prepaid_tokens is None or not tokens:
            return None
        reservation = Reservation(new_id("reservation"), account.name, tokens)
        if self._try(reservation):
            return reservation
        self._check_refusal(reservation)
        page = await self._sync(reservation)
        if self._try(reservation):
            return reservation
        self._holder.ledger(account.name).give_up(reservation.id)
        raise self._refusal(reservation, page)

    def settle(self, reservation, used_tokens):
        """Books the end of a request.

        Args:
            reservation: The ``Reservation``, or None.
            used_tokens: Upper bound of what it has used.
        """
        if reservation is not None:
            self._holder.settle(
                reservation.account,
                reservation.id,
                self._runtime.incarnation,
                used_tokens,
                self._runtime.now(),
            )

    def _try(self, reservation):
        reserved = self._holder.reserve(
            reservation.account,
            reservation.id,
            self._runtime.incarnation,
            reservation.tokens,
            self._runtime.now(),
        )
        return reserved is not None

    async def _sync(self, reservation):
        """Reads the account's page and writes what is planned for it.

        Returns:
            The ``BudgetPage``; None if the store did not answer in time.
        """
        page = None
        try:
            with anyio.move_on_after(WRITE_WAIT_S):
                page = await self._pages.sync(reservation.account)
        except BaseException as error:
            self._holder.ledger(reservation.account).give_up(reservation.id)
            if isinstance(error, BudgetUnreachable):
                self._note_outage()
                error.retry_after_s = OUTAGE_RETRY_S
            raise
        if page is None:
            self._note_outage()
        return page

    def _note_outage(self):
        self._lost_until = self._runtime.now() + OUTAGE_MEMORY_S

    def _check_refusal(self, reservation):
        if self._runtime.now() < self._lost_until:
            self._holder.ledger(reservation.account).give_up(reservation.id)
            raise BudgetUnreachable(
                "The store does not answer, and the grants are used up.",
                retry_after_s=OUTAGE_RETRY_S,
            )
        refused = self._refused.get(reservation.account)
        if refused is None:
            return
        until, tokens, error = refused
        if self._runtime.now() < until and reservation.tokens >= tokens:
            self._holder.ledger(reservation.account).give_up(reservation.id)
            raise type(error)(error.message, retry_after_s=error.retry_after_s)

    def _refusal(self, reservation, page):
        if page is None:
            return BudgetUnreachable(
                "The store did not answer in time.", retry_after_s=OUTAGE_RETRY_S
            )
        account = page.accounts.get(reservation.account, BudgetAccount())
        free, granted = free_tokens(account), granted_tokens(account)
        if free + granted < reservation.tokens:
            error = BudgetExhausted(
                f"Account {reservation.account} has {max(0, free + granted)} tokens"
                f" left; the request may need {reservation.tokens}."
            )
        else:
            error = BudgetUnreachable(
                f"The rest of the budget of {reservation.account} is set aside."
            )
        now = self._runtime.now()
        until = now + REFUSAL_MEMORY_S
        self._refused[reservation.account] = (until, reservation.tokens, error)
        _log.warning(
            "Account refused.",
            account=reservation.account,
            code=str(error.code),
            tokens=reservation.tokens,
            free=free,
            granted=granted,
            credited=account.credited,
            closed=account.closed,
        )
        return error

    def _credits(self, number, page):
        catalog = self._state.catalog
        if catalog is None:
            return []
        changes = []
        for name, account in catalog.prepaid_accounts().items():
            if self._holder.page_of(name) != number:
                continue
            known = page.accounts.get(name, BudgetAccount())
            is_newer = catalog.revision > known.credit_revision
            if is_newer and known.credited != account.prepaid_tokens:
                tokens = account.prepaid_tokens
                changes.append(SetCredit(name, tokens, catalog.revision))
        return changes
