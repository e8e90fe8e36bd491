"""Spreads the news of crashing requests and keeps their quarantine in the store."""

import anyio
import msgspec

from pistachiowell.core.errors import STORE_ERRORS, Quarantined
from pistachiowell.core.events import EventKind
from pistachiowell.core.logs import part_logger
from pistachiowell.routing import CRASH_LEDGERS, Crash, FingerprintStatus
from pistachiowell.schema.generated.messages_membership import (
    CrashReport,
    SuspectCleared,
)
from pistachiowell.schema.generated.objects_membership import QuarantineRecord
from pistachiowell.store.store import ABSENT

QUARANTINE = "quarantine"
READ_INTERVAL_S = 30.0

_log = part_logger("suspects")


class Suspects:
    """The crash ledger of one router, shared with its peers.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
        handlers: Handlers of the links to peers; this adds its own.
    """

    __slots__ = ("_fleet", "_ledger", "_runtime", "_unblamed", "_unsaved")

    def __init__(self, runtime, fleet, handlers):
        self._runtime = runtime
        self._fleet = fleet
        self._ledger = CRASH_LEDGERS.find("count")()
        self._unblamed = set()
        self._unsaved = []
        handlers.on(CrashReport)(self._take_crash)
        handlers.on(SuspectCleared)(self._take_cleared)

    async def run(self):
        """Saves and reads quarantined fingerprints until cancelled."""
        while True:
            try:
                await self._save()
                await self._read()
            except STORE_ERRORS as error:
                _log.debug("The quarantine is not synchronised: {}", error)
            await self._pause()

    def check(self, fingerprint):
        """Tells how a request must be run.

        Returns:
            The servers that crashed while it ran; empty if it is no suspect.

        Raises:
            Quarantined: It must not run.
        """
        standing = self._ledger.status(fingerprint, self._runtime.now())
        if standing is FingerprintStatus.quarantined:
            raise Quarantined("This request crashed two backend servers.", ran="no")
        if standing is FingerprintStatus.crash_candidate:
            return self._ledger.crashed_servers(fingerprint)
        return ()

    def is_excused(self, fingerprint, server):
        """Tells whether a failure says nothing about the server's version.

        A crash is one failure, however many requests were in progress; the first
        that asks is blamed. So a version that crashes on each request is still found.

        Args:
            fingerprint: Fingerprint of the request that failed.
            server: Name of the backend server.
        """
        standing = self._ledger.status(fingerprint, self._runtime.now())
        if standing is FingerprintStatus.clear:
            return False
        if server in self._unblamed:
            self._unblamed.discard(server)
            return False
        return True

    def clear(self, fingerprint):
        """Takes a whole answer of a request."""
        if self._ledger.clear(fingerprint):
            self._fleet.broadcast(SuspectCleared(fingerprint))

    async def _take_crash(self, link, message):
        crash = Crash(message.crash_id, message.server, tuple(message.fingerprints))
        if self._ledger.is_known(crash.crash_id):
            return
        found = self._ledger.record_crash(crash, self._runtime.now())
        self._fleet.broadcast(message)
        if not found:
            self._unblamed.add(crash.server)
        _log.warning("Backend server {} fell over.", crash.server)
        self._runtime.events.add(EventKind.server_crashed, text=crash.server)
        self._unsaved += found
        for fingerprint in found:
            self._runtime.metrics.count("requests.quarantined")
            self._runtime.events.add(EventKind.request_quarantined, text=fingerprint)

    async def _take_cleared(self, link, message):
        self._ledger.clear(message.fingerprint)

    async def _pause(self):
        for _ in range(int(READ_INTERVAL_S)):
            await anyio.sleep(1.0)
            if self._unsaved:
                return

    async def _save(self):
        while self._unsaved:
            fingerprint = self._unsaved[0]
            record = QuarantineRecord(
                fingerprint, list(self._ledger.crashed_servers(fingerprint))
            )
            value = msgspec.json.encode(record)
            if await self._runtime.store.get(QUARANTINE, fingerprint) is None:
                await self._runtime.store.put(QUARANTINE, fingerprint, value, ABSENT)
            self._unsaved.pop(0)

    async def _read(self):
        entries, _ = await self._runtime.store.list(QUARANTINE)
        for entry in entries:
            self._ledger.quarantine(entry.name, self._runtime.now())
