"""Quarantined requests and parts of prompts in the platform's store.

The processes tell each other what is quarantined. The store is for the case that all of
them end at once, and for a process that reaches no other one.
"""

import time
from collections import deque

import anyio
import msgspec

from pistachiowell.core.decoding import DECODE_ERRORS
from pistachiowell.core.errors import STORE_ERRORS, StoreConflict
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.objects_membership import QuarantineRecord
from pistachiowell.store.follow import follow_collection
from pistachiowell.store.store import ABSENT

QUARANTINE = "quarantine"
RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 1.0
MAX_UNSAVED = 1_000
# Processes that decide on the same quarantine do so within this time.
SAME_QUARANTINE_MS = 10_000

_log = part_logger("suspects")


class QuarantineStore:
    """Writes and follows the records of quarantined requests and parts of prompts.

    Args:
        store: The platform's store.
        ledger: The ``CrashLedger``; it gets the records of others.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_ledger", "_now", "_store", "_unsaved", "_wake")

    def __init__(self, store, ledger, now):
        self._store = store
        self._ledger = ledger
        self._now = now
        self._unsaved = deque(maxlen=MAX_UNSAVED)
        self._wake = anyio.Event()

    def save(self, fingerprint):
        """Writes what the ledger knows as soon as the store accepts it.

        Args:
            fingerprint: Name of a suspect that was quarantined or whose quarantine was
                lifted.
        """
        self._unsaved.append(fingerprint)
        self._wake.set()

    async def run(self):
        """Follows the records of other processes until cancelled."""
        async for objects in follow_collection(
            self._store, QUARANTINE, max_delay_s=MAX_RETRY_DELAY_S
        ):
            for name, item in objects.items():
                await self._apply(name, item)

    def mark_stopped(self):
        """Does nothing; a quarantine that was read stays in force."""

    async def run_writes(self):
        """Writes the records that ``save`` was called for until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._unsaved:
                try:
                    await self._write(self._unsaved[0])
                except STORE_ERRORS as error:
                    _log.debug("Quarantine was not stored; retrying: {}", error)
                    await anyio.sleep(RETRY_DELAY_S)
                else:
                    self._unsaved.popleft()

    async def _write(self, fingerprint):
        left_s = self._ledger.quarantine_left_s(fingerprint, self._now())
        if left_s <= 0:
            await self._delete(fingerprint)
            return
        record = QuarantineRecord(
            fingerprint,
            list(self._ledger.crashed_servers(fingerprint)),
            until_ms=int((time.time() + left_s) * 1000),
        )
        value = msgspec.json.encode(record)
        try:
            await self._store.put(QUARANTINE, fingerprint, value, ABSENT)
        except StoreConflict:
            await self._extend(record, value)

    async def _extend(self, record, value):
        """Replaces a record of an earlier quarantine, not that of another process."""
        entry = await self._store.get(QUARANTINE, record.fingerprint)
        if entry is None:
            return
        known = _decode(entry.value)
        if known is None or known.until_ms < record.until_ms - SAME_QUARANTINE_MS:
            version = entry.version
            await self._store.put(QUARANTINE, record.fingerprint, value, version)

    async def _delete(self, fingerprint):
        entry = await self._store.get(QUARANTINE, fingerprint)
        if entry is not None:
            await self._store.delete(QUARANTINE, fingerprint, entry.version)

    async def _apply(self, name, item):
        record = _decode(item.value)
        if record is None:
            return
        if not record.until_ms:
            self._ledger.quarantine(name, self._now())
            return
        left_s = record.until_ms / 1000 - time.time()
        if left_s > 0:
            self._ledger.quarantine(name, self._now(), left_s)
            return
        try:
            await self._store.delete(QUARANTINE, name, item.version)
        except STORE_ERRORS as error:
            _log.debug("An old quarantine stays in the store: {}", error)


def _decode(value):
    """Returns the ``QuarantineRecord``, or None for an invalid value."""
    try:
        return msgspec.json.decode(value, type=QuarantineRecord)
    except DECODE_ERRORS as error:
        _log.warning("Ignored an invalid record of a quarantine: {}", error)
        return None
