"""Reserves and settles tokens of prepaid budgets."""

import anyio

from pistachiowell.budgets import GrantHolder, choose_owner
from pistachiowell.budgets.page import page_name as name_of_page
from pistachiowell.budgets.page import page_number
from pistachiowell.budgets.page_owner import refusal_is_final
from pistachiowell.budgets.sizing import SizingSettings
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
from pistachiowell.router.outcomes import OutcomeResolver
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

GRANT_CHECK_INTERVAL_S = 0.5
REFUSAL_CACHE_S = 0.2
_SIZING = SizingSettings(kept_requests=4)

_log = part_logger("budgets")


class Spending:
    """Reserves tokens at the owner router of a page, or under a grant of its own.

    Reserving at the owner keeps most of the account's budget in one grant. If the
    owner is not reachable, this router reserves under a grant that it holds itself,
    so the loss of one router does not stop the account's traffic. The budget page in
    the store bounds the sum of all grants, so a budget cannot be spent twice.

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
        "_recent_refusals",
        "_runtime",
        "_settlements",
    )

    def __init__(self, runtime, fleet, handlers, journal):
        self._runtime = runtime
        self._journal = journal
        self._outcomes = OutcomeResolver(runtime, fleet)
        self._fleet = fleet
        pages = runtime.settings.budget_pages
        self._holder = GrantHolder(runtime.incarnation, pages, sizing=_SIZING)
        self._pages = GrantPages(runtime, fleet.agents.values, self._holder)
        self._recent_refusals = {}
        self._settlements = Settlements(fleet.router_of, fleet.routers.values)
        handlers.on(ReserveTokens)(self._handle_reserve)
        handlers.on(SettleTokens)(self._handle_settle)
        handlers.on(RecallTokens)(self._handle_recall)

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
            BudgetUnreachable: The store, or a router that holds a part of the
                remaining budget, does not answer.
        """
        call = ReserveTokens(
            account,
            request_id,
            tokens,
            reservation_id=new_id("reservation"),
            router=self._runtime.incarnation,
        )
        reply = await self._reserve_at_owner(call)
        if reply is None:
            reply = await self._reserve_locally(call)
        return Reservation.from_reply(call, reply)

    def close_reservation(self, reservation, used_tokens, agents=()):
        """Settles and bills a reservation as soon as its usage is known.

        Args:
            reservation: The ``Reservation``.
            used_tokens: Tokens used; None if the usage has to be requested from the
                agents.
            agents: Incarnations of the agents that may have run the attempt.
        """
        if used_tokens is None:
            self._outcomes.add(reservation, agents)
            return
        self.settle(reservation, used_tokens)
        if used_tokens:
            self._journal.add(reservation, used_tokens)

    def settle(self, reservation, used_tokens):
        """Settles a reservation; its unused part returns to the grant.

        Reservations of an earlier, fenced incarnation are skipped: the recovery of
        that incarnation settles them from the agents' sums.

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
        """Sends settlements and resizes the grants until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._settlements.run)
            group.start_soon(self._outcomes.run, self.close_reservation)
            while True:
                await anyio.sleep(GRANT_CHECK_INTERVAL_S)
                await self._pages.keep_grants()

    def reset(self):
        """Discards all state of the fenced incarnation.

        The router then reserves under the process's new incarnation, which holds no
        grants yet. Pending settlements are discarded too, as the recovery of the old
        incarnation settles its reservations from the agents' sums.
        """
        pages = self._runtime.settings.budget_pages
        self._holder = GrantHolder(self._runtime.incarnation, pages, sizing=_SIZING)
        self._pages = GrantPages(self._runtime, self._fleet.agents.values, self._holder)
        self._settlements.clear()
        self._recent_refusals.clear()

    async def return_idle_tokens(self):
        """Returns all idle tokens to their budget pages before the router stops."""
        await self._pages.return_idle_tokens()

    async def _reserve_at_owner(self, call):
        peer = self._owner_peer(call.account)
        if peer is None:
            return None
        try:
            reply = await peer.link.call(call, CALL_TIMEOUT_S)
        except (LinkLost, LinkTimeout):
            self._settlements.cancel_reservation(peer.record.incarnation, call)
            return None
        except anyio.get_cancelled_exc_class():
            # The caller disconnected, but the owner may still make the reservation.
            # Without the cancellation its tokens would stay reserved.
            self._settlements.cancel_reservation(peer.record.incarnation, call)
            raise
        if isinstance(reply, TokensReserved):
            return reply
        error = error_class(reply.code)
        if error in (BudgetExhausted, BudgetUnreachable):
            raise error(reply.message)
        self._settlements.cancel_reservation(peer.record.incarnation, call)
        return None

    def _owner_peer(self, account):
        """Returns the ``Peer`` that owns an account's page; None for this router."""
        settings = self._runtime.settings
        peers = {
            name: peer
            for name, peer in self._fleet.routers.items()
            if peer.usable and peer.record.data_centre == settings.data_centre
        }
        number = page_number(account, settings.budget_pages)
        return peers.get(choose_owner(number, [*peers, settings.id]))

    async def _reserve_locally(self, call):
        """Reserves under a grant of this router, as the owner or as a fallback.

        If the store does not answer, the grant is tried once more, as settlements may
        have released tokens in the meantime.
        """
        reserved = self._pages.reserve(call)
        if reserved is None:
            try:
                reserved = await self._reserve_from_page(call)
            except BudgetUnreachable:
                reserved = self._pages.reserve(call)
                if reserved is None:
                    self._holder.ledger(call.account).cancel(call.reservation_id)
                    raise
            except anyio.get_cancelled_exc_class():
                self._end_own_reservation(call)
                raise
        if reserved is None:
            raise self._refusal_error(call)
        return TokensReserved(
            call.request_id,
            reserved.grant_id,
            self._holder.incarnation,
            reserved.tokens,
            reserved.page_version,
        )

    def _end_own_reservation(self, call):
        """Ends a reservation whose caller has left while it waited.

        Routers that called this one end theirs themselves.
        """
        if call.router == self._holder.incarnation:
            ledger = self._holder.ledger(call.account)
            now = self._runtime.now()
            ledger.settle(call.reservation_id, call.router, 0, now)

    async def _reserve_from_page(self, call):
        """Reserves after growing the grant from the budget page.

        Idle tokens of other holders are recalled only if the page has too few free
        ones. A refusal is cached for ``REFUSAL_CACHE_S``, so that the requests of an
        exhausted account do not each write the page and call all holders.
        """
        if self._is_refusal_cached(call):
            return self._pages.reserve(call)
        await self._pages.sync(call.account)
        reserved = self._pages.reserve(call)
        if reserved is not None:
            return reserved
        unreachable = await self._recall_from_others(call.account)
        self._holder.recall(call.account, self._runtime.now())
        page = await self._pages.sync(call.account)
        reserved = self._pages.reserve(call)
        if reserved is None:
            budget = page.accounts.get(call.account, BudgetAccount())
            final = refusal_is_final(budget, call.tokens, 0, unreachable)
            self._record_refusal(call, BudgetExhausted if final else BudgetUnreachable)
        return reserved

    def _is_refusal_cached(self, call):
        until, tokens, _ = self._recent_refusals.get(call.account, (0.0, 0, None))
        return self._runtime.now() < until and call.tokens >= tokens

    def _record_refusal(self, call, error):
        until = self._runtime.now() + REFUSAL_CACHE_S
        self._recent_refusals[call.account] = (until, call.tokens, error)

    def _refusal_error(self, call):
        self._holder.ledger(call.account).cancel(call.reservation_id)
        error = self._recent_refusals.get(call.account, (0, 0, BudgetUnreachable))[2]
        if error is BudgetExhausted:
            self._runtime.events.add(
                EventKind.budget_exhausted,
                request=call.request_id,
                account=call.account,
            )
        self._runtime.metrics.count(f"budgets.refused.{error.code.value}")
        return error(
            f"Account {call.account} has fewer than {call.tokens} tokens available."
        )

    async def _recall_from_others(self, account):
        """Recalls the idle tokens of an account's other holders.

        Returns:
            Incarnations of the holders that did not answer; the budget may still have
            tokens there.
        """
        page = self._pages.page_of(account).page
        budget = page.accounts.get(account, BudgetAccount())
        holders = {g.holder for g in budget.grants.values() if not g.sealing}
        holders.discard(self._holder.incarnation)
        unreachable = set()

        async def recall(holder):
            peer = self._fleet.router_of(holder)
            try:
                if peer is None:
                    raise LinkLost("No link to the holder of the grant is open.")
                call = RecallTokens(account, holder)
                reply = await peer.link.call(call, CALL_TIMEOUT_S)
            except (LinkLost, LinkTimeout):
                reply = None
            if not isinstance(reply, TokensRecalled):
                unreachable.add(holder)

        async with anyio.create_task_group() as group:
            for holder in holders:
                group.start_soon(recall, holder)
        return unreachable

    async def _handle_reserve(self, link, message):
        return await self._reserve_locally(message)

    async def _handle_settle(self, link, message):
        self._pages.settle(message)
        return TokensSettled(message.request_id)

    async def _handle_recall(self, link, message):
        """Returns the idle tokens of an account's grants to its page.

        A fenced incarnation writes no page, and a later one does not hold its grants.
        Confirming the recall nevertheless would make the owner refuse requests as if
        the budget were spent.
        """
        holder = self._holder
        holder.recall(message.account, self._runtime.now())
        await self._pages.sync(message.account)
        if holder.fenced or message.holder not in {"", holder.incarnation}:
            raise BudgetUnreachable("The grants belong to a fenced incarnation.")
        return TokensRecalled(message.account)


def page_name(account, page_count):
    """Returns the name of the budget page of an account."""
    return name_of_page(page_number(account, page_count))
