"""Settlements that routers send to the holders of the grants they reserved under."""

import anyio

from pistachiowell.core.errors import LinkLost, LinkTimeout
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_budgets import SettleTokens, TokensSettled

CALL_TIMEOUT_S = 1.0
SEND_INTERVAL_S = 0.1

_log = part_logger("budgets")


class Settlements:
    """Sends each settlement until the holder has recorded it or is gone.

    A settlement is sent at once, as its reservation withholds tokens from other
    requests, and repeated at intervals until the holder confirms it: a settlement lost
    with a link would otherwise leave the tokens reserved. The holder ignores repeats.
    Each settlement is sent by a task of its own, so a holder that does not answer
    does not delay the settlements of other holders.

    Args:
        find_peer: Function from a holder's incarnation to its usable ``Peer``, or
            None.
        peers: Function that returns all registered holders as ``Peer``.
    """

    __slots__ = ("_new_ids", "_pending", "_find_peer", "_peers", "_sending", "_wake")

    def __init__(self, find_peer, peers):
        self._find_peer = find_peer
        self._peers = peers
        self._pending = {}
        self._new_ids = []
        self._sending = set()
        self._wake = anyio.Event()

    def add(self, holder, message):
        """Queues a settlement.

        Args:
            holder: Incarnation of the process that holds the grant.
            message: The ``SettleTokens``.
        """
        self._pending[message.reservation_id] = (holder, message)
        self._new_ids.append(message.reservation_id)
        self._wake.set()

    def cancel_reservation(self, holder, call):
        """Queues the cancellation of a reservation whose answer was lost.

        The holder may have made the reservation. A settlement with zero tokens ends
        it, so that it does not withhold tokens that no attempt uses.

        Args:
            holder: Incarnation of the process to which the call was sent.
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
        """Discards all pending settlements."""
        self._pending.clear()

    async def run(self):
        """Sends settlements until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_new, group)
            while True:
                self._send_all(group, list(self._pending))
                await anyio.sleep(SEND_INTERVAL_S)

    async def _send_new(self, group):
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            new_ids, self._new_ids = self._new_ids, []
            self._send_all(group, new_ids)

    def _send_all(self, group, reservation_ids):
        for reservation_id in reservation_ids:
            if reservation_id in self._pending and reservation_id not in self._sending:
                self._sending.add(reservation_id)
                group.start_soon(self._send, reservation_id)

    async def _send(self, reservation_id):
        try:
            if reservation_id in self._pending:
                await self._try_send(reservation_id, *self._pending[reservation_id])
        finally:
            self._sending.discard(reservation_id)

    async def _try_send(self, reservation_id, holder, message):
        peer = self._find_peer(holder)
        if peer is None:
            known = {p.record.incarnation for p in self._peers()}
            if holder not in known:
                self._pending.pop(reservation_id, None)
            return
        try:
            reply = await peer.link.call(message, CALL_TIMEOUT_S)
        except (LinkLost, LinkTimeout) as error:
            _log.debug("Settlement was not confirmed; it is sent again: {}", error)
            return
        if isinstance(reply, TokensSettled):
            self._pending.pop(reservation_id, None)
