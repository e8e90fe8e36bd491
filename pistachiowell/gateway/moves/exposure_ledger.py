"""Requests to a version on trial that the judges have reserved, kept in the store."""

import msgspec

from pistachiowell.core.decoding import DECODE_ERRORS
from pistachiowell.core.logs import part_logger
from pistachiowell.store.store import ABSENT

COLLECTION = "trialaccounts"

_log = part_logger("moves")


class _Account(msgspec.Struct):
    """Content of the object of one service.

    Attributes:
        target: The version on trial.
        reserved: Requests to it that all judges have reserved.
    """

    target: str
    reserved: int


class ExposureLedger:
    """Reserves requests to versions on trial before they are permitted.

    The number outlives every judge and gateway, so one that takes over begins with
    what is left, and two judges of one trial share one allowance.

    Args:
        store: The platform's store.
    """

    __slots__ = ("_store",)

    def __init__(self, store):
        self._store = store

    async def reserve(self, order, wanted, account):
        """Reserves requests and adds them to an account.

        Args:
            order: The ``MoveOrder``.
            wanted: Number of requests.
            account: The ``ExposureAccount``; what it knows of others goes before what
                the store holds, which may be an older copy.

        Raises:
            StoreConflict: Another judge has written meanwhile; call again.
            StoreUnavailable: The store does not answer; nothing is reserved.
            StoreAnswerLost: The requests may be reserved; they are not used.
        """
        entry = await self._store.get(COLLECTION, order.service)
        stored = _decode(entry)
        if stored is not None and stored.target == order.target:
            account.record_total(stored.reserved)
        count = min(wanted, account.left())
        if count <= 0:
            return
        total = account.total + count
        value = msgspec.json.encode(_Account(order.target, total))
        version = ABSENT if entry is None else entry.version
        await self._store.put(COLLECTION, order.service, value, version)
        account.add_reserved(count, total)

    async def discard(self, order):
        """Removes the account of a trial that has ended."""
        entry = await self._store.get(COLLECTION, order.service)
        if entry is not None:
            await self._store.delete(COLLECTION, order.service, entry.version)


def _decode(entry):
    if entry is None:
        return None
    try:
        return msgspec.json.decode(entry.value, type=_Account)
    except DECODE_ERRORS:
        _log.warning("Ignored an unreadable trial account.", service=entry.name)
        return None
