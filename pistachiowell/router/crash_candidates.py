"""Shares crash reports between processes and stores quarantined fingerprints."""

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
SYNC_INTERVAL_S = 30.0

_log = part_logger("suspects")


class CrashCandidates:
    """Crash ledger of one router, synchronised with its peers and the store.

    A request that was in progress when its server crashed is a crash candidate: it
    runs alone until it has got a complete answer. A second crash quarantines it, so
    that the retries of one request cannot crash the servers of a fleet one by one.
    Quarantined fingerprints are stored, so that routers which start later refuse them
    too.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
        handlers: Handlers of the links to peers; this adds its own.
    """

    __slots__ = ("_fleet", "_ledger", "_runtime", "_uncounted_crashes", "_unsaved")

    def __init__(self, runtime, fleet, handlers):
        self._runtime = runtime
        self._fleet = fleet
        self._ledger = CRASH_LEDGERS.find("count")()
        self._uncounted_crashes = set()
        self._unsaved = []
        handlers.on(CrashReport)(self._handle_crash)
        handlers.on(SuspectCleared)(self._handle_cleared)

    async def run(self):
        """Writes and reads the stored quarantine until cancelled."""
        while True:
            try:
                await self._store_quarantined()
                await self._read_quarantined()
            except STORE_ERRORS as error:
                _log.debug("Quarantine was not synchronised; retrying: {}", error)
            await self._wait_for_next_sync()

    def check(self, fingerprint):
        """Checks whether a request may run.

        Args:
            fingerprint: Fingerprint of the request.

        Returns:
            The servers that crashed while it ran; empty if it is no crash candidate.

        Raises:
            Quarantined: The request is quarantined and must not run.
        """
        status = self._ledger.status(fingerprint, self._runtime.now())
        if status is FingerprintStatus.quarantined:
            raise Quarantined("This request crashed two backend servers.", ran="no")
        if status is FingerprintStatus.crash_candidate:
            return self._ledger.crashed_servers(fingerprint)
        return ()

    def is_exempt(self, fingerprint, server):
        """Returns whether a failure must not be counted against the server's version.

        A crash fails all requests in progress but counts as one failure: that of the
        first request for which this is called. A crash that quarantines a request is
        attributed to that request and not counted at all. So one bad request does not
        make a version look bad, while a version that crashes on every request is
        detected.

        Args:
            fingerprint: Fingerprint of the request that failed.
            server: Name of the backend server.
        """
        status = self._ledger.status(fingerprint, self._runtime.now())
        if status is FingerprintStatus.clear:
            return False
        if server in self._uncounted_crashes:
            self._uncounted_crashes.discard(server)
            return False
        return True

    def clear(self, fingerprint):
        """Clears a request that has got a complete answer."""
        if self._ledger.clear(fingerprint):
            self._fleet.broadcast(SuspectCleared(fingerprint))

    async def _handle_crash(self, link, message):
        crash = Crash(message.crash_id, message.server, tuple(message.fingerprints))
        if self._ledger.is_known(crash.crash_id):
            return
        quarantined = self._ledger.record_crash(crash, self._runtime.now())
        self._fleet.broadcast(message)
        if not quarantined:
            self._uncounted_crashes.add(crash.server)
        _log.warning("Backend server {} crashed.", crash.server)
        self._runtime.events.add(EventKind.server_crashed, text=crash.server)
        self._unsaved += quarantined
        for fingerprint in quarantined:
            self._runtime.metrics.count("requests.quarantined")
            self._runtime.events.add(EventKind.request_quarantined, text=fingerprint)

    async def _handle_cleared(self, link, message):
        self._ledger.clear(message.fingerprint)

    async def _wait_for_next_sync(self):
        for _ in range(int(SYNC_INTERVAL_S)):
            await anyio.sleep(1.0)
            if self._unsaved:
                return

    async def _store_quarantined(self):
        while self._unsaved:
            fingerprint = self._unsaved[0]
            record = QuarantineRecord(
                fingerprint, list(self._ledger.crashed_servers(fingerprint))
            )
            value = msgspec.json.encode(record)
            if await self._runtime.store.get(QUARANTINE, fingerprint) is None:
                await self._runtime.store.put(QUARANTINE, fingerprint, value, ABSENT)
            self._unsaved.pop(0)

    async def _read_quarantined(self):
        entries, _ = await self._runtime.store.list(QUARANTINE)
        for entry in entries:
            self._ledger.quarantine(entry.name, self._runtime.now())
