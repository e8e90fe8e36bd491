"""Settlements that routers send to the home routers of their reservations."""

import anyio

from pistachiowell.core.errors import LinkLost, LinkTimeout
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_budgets import SettleTokens, TokensSettled

CALL_TIMEOUT_S = 1.0
SEND_INTERVAL_S = 0.1

_log = part_logger("budgets")


class Settlements:
    """Sends each settlement until its home router has booked it or is gone.

    A settlement is sent at once, as its reservation keeps others from the budget,
    and again in intervals; a home that does not answer delays only its own.

    Args:
        peer_of: Function from a holder's incarnation to its usable ``Peer``, or None.
        peers: Function that returns all registered holders as ``Peer``.
    """

    __slots__ = ("_fresh", "_open", "_peer_of", "_peers", "_sending", "_wake")

    def __init__(self, peer_of, peers):
        self._peer_of = peer_of
        self._peers = peers
        self._open = {}
        self._fresh = []
        self._sending = set()
        self._wake = anyio.Event()

    def add(self, holder, message):
        """Queues a settlement.

        Args:
            holder: Incarnation of the home router.
            message: The ``SettleTokens``.
        """
        self._open[message.reservation_id] = (holder, message)
        self._fresh.append(message.reservation_id)
        self._wake.set()

    def cancel_reservation(self, holder, call):
        """Queues the end of a reservation that a home may have made unheard.

        Args:
            holder: Incarnation of the home router.
            call: The ``ReserveTokens``.
        """
        message = SettleTokens(
            call.account,
            call.request_id,
            "",
            0,
            reservation_id=call.reservation_id,
            router=call.router,
        )
        self.add(holder, message)

    def clear(self):
        """Forgets all settlements."""
        self._open.clear()

    async def run(self):
        """Sends settlements until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_fresh, group)
            while True:
                self._send_all(group, list(self._open))
                await anyio.sleep(SEND_INTERVAL_S)

    async def _send_fresh(self, group):
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            fresh, self._fresh = self._fresh, []
            self._send_all(group, fresh)

    def _send_all(self, group, reservation_ids):
        for reservation_id in reservation_ids:
            if reservation_id in self._open and reservation_id not in self._sending:
                self._sending.add(reservation_id)
                group.start_soon(self._send, reservation_id)

    async def _send(self, reservation_id):
        try:
            if reservation_id in self._open:
                await self._try_send(reservation_id, *self._open[reservation_id])
        finally:
            self._sending.discard(reservation_id)

    async def _try_send(self, reservation_id, holder, message):
        peer = self._peer_of(holder)
        if peer is None:
            known = {p.record.incarnation for p in self._peers()}
            if holder not in known:
                self._open.pop(reservation_id, None)
            return
        try:
            reply = await peer.link.call(message, CALL_TIMEOUT_S)
        except (LinkLost, LinkTimeout) as error:
            _log.debug("A settlement is sent again: {}", error)
            return
        if isinstance(reply, TokensSettled):
            self._open.pop(reservation_id, None)
