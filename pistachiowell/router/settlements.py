"""Settlements that routers send to the home routers of their reservations."""

import anyio

from pistachiowell.core.errors import LinkLost, LinkTimeout
from pistachiowell.schema.generated.messages_budgets import TokensSettled

CALL_TIMEOUT_S = 1.0
SEND_INTERVAL_S = 0.1


class Settlements:
    """Sends each settlement until its home router has booked it or is gone.

    Args:
        peer_of: Function from a holder's incarnation to its usable ``Peer``, or None.
        peers: Function that returns all registered holders as ``Peer``.
    """

    __slots__ = ("_open", "_peer_of", "_peers")

    def __init__(self, peer_of, peers):
        self._peer_of = peer_of
        self._peers = peers
        self._open = {}

    def add(self, holder, message):
        """Queues a settlement.

        Args:
            holder: Incarnation of the home router.
            message: The ``SettleTokens``.
        """
        self._open[message.reservation_id] = (holder, message)

    def clear(self):
        """Forgets all settlements."""
        self._open.clear()

    async def run(self):
        """Sends settlements until cancelled."""
        while True:
            async with anyio.create_task_group() as group:
                for reservation_id in list(self._open):
                    group.start_soon(self._send, reservation_id)
            await anyio.sleep(SEND_INTERVAL_S)

    async def _send(self, reservation_id):
        holder, message = self._open[reservation_id]
        peer = self._peer_of(holder)
        if peer is None:
            known = {p.record.incarnation for p in self._peers()}
            if holder not in known:
                del self._open[reservation_id]
            return
        try:
            reply = await peer.link.call(message, CALL_TIMEOUT_S)
        except (LinkLost, LinkTimeout):
            return
        if isinstance(reply, TokensSettled):
            self._open.pop(reservation_id, None)
