"""Detection of backend server crashes and quarantine of the requests that cause them.

A request that crashes its server would crash the next one when it is retried. All
requests in progress at a crash become crash candidates and run alone from then on; a
candidate that is in progress at a second crash is quarantined and refused.
"""

from dataclasses import replace

import anyio

from pistachiowell.core.errors import Quarantined, ServerFailed
from pistachiowell.core.events import EventKind
from pistachiowell.core.ids import new_id
from pistachiowell.core.logs import part_logger
from pistachiowell.engines import CrashDetection, ServerRefused
from pistachiowell.routing import CRASH_LEDGERS, Crash, FingerprintStatus
from pistachiowell.schema.generated.messages_membership import (
    CrashReport,
    RequestQuarantined,
    SuspectCleared,
)

PROBE_DELAYS_S = (0.0, 0.05, 0.1)

_log = part_logger("crashes")


class CrashDetector:
    """Reports the crashes of the agent's server, and keeps the agent's crash ledger.

    Args:
        runtime: The process's ``Runtime``.
        reports: The ``AcknowledgedReports`` to and from routers.
        backend: The ``Backend``.
        gate: The ``AdmissionGate``.
    """

    __slots__ = ("_backend", "_detection", "_gate", "_ledger", "_reports", "_runtime")

    def __init__(self, runtime, reports, backend, gate):
        self._runtime = runtime
        self._reports = reports
        self._backend = backend
        self._gate = gate
        self._ledger = CRASH_LEDGERS.find("count")()
        self._detection = CrashDetection(
            self._refuses_connections, self._report_crash, runtime.now
        )
        reports.on(CrashReport)(self._handle_report)
        reports.on(RequestQuarantined)(self._handle_quarantined)
        reports.on(SuspectCleared)(self._handle_cleared)

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
        self._detection.record_start(key, fingerprint)

    def record_end(self, key, *, complete, was_sent=True):
        """Records the end of a request; a complete answer clears a crash candidate.

        Args:
            key: Key of the request, as passed to ``record_start``.
            complete: Whether its answer was complete.
            was_sent: Whether the server may have received it.
        """
        is_innocent = complete or not was_sent
        fingerprint = self._detection.record_end(key, is_innocent=is_innocent)
        if complete and fingerprint:
            self._ledger.clear(fingerprint, self._runtime.now())

    async def detect_crash(self):
        """Checks the server after a lost connection; returns whether it crashed."""
        return await self._detection.detect()

    async def _refuses_connections(self):
        for delay_s in PROBE_DELAYS_S:
            await anyio.sleep(delay_s)
            try:
                await self._backend.load()
            except ServerRefused:
                return True
            except ServerFailed:
                # A server that stands still may go on with its requests.
                continue
            return False
        return False

    def _report_crash(self, in_progress, questioned_at):
        del questioned_at
        candidates = tuple(sorted(set(in_progress) - {""}))
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
        self._reports.broadcast(report, renew=_aged)

    async def _handle_report(self, link, message):
        fingerprints = tuple(message.fingerprints)
        self._record_crash(
            Crash(message.crash_id, message.server, fingerprints, message.age_s)
        )

    async def _handle_quarantined(self, link, message):
        now = self._runtime.now()
        if self._ledger.quarantine(message.fingerprint, now, message.left_s):
            self._refuse([message.fingerprint])

    async def _handle_cleared(self, link, message):
        self._ledger.clear(message.fingerprint, self._runtime.now())

    def _record_crash(self, crash):
        quarantined = self._ledger.record_crash(crash, self._runtime.now())
        if quarantined:
            self._refuse(quarantined)

    def _refuse(self, fingerprints):
        reason = "this request crashed two backend servers"
        self._gate.refuse_fingerprints(fingerprints, "quarantined", reason)


def _aged(report, age_s):
    """Returns a ``CrashReport`` as it is to be sent some seconds later."""
    return replace(report, age_s=report.age_s + age_s)
