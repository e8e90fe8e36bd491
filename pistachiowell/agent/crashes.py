"""Finds out whether the backend server fell over, and refuses who did it."""

import anyio

from pistachiowell.core.errors import LinkLost, Quarantined, ServerFailed
from pistachiowell.core.events import EventKind
from pistachiowell.core.ids import new_id
from pistachiowell.core.logs import part_logger
from pistachiowell.routing import CRASH_LEDGERS, Crash, FingerprintStatus
from pistachiowell.schema.generated.messages_membership import (
    CrashReport,
    SuspectCleared,
)

PROBE_DELAYS_S = (0.0, 0.05, 0.1)
SETTLE_S = 1.0

_log = part_logger("crashes")


class CrashWatch:
    """Judges lost connections and keeps the crash ledger of one agent.

    A lost connection is a crash only if the server then refuses new ones, so that a
    cut answer or a refusal under load accuses nobody.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the links from routers; this adds its own.
        links: Function that returns the open links to routers.
        backend: The ``Backend``.
        gate: The ``Gate``.
    """

    __slots__ = (
        "_backend",
        "_gate",
        "_judged",
        "_judged_at",
        "_ledger",
        "_links",
        "_running",
        "_runtime",
    )

    def __init__(self, runtime, handlers, links, backend, gate):
        self._runtime = runtime
        self._links = links
        self._backend = backend
        self._gate = gate
        self._ledger = CRASH_LEDGERS.find("count")()
        self._running = {}
        self._judged = None
        self._judged_at = float("-inf")
        handlers.on(CrashReport)(self._take_report)
        handlers.on(SuspectCleared)(self._take_cleared)

    def check(self, fingerprint):
        """Tells whether a request must run alone.

        Raises:
            Quarantined: It must not run.
        """
        standing = self._ledger.status(fingerprint, self._runtime.now())
        if standing is FingerprintStatus.quarantined:
            raise Quarantined("This request crashed two backend servers.", ran="no")
        return standing is FingerprintStatus.crash_candidate

    def started(self, key, fingerprint):
        """Counts a request that may now reach the server."""
        self._running[key] = fingerprint

    def ended(self, key, *, whole):
        """Counts the end of a request.

        Args:
            key: Its key.
            whole: Whether its answer came whole.
        """
        fingerprint = self._running.pop(key, None)
        if whole and fingerprint:
            self._ledger.clear(fingerprint)

    async def judge(self):
        """Finds out about a lost connection; returns whether the server crashed.

        The requests in progress when the first connection was lost are the suspects.
        """
        if self._judged is not None:
            await self._judged.wait()
            return self._runtime.now() - self._judged_at < SETTLE_S
        self._judged = anyio.Event()
        suspects = tuple(sorted(set(self._running.values()) - {""}))
        try:
            if await self._is_gone():
                self._judged_at = self._runtime.now()
                self._accuse(suspects)
        finally:
            self._judged.set()
            self._judged = None
        return self._runtime.now() - self._judged_at < SETTLE_S

    async def _is_gone(self):
        for delay_s in PROBE_DELAYS_S:
            await anyio.sleep(delay_s)
            try:
                await self._backend.load()
            except ServerFailed as error:
                if error.ran != "no":
                    continue
                return True
            return False
        return False

    def _accuse(self, suspects):
        server = self._runtime.settings.server
        crash = Crash(new_id("crash"), server, suspects)
        _log.warning("Backend server {} fell over; {} suspects.", server, len(suspects))
        self._runtime.metrics.count("server.crashes")
        self._runtime.events.add(EventKind.server_crashed, text=server)
        self._take(crash)
        report = CrashReport(crash.crash_id, crash.server, list(suspects))
        for link in self._links():
            try:
                link.send(report)
            except LinkLost:
                continue

    async def _take_report(self, link, message):
        self._take(Crash(message.crash_id, message.server, tuple(message.fingerprints)))

    async def _take_cleared(self, link, message):
        self._ledger.clear(message.fingerprint)

    def _take(self, crash):
        found = self._ledger.record_crash(crash, self._runtime.now())
        if found:
            reason = "this request crashed two backend servers"
            self._gate.refuse_fingerprints(found, "quarantined", reason)
