"""Reserves and settles tokens at the agents that own the budget pages."""

from pistachiowell.budgets.page import page_number
from pistachiowell.core.errors import (
    BudgetUnreachable,
    LinkLost,
    LinkTimeout,
    PistachiowellError,
    error_class,
)
from pistachiowell.core.ids import new_id
from pistachiowell.gateway.ranked_agents import ranked_agents
from pistachiowell.router.reservation import Reservation
from pistachiowell.router.settlements import Settlements
from pistachiowell.schema.generated.messages_budgets import (
    ReserveTokens,
    TokensReserved,
)

CALL_TIMEOUT_S = 0.8
MAX_OWNERS = 3
NO_OWNER_RETRY_AFTER_S = 1.0


class GatewaySpending:
    """Reserves tokens at the owner agent of an account's page, and settles them there.

    If the owner does not answer, the agent that ranks next for the page is asked, which
    reserves from grants of its own. The loss of an agent thus blocks no accounts.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
    """

    __slots__ = ("_fleet", "_runtime", "_settlements")

    def __init__(self, runtime, fleet):
        self._runtime = runtime
        self._fleet = fleet
        self._settlements = Settlements(fleet.linked_agent_of, fleet.agents.values)

    async def run(self):
        """Sends settlements until cancelled."""
        await self._settlements.run()

    async def reserve(self, account, request_id, tokens):
        """Reserves tokens for a request.

        Args:
            account: The ``Account``; None on a public route.
            request_id: Id of the request.
            tokens: Upper bound of the request's cost.

        Returns:
            A ``Reservation``; None for an account without a budget.

        Raises:
            BudgetExhausted: The budget is spent.
            BudgetUnreachable: No owner answers, or the owner cannot tell whether the
                budget is spent.
        """
        if account is None or account.prepaid_tokens is None or not tokens:
            return None
        call = ReserveTokens(
            account.name,
            request_id,
            tokens,
            reservation_id=new_id("reservation"),
            router=self._runtime.incarnation,
        )
        last_error = None
        for peer in self._owners(account.name):
            try:
                return await self._reserve_at(peer, call)
            except PistachiowellError as error:
                last_error = error
                if not isinstance(error, LinkLost | LinkTimeout):
                    break
        if last_error is None or isinstance(last_error, LinkLost | LinkTimeout):
            raise BudgetUnreachable(
                f"No agent answers for the budget of {account.name}.",
                retry_after_s=NO_OWNER_RETRY_AFTER_S,
            ) from last_error
        raise last_error

    def settle(self, reservation, used_tokens):
        """Queues the settlement of a reservation at the end of its request.

        Args:
            reservation: The ``Reservation``, or None.
            used_tokens: Upper bound of the tokens that the request has used.
        """
        if reservation is None:
            return
        message = reservation.settlement(used_tokens)
        self._settlements.add(reservation.holder, message)

    def _owners(self, account):
        page = page_number(account, self._runtime.settings.budget_pages)
        return ranked_agents(self._fleet, page)[:MAX_OWNERS]

    async def _reserve_at(self, peer, call):
        holder = peer.record.incarnation
        try:
            reply = await peer.link.call(call, CALL_TIMEOUT_S)
        except BaseException:
            # The owner may have reserved the tokens although its answer was lost. The
            # reservation is cancelled, or the tokens would stay reserved.
            self._settlements.cancel_reservation(holder, call)
            raise
        if not isinstance(reply, TokensReserved):
            error = error_class(reply.code)
            raise error(reply.message, retry_after_s=reply.retry_after_s)
        return Reservation.from_reply(call, reply)
