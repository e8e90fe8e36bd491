"""Settlements that routers send to the holders of the grants they reserved under."""

import anyio

from pistachiowell.core.errors import LinkLost, LinkTimeout
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_budgets import SettleTokens, TokensSettled

CALL_TIMEOUT_S = 1.0
SEND_INTERVAL_S = 0.1
# A holder whose registration is missing may have lost it in a return of the store, and
# registers again within seconds.
HOLDER_MISSING_S = 10.0

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

    __slots__ = (
        "_find_peer",
        "_missing_since",
        "_new_keys",
        "_peers",
        "_pending",
        "_sending",
        "_wake",
    )

    def __init__(self, find_peer, peers):
        self._find_peer = find_peer
        self._peers = peers
        # By holder and reservation id: a request that was given up at one holder has
        # the same id at the next one.
        self._pending = {}
        self._missing_since = {}
        self._new_keys = []
        self._sending = set()
        self._wake = anyio.Event()

    def add(self, holder, message):
        """Queues a settlement.

        Args:
            holder: Incarnation of the process that holds the grant.
            message: The ``SettleTokens``.
        """
        key = (holder, message.reservation_id)
        self._pending[key] = message
        self._new_keys.append(key)
        self._wake.set()

    def is_pending(self, holder, reservation_id):
        """Returns whether a settlement is not confirmed by its holder yet."""
        return (holder, reservation_id) in self._pending

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
            new_keys, self._new_keys = self._new_keys, []
            self._send_all(group, new_keys)

    def _send_all(self, group, keys):
        for key in keys:
            if key in self._pending and key not in self._sending:
                self._sending.add(key)
                group.start_soon(self._send, key)

    async def _send(self, key):
        try:
            if key in self._pending:
                await self._try_send(key, self._pending[key])
        finally:
            self._sending.discard(key)

    def _discard_if_gone(self, key):
        """Discards a settlement whose holder has been missing for long."""
        holder, now = key[0], anyio.current_time()
        if holder in {p.record.incarnation for p in self._peers()}:
            self._missing_since.pop(holder, None)
        elif now - self._missing_since.setdefault(holder, now) >= HOLDER_MISSING_S:
            self._pending.pop(key, None)
            if holder not in {other for other, _ in self._pending}:
                del self._missing_since[holder]

    async def _try_send(self, key, message):
        peer = self._find_peer(key[0])
        if peer is None:
            self._discard_if_gone(key)
            return
        self._missing_since.pop(key[0], None)
        try:
            reply = await peer.link.call(message, CALL_TIMEOUT_S)
        except (LinkLost, LinkTimeout) as error:
            _log.debug("Settlement was not confirmed; it is sent again: {}", error)
            return
        if isinstance(reply, TokensSettled) and self._pending.get(key) is message:
            del self._pending[key]
