"""Reserves and settles tokens of prepaid budgets."""

import anyio

from pistachiowell.budgets import GrantHolder, choose_owner
from pistachiowell.budgets.page import page_name as name_of_page
from pistachiowell.budgets.page import page_number
from pistachiowell.budgets.page_owner import refusal_is_final
from pistachiowell.core.errors import (
    BudgetExhausted,
    BudgetUnreachable,
    LinkLost,
    LinkTimeout,
    error_class,
)
from pistachiowell.core.events import EventKind
from pistachiowell.core.ids import new_id
from pistachiowell.core.logs import part_logger
from pistachiowell.router.grant_pages import GrantPages
from pistachiowell.router.outcomes import Outcomes
from pistachiowell.router.reservation import Reservation
from pistachiowell.router.settlements import CALL_TIMEOUT_S, Settlements
from pistachiowell.schema.generated.messages_budgets import (
    RecallTokens,
    ReserveTokens,
    SettleTokens,
    TokensRecalled,
    TokensReserved,
    TokensSettled,
)
from pistachiowell.schema.generated.objects_budgets import BudgetAccount

TICK_S = 0.5
REFUSAL_KEPT_S = 0.2

_log = part_logger("budgets")


class Spending:
    """Reserves at the home router of an account, or under a grant of its own.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
        handlers: Handlers of the links between routers; this adds its own.
        journal: The ``Journal``.
    """

    __slots__ = (
        "_fleet",
        "_holder",
        "_journal",
        "_outcomes",
        "_pages",
        "_refusals",
        "_runtime",
        "_settlements",
    )

    def __init__(self, runtime, fleet, handlers, journal):
        self._runtime = runtime
        self._journal = journal
        self._outcomes = Outcomes(runtime, fleet)
        self._fleet = fleet
        self._holder = GrantHolder(runtime.incarnation, runtime.settings.budget_pages)
        self._pages = GrantPages(runtime, fleet.agents.values, self._holder)
        self._refusals = {}
        self._settlements = Settlements(fleet.router_of, fleet.routers.values)
        handlers.on(ReserveTokens)(self._take_reserve)
        handlers.on(SettleTokens)(self._take_settle)
        handlers.on(RecallTokens)(self._take_recall)

    @property
    def holder(self):
        """The ``GrantHolder`` of this router's grants."""
        return self._holder

    async def reserve(self, account, request_id, tokens):
        """Reserves the upper bound of a request.

        Args:
            account: Client account that pays.
            request_id: The request.
            tokens: Upper bound in tokens.

        Returns:
            A ``Reservation``.

        Raises:
            BudgetExhausted: The budget is spent.
            BudgetUnreachable: Neither the store nor the routers that hold what is
                left of the budget answer.
        """
        call = ReserveTokens(
            account,
            request_id,
            tokens,
            reservation_id=new_id("reservation"),
            router=self._runtime.incarnation,
        )
        reply = await self._reserve_at_home(call)
        if reply is None:
            reply = await self._reserve_here(call)
        return Reservation.granted(call, reply)

    def end(self, reservation, used_tokens, agents=()):
        """Settles and bills a reservation, once its use is known.

        Args:
            reservation: The ``Reservation``.
            used_tokens: Tokens used; None if the agents have to be asked.
            agents: Incarnations of the agents that may have run the attempt.
        """
        if used_tokens is None:
            self._outcomes.add(reservation, agents)
            return
        self.settle(reservation, used_tokens)
        if used_tokens:
            self._journal.add(reservation, used_tokens)

    def settle(self, reservation, used_tokens):
        """Books the end of a reservation; the unused part returns to the grant.

        Args:
            reservation: The ``Reservation``.
            used_tokens: Tokens that the attempt used.
        """
        message = reservation.settlement(used_tokens)
        if reservation.holder == self._holder.incarnation:
            self._pages.settle(message)
        elif reservation.router == self._holder.incarnation:
            self._settlements.add(reservation.holder, message)

    async def run(self):
        """Sends settlements and keeps the grants in shape until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._settlements.run)
            group.start_soon(self._outcomes.run, self.end)
            while True:
                await anyio.sleep(TICK_S)
                await self._pages.keep_grants()

    def renew(self):
        """Starts anew under the process's new incarnation, without grants."""
        pages = self._runtime.settings.budget_pages
        self._holder = GrantHolder(self._runtime.incarnation, pages)
        self._pages = GrantPages(self._runtime, self._fleet.agents.values, self._holder)
        self._settlements.clear()
        self._refusals.clear()

    async def give_back(self):
        """Gives all idle tokens back before the router stops."""
        await self._pages.give_back()

    async def _reserve_at_home(self, call):
        peer = self._home(call.account)
        if peer is None:
            return None
        try:
            reply = await peer.link.call(call, CALL_TIMEOUT_S)
        except (LinkLost, LinkTimeout):
            self._settlements.give_up(peer.record.incarnation, call)
            return None
        except anyio.get_cancelled_exc_class():
            # The caller has left; the home router may have reserved all the same.
            self._settlements.give_up(peer.record.incarnation, call)
            raise
        if isinstance(reply, TokensReserved):
            return reply
        error = error_class(reply.code)
        if error in (BudgetExhausted, BudgetUnreachable):
            raise error(reply.message)
        self._settlements.give_up(peer.record.incarnation, call)
        return None

    def _home(self, account):
        """Returns the peer that is home of an account; None if this router is."""
        settings = self._runtime.settings
        peers = {
            name: peer
            for name, peer in self._fleet.routers.items()
            if peer.usable and peer.record.data_centre == settings.data_centre
        }
        number = page_number(account, settings.budget_pages)
        return peers.get(choose_owner(number, [*peers, settings.id]))

    async def _reserve_here(self, call):
        held = self._pages.reserve(call)
        if held is None:
            try:
                held = await self._reserve_from_page(call)
            except BudgetUnreachable:
                held = self._pages.reserve(call)
                if held is None:
                    self._holder.ledger(call.account).cancel(call.reservation_id)
                    raise
        if held is None:
            raise self._refuse(call)
        return TokensReserved(
            call.request_id,
            held.grant_id,
            self._holder.incarnation,
            held.tokens,
            held.page_version,
        )

    async def _reserve_from_page(self, call):
        if self._was_refused(call):
            return self._pages.reserve(call)
        await self._pages.sync(call.account)
        held = self._pages.reserve(call)
        if held is not None:
            return held
        unreachable = await self._recall_from_others(call.account)
        self._holder.recall(call.account, self._runtime.now())
        page = await self._pages.sync(call.account)
        held = self._pages.reserve(call)
        if held is None:
            budget = page.accounts.get(call.account, BudgetAccount())
            final = refusal_is_final(budget, call.tokens, 0, unreachable)
            self._note_refusal(call, BudgetExhausted if final else BudgetUnreachable)
        return held

    def _was_refused(self, call):
        until, tokens, _ = self._refusals.get(call.account, (0.0, 0, None))
        return self._runtime.now() < until and call.tokens >= tokens

    def _note_refusal(self, call, error):
        until = self._runtime.now() + REFUSAL_KEPT_S
        self._refusals[call.account] = (until, call.tokens, error)

    def _refuse(self, call):
        self._holder.ledger(call.account).cancel(call.reservation_id)
        error = self._refusals.get(call.account, (0, 0, BudgetUnreachable))[2]
        if error is BudgetExhausted:
            self._runtime.events.add(
                EventKind.budget_exhausted,
                request=call.request_id,
                account=call.account,
            )
        self._runtime.metrics.count(f"budgets.refused.{error.code.value}")
        return error(f"Account {call.account} has no {call.tokens} tokens left.")

    async def _recall_from_others(self, account):
        """Asks the other holders to give back; returns those that did not answer."""
        page = self._pages.page_of(account).page
        budget = page.accounts.get(account, BudgetAccount())
        holders = {g.holder for g in budget.grants.values() if not g.sealing}
        holders.discard(self._holder.incarnation)
        unreachable = set()

        async def recall(holder):
            peer = self._fleet.router_of(holder)
            try:
                if peer is None:
                    raise LinkLost("There is no link to the holder.")
                reply = await peer.link.call(RecallTokens(account), CALL_TIMEOUT_S)
            except (LinkLost, LinkTimeout):
                reply = None
            if not isinstance(reply, TokensRecalled):
                unreachable.add(holder)

        async with anyio.create_task_group() as group:
            for holder in holders:
                group.start_soon(recall, holder)
        return unreachable

    async def _take_reserve(self, link, message):
        return await self._reserve_here(message)

    async def _take_settle(self, link, message):
        self._pages.settle(message)
        return TokensSettled(message.request_id)

    async def _take_recall(self, link, message):
        self._holder.recall(message.account, self._runtime.now())
        await self._pages.sync(message.account)
        return TokensRecalled(message.account)


def page_name(account, page_count):
    """Returns the name of the budget page of an account."""
    return name_of_page(page_number(account, page_count))
