"""Reserves and settles tokens at the agents that own the budget pages."""

from pistachiowell.budgets.grant_uses import GrantUses
from pistachiowell.budgets.page import page_number
from pistachiowell.core.errors import (
    BudgetUnreachable,
    LinkLost,
    LinkTimeout,
    OwnerUnready,
    error_class,
)
from pistachiowell.core.ids import new_id
from pistachiowell.gateway.common import ranked_agents
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

    If the owner does not answer or cannot tell what is left, the agent that ranks next
    for the page is asked, which reserves from grants of its own. An agent that is lost,
    or cut off from the store, thus blocks no accounts.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        state: The ``GatewayState``; its catalog contains the accounts.
        is_cut_from_store: Function that returns whether an agent, which is given by its
            name, has reported that the store does not answer it.
    """

    __slots__ = (
        "_fleet",
        "_is_cut_from_store",
        "_open",
        "_runtime",
        "_settlements",
        "_state",
        "_uses",
    )

    def __init__(self, runtime, fleet, state, is_cut_from_store):
        self._runtime = runtime
        self._fleet = fleet
        self._state = state
        self._is_cut_from_store = is_cut_from_store
        self._open = set()
        self._uses = GrantUses()
        self._settlements = Settlements(fleet.linked_agent_of, fleet.agents.values)

    @property
    def uses(self):
        """The ``GrantUses`` of this gateway."""
        return self._uses

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
            BudgetUnreachable: No owner answers, or none can tell whether the budget is
                spent.
        """
        if account is None or account.prepaid_tokens is None or not tokens:
            return None
        call = ReserveTokens(
            account.name,
            request_id,
            tokens,
            reservation_id=new_id("reservation"),
            router=self._runtime.incarnation,
            catalog_revision=self._state.catalog.revision,
        )
        last_error = None
        for peer in self._owners(account.name):
            if isinstance(last_error, OwnerUnready) and self._is_cut_from_store(
                peer.record.id
            ):
                # It would find the store away too, and the caller would wait for it.
                continue
            try:
                return await self._reserve_at(peer, call)
            except (LinkLost, LinkTimeout, OwnerUnready) as error:
                last_error = error
        raise _no_owner(account.name, last_error) from last_error

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
        self._uses.settle(
            reservation.holder, reservation.reservation_id, message.used_tokens
        )
        self._open.discard((reservation.holder, reservation.reservation_id))

    def is_open(self, holder, reservation_id):
        """Returns whether a reservation is requested, used or going to be settled.

        Args:
            holder: Incarnation of the process that holds the grant.
            reservation_id: Id of the reservation.
        """
        key = (holder, reservation_id)
        return key in self._open or self._settlements.is_pending(*key)

    def owner_names(self, account):
        """Returns the ids of the agents that would be asked, in their order.

        Args:
            account: Name of the account.
        """
        return [peer.record.id for peer in self._owners(account)]

    def _owners(self, account):
        page = page_number(account, self._runtime.settings.budget_pages)
        return ranked_agents(self._fleet, page)[:MAX_OWNERS]

    async def _reserve_at(self, peer, call):
        holder, link = peer.record.incarnation, peer.link
        if link is None:
            raise LinkLost(f"The link to {peer.record.id} was lost meanwhile.")
        key = (holder, call.reservation_id)
        self._open.add(key)
        try:
            reply = await link.call(call, CALL_TIMEOUT_S)
        except BaseException:
            # The owner may have reserved the tokens although its answer was lost. The
            # reservation is cancelled, or the tokens would stay reserved.
            self._settlements.cancel_reservation(holder, call)
            self._open.discard(key)
            raise
        if not isinstance(reply, TokensReserved):
            self._open.discard(key)
            error = error_class(reply.code)
            raise error(reply.message, retry_after_s=reply.retry_after_s)
        reservation = Reservation.from_reply(call, reply)
        if not self._uses.reserve(
            reservation.holder, reply.grant_id, call.reservation_id, reply.tokens
        ):
            self._settlements.cancel_reservation(holder, call)
            self._open.discard(key)
            raise LinkLost(f"A newer run has replaced {peer.record.id}.")
        return reservation


def _no_owner(account, last_error):
    if isinstance(last_error, OwnerUnready):
        text, retry_after_s = last_error.message, last_error.retry_after_s
    else:
        text, retry_after_s = "no answer", NO_OWNER_RETRY_AFTER_S
    return BudgetUnreachable(
        f"No agent can reserve tokens of {account}: {text}", retry_after_s=retry_after_s
    )
