"""Detection of backend server crashes and quarantine of the requests that cause them.

A request that crashes its server would crash the next one when it is retried. All
requests in progress at a crash become crash candidates and run alone from then on; a
candidate that is in progress at a second crash is quarantined and refused.
"""

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
SAME_CRASH_WINDOW_S = 1.0

_log = part_logger("crashes")


class CrashDetector:
    """Judges whether a lost connection was a crash, and keeps the agent's crash ledger.

    A lost connection counts as a crash only if the server then refuses new connections.
    Otherwise, an answer that was cut off, or a connection that the server closed under
    load, would make crash candidates of requests that did no harm.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the links from routers; this adds its own.
        links: Function that returns the open links to routers.
        backend: The ``Backend``.
        gate: The ``AdmissionGate``.
    """

    __slots__ = (
        "_backend",
        "_gate",
        "_detection",
        "_crashed_at",
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
        self._detection = None
        self._crashed_at = float("-inf")
        handlers.on(CrashReport)(self._handle_report)
        handlers.on(SuspectCleared)(self._handle_cleared)

    def check(self, fingerprint):
        """Returns whether a request must run alone, as a crash candidate.

        Raises:
            Quarantined: The request is quarantined and must not run.
        """
        status = self._ledger.status(fingerprint, self._runtime.now())
        if status is FingerprintStatus.quarantined:
            raise Quarantined("The request crashed two backend servers.", ran="no")
        return status is FingerprintStatus.crash_candidate

    def record_start(self, key, fingerprint):
        """Records that a request may now reach the server."""
        self._running[key] = fingerprint

    def record_end(self, key, *, complete):
        """Records the end of a request; a complete answer clears a crash candidate.

        Args:
            key: Key of the request, as passed to ``record_start``.
            complete: Whether its answer was complete.
        """
        fingerprint = self._running.pop(key, None)
        if complete and fingerprint:
            self._ledger.clear(fingerprint)

    async def detect_crash(self):
        """Probes the server after a lost connection; returns whether it crashed.

        One crash cuts the connections of all requests in progress. The first call
        probes and reports for all of them: it takes the requests that are in progress
        at its start as the crash candidates, and later calls wait for its result.
        Otherwise, one crash would be counted several times, and requests would be
        quarantined after a single crash.

        For ``SAME_CRASH_WINDOW_S`` after a crash, a lost connection counts as caused by
        that crash even if the server already accepts connections again.
        """
        if self._detection is not None:
            await self._detection.wait()
            return self._runtime.now() - self._crashed_at < SAME_CRASH_WINDOW_S
        self._detection = anyio.Event()
        candidates = tuple(sorted(set(self._running.values()) - {""}))
        try:
            if await self._refuses_connections():
                self._crashed_at = self._runtime.now()
                self._report_crash(candidates)
        finally:
            self._detection.set()
            self._detection = None
        return self._runtime.now() - self._crashed_at < SAME_CRASH_WINDOW_S

    async def _refuses_connections(self):
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

    def _report_crash(self, candidates):
        server = self._runtime.settings.server
        crash = Crash(new_id("crash"), server, candidates)
        _log.warning(
            "Backend server {} crashed with {} crash candidates in progress.",
            server,
            len(candidates),
        )
        self._runtime.metrics.count("server.crashes")
        self._runtime.events.add(EventKind.server_crashed, text=server)
        self._record_crash(crash)
        report = CrashReport(crash.crash_id, crash.server, list(candidates))
        for link in self._links():
            try:
                link.send(report)
            except LinkLost:
                continue

    async def _handle_report(self, link, message):
        self._record_crash(
            Crash(message.crash_id, message.server, tuple(message.fingerprints))
        )

    async def _handle_cleared(self, link, message):
        self._ledger.clear(message.fingerprint)

    def _record_crash(self, crash):
        quarantined = self._ledger.record_crash(crash, self._runtime.now())
        if quarantined:
            reason = "this request crashed two backend servers"
            self._gate.refuse_fingerprints(quarantined, "quarantined", reason)
