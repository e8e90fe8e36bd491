"""Ends reservations whose gateway is gone or whose settlement was lost.

An agent asks each gateway which of its older reservations are still open there. What
no gateway settles any more is charged at the reserved bound: nobody knows how much less
was used. A settlement that comes later changes nothing, so each is charged once.
"""

import anyio

from pistachiowell.budgets.stale import StaleReservations, lost_reservations
from pistachiowell.core.decoding import decode_entries
from pistachiowell.core.errors import STORE_ERRORS, LinkLost, LinkTimeout
from pistachiowell.core.logs import part_logger
from pistachiowell.router.fleet import ROUTERS
from pistachiowell.schema.generated.messages_budgets import (
    CheckReservations,
    OpenReservations,
)
from pistachiowell.schema.generated.objects_membership import RouterRecord

CHECK_INTERVAL_S = 2.0
CALL_TIMEOUT_S = 1.0
# A gateway without a link may only be cut off or about to connect again.
UNLINKED_S = 4.0
MAX_IDS = 1000

_log = part_logger("budgets")


class ReservationAnswers:
    """Tells the agents at a gateway which reservations are open.

    Args:
        spending: The ``GatewaySpending``.
        handlers: Handlers of the links to agents; this registers its own.
    """

    __slots__ = ("_spending",)

    def __init__(self, spending, handlers):
        self._spending = spending
        handlers.on(CheckReservations, quick=True)(self._handle_check)

    async def _handle_check(self, link, message):
        del link
        return OpenReservations(
            [
                reservation_id
                for reservation_id in message.reservation_ids
                if self._spending.is_open(message.holder, reservation_id)
            ]
        )


class ReservationChecks:
    """Ends lost reservations at an agent.

    Args:
        runtime: The process's ``Runtime``.
        holder: The ``GrantHolder``.
        links: The ``LinkSet`` of the links to gateways.
    """

    __slots__ = ("_holder", "_ids", "_linked_at", "_links", "_runtime", "_stale")

    def __init__(self, runtime, holder, links):
        self._runtime = runtime
        self._holder = holder
        self._links = links
        self._stale = StaleReservations()
        self._ids = {}
        self._linked_at = {}

    def record_gateway(self, link):
        """Records which gateway is at the other end of a link.

        Its registration is found by its id once the link is lost.
        """
        if link is not None and link.hello is not None:
            self._ids[link.hello.incarnation] = link.hello.id
            self._linked_at[link.hello.incarnation] = self._runtime.now()

    async def run(self):
        """Checks the reservations until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self):
        """Asks once for the reservations that have been open for long."""
        now = self._runtime.now()
        links = {x.hello.incarnation: x for x in self._links.links if x.hello}
        for link in links.values():
            self.record_gateway(link)
        self._stale.update(self._holder.open_reservations(), now)
        due = self._stale.due(now)
        self._forget_all_but({*links, *self._holder.reserving_routers()})
        async with anyio.create_task_group() as group:
            for router, reservations in due.items():
                if router in links:
                    group.start_soon(self._ask, links[router], reservations)
                elif now - self._linked_at.get(router, now) >= UNLINKED_S:
                    group.start_soon(self._look_up, router, reservations)

    def _forget_all_but(self, needed):
        for router in self._ids.keys() - needed:
            del self._ids[router], self._linked_at[router]

    async def _ask(self, link, reservations):
        asked = reservations[:MAX_IDS]
        ids = [each.reservation_id for each in asked]
        message = CheckReservations(self._runtime.incarnation, ids)
        try:
            reply = await link.call(message, CALL_TIMEOUT_S)
        except (LinkLost, LinkTimeout) as error:
            _log.debug("A gateway did not tell its open reservations: {}", error)
            return
        if isinstance(reply, OpenReservations):
            lost = lost_reservations(asked, reply.reservation_ids)
            self._charge(lost, "settlement")

    async def _look_up(self, router, reservations):
        """Charges the reservations of a gateway that was replaced or unregistered."""
        try:
            entry = await self._runtime.store.get(ROUTERS, self._ids[router])
        except STORE_ERRORS as error:
            _log.debug("The registration of a gateway was not read: {}", error)
            return
        records = decode_entries([entry] if entry else [], RouterRecord)
        if router not in {record.incarnation for _, record in records}:
            self._charge(reservations, "gateway")

    def _charge(self, lost, reason):
        now = self._runtime.now()
        for each in lost:
            is_charged = self._holder.settle(
                each.account, each.reservation_id, each.router, each.tokens, now
            )
            if is_charged:
                self._runtime.metrics.count(f"budgets.lost.{reason}", each.tokens)
                _log.warning(
                    "Reservation charged at its bound.",
                    account=each.account,
                    reservation=each.reservation_id,
                    gateway=self._ids.get(each.router, each.router),
                    tokens=each.tokens,
                    lost=reason,
                )
