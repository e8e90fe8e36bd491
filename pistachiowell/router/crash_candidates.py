"""Shares crash reports and quarantined fingerprints between processes."""

import contextlib

import anyio

from pistachiowell.core.errors import LinkLost, Overloaded, Quarantined
from pistachiowell.core.events import EventKind
from pistachiowell.core.ids import new_id
from pistachiowell.core.logs import part_logger
from pistachiowell.router.quarantine_store import QuarantineStore
from pistachiowell.routing import (
    CRASH_LEDGERS,
    Crash,
    FingerprintStatus,
    PartInProgress,
    SuspectKind,
    suspect_kind,
)
from pistachiowell.schema.generated.messages_membership import (
    CrashedPart,
    CrashReport,
    RequestQuarantined,
    SuspectCleared,
)

JUDGE_INTERVAL_S = 0.1
MAX_UNCOUNTED_CRASHES = 1_000
# A request with a part that was at so many crashes, and in no good answer since, is not
# sent again after another one.
MAX_CRASHES_OF_A_PART_TO_RETRY = 2

_log = part_logger("suspects")


class CrashCandidates:
    """Crash ledger of one process, synchronised with its peers and the store.

    A request that was in progress when its server crashed is a crash candidate until it
    has got a complete answer, and so is each part of its prompt until a request with it
    has got one. Enough crashes quarantine it, so that the repeats of one request, or
    requests with one part in common, cannot crash the servers of a fleet one by one. A
    new link carries what both ends know, so a process that starts or was cut off knows
    it at once, and quarantined ones are stored for the case that all processes end.

    Args:
        runtime: The process's ``Runtime``.
        peers: The links to the peers: a ``Fleet``, ``LinkSet`` or ``CrashRelays``.
        handlers: The ``AcknowledgedReports`` or ``Handlers`` of the links; this adds
            its own.
        settings: ``CrashSettings``.
        passes_on: Whether peers are told what another peer tells.
        merge_s: Seconds for which reports of peers about one crash are collected, to be
            passed on as one; 0 to pass on each at once. Needs ``run_merging``.

    Attributes:
        store: The ``QuarantineStore``.
    """

    __slots__ = (
        "_ledger",
        "_merge_s",
        "_passes_on",
        "_peers",
        "_runtime",
        "_uncounted_crashes",
        "_unsent",
        "_wake",
        "store",
    )

    def __init__(
        self, runtime, peers, handlers, settings, *, passes_on=True, merge_s=0.0
    ):
        self._runtime = runtime
        self._peers = peers
        self._passes_on = passes_on
        self._merge_s = merge_s
        self._unsent = {}
        self._wake = anyio.Event()
        self._ledger = CRASH_LEDGERS.find("count")(settings)
        self._uncounted_crashes = {}
        self.store = QuarantineStore(runtime.store, self._ledger, runtime.now)
        peers.add_link_listener(self._tell_new_peer)
        handlers.on(CrashReport)(self._handle_crash)
        handlers.on(RequestQuarantined)(self._handle_quarantined)
        handlers.on(SuspectCleared)(self._handle_cleared)

    async def run(self):
        """Judges candidates and stores the quarantine until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.store.run_writes)
            while True:
                self.judge()
                await anyio.sleep(JUDGE_INTERVAL_S)

    def judge(self):
        """Quarantines the candidates that caused their crashes, and tells the peers."""
        self._announce(self._ledger.judge(self._runtime.now()))

    async def run_merging(self):
        """Passes on the collected reports about each crash as one until cancelled."""
        while True:
            await self._wake.wait()
            await anyio.sleep(self._merge_s)
            self._wake = anyio.Event()
            unsent, self._unsent = self._unsent, {}
            for crash in unsent.values():
                self._peers.broadcast(
                    _report_message(crash.report(self._runtime.now()))
                )

    def check(self, fingerprint, parts=()):
        """Checks whether a request may run.

        Args:
            fingerprint: Fingerprint of the request.
            parts: Names of the parts of its prompt; see ``part_names``.

        Returns:
            The servers that crashed while it ran; empty if it is no crash candidate.

        Raises:
            Quarantined: The request or a part of its prompt is quarantined; it must not
                run.
            Overloaded: The reports about its last crash are still awaited.
        """
        now = self._runtime.now()
        for part in parts:
            if self._ledger.status(part, now) is FingerprintStatus.quarantined:
                raise Quarantined(
                    "A part of its prompt crashed backend servers.",
                    ran="no",
                    retry_after_s=self._ledger.quarantine_left_s(part, now),
                )
        status = self._ledger.status(fingerprint, now)
        if status is FingerprintStatus.quarantined:
            raise Quarantined(
                "This request crashed backend servers.",
                ran="no",
                retry_after_s=self._ledger.quarantine_left_s(fingerprint, now),
            )
        if status is FingerprintStatus.held:
            raise Overloaded("Servers crashed while they ran this request.", ran="no")
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
        if server not in self._ledger.crashed_servers(fingerprint):
            return False
        return not self._uncounted_crashes.pop(server, False)

    def may_send_again(self, parts):
        """Returns whether a request may be sent again after its server has crashed.

        Args:
            parts: Names of the parts of its prompt.
        """
        now = self._runtime.now()
        return all(
            self._ledger.crash_count(part, now) <= MAX_CRASHES_OF_A_PART_TO_RETRY
            for part in parts
        )

    def clear(self, fingerprint, parts=()):
        """Clears a request that has got a complete answer, and the parts of its prompt.

        Args:
            fingerprint: Fingerprint of the request.
            parts: Names of the parts of its prompt.
        """
        for name in (fingerprint, *parts):
            left_s = self._ledger.quarantine_left_s(name, self._runtime.now())
            if self._clear(name):
                self._peers.broadcast(SuspectCleared(name))
                if left_s:
                    self.store.save(name)

    def report_crash(self, server, fingerprints, parts=()):
        """Records a crash that this process has detected and reports it to the peers.

        Args:
            server: Name of the backend server.
            fingerprints: Fingerprints of this process's requests in progress there.
            parts: A ``PartInProgress`` for each part of their prompts.
        """
        crash_id = new_id("crash")
        crash = Crash(crash_id, server, tuple(fingerprints), parts=tuple(parts))
        quarantined = self._record(crash)
        if quarantined is not None:
            self._peers.broadcast(_report_message(crash))
            self._announce(quarantined)

    async def _handle_crash(self, link, message):
        crash = _reported_crash(message)
        quarantined = self._record(crash)
        if quarantined is None:
            return
        if self._merge_s:
            self._merge(crash)
        else:
            self._pass_on(message)
        self._announce(quarantined)

    def _merge(self, crash):
        record = self._ledger.find_crash(crash, self._runtime.now())
        # The ledger keeps no crash that is too old to count.
        if record is not None:
            self._unsent[record.crash_id] = record
            self._wake.set()

    def _record(self, crash):
        """Records a report.

        Returns:
            The suspects that are quarantined now; None if the report tells nothing new.
        """
        now = self._runtime.now()
        if self._ledger.is_known(crash, now):
            return None
        is_new = self._ledger.find_crash(crash, now) is None
        quarantined = self._ledger.record_crash(crash, now)
        if is_new:
            self._record_new(crash, quarantined)
        return quarantined

    def _record_new(self, crash, quarantined):
        if not quarantined:
            self._uncounted_crashes[crash.server] = True
            if len(self._uncounted_crashes) > MAX_UNCOUNTED_CRASHES:
                self._uncounted_crashes.pop(next(iter(self._uncounted_crashes)))
        _log.warning(
            "Backend server {} crashed.",
            crash.server,
            crash=crash.crash_id,
            age_s=round(crash.age_s, 3),
            fingerprints=list(crash.fingerprints),
            parts=[part.name for part in crash.parts if part.begun],
        )
        self._runtime.events.add(EventKind.server_crashed, text=crash.server)

    def _announce(self, quarantined):
        now = self._runtime.now()
        for fingerprint in quarantined:
            left_s = self._ledger.quarantine_left_s(fingerprint, now)
            servers = list(self._ledger.crashed_servers(fingerprint))
            self._record_quarantine(fingerprint, servers)
            message = RequestQuarantined(fingerprint, servers, left_s)
            self._peers.broadcast(message)
            self.store.save(fingerprint)

    def _record_quarantine(self, fingerprint, servers):
        self._runtime.metrics.count("requests.quarantined")
        self._runtime.events.add(EventKind.request_quarantined, text=fingerprint)
        is_part = suspect_kind(fingerprint) is SuspectKind.part
        _log.warning(
            "Part of prompts is quarantined." if is_part else "Request is quarantined.",
            fingerprint=fingerprint,
            servers=servers,
        )

    async def _handle_quarantined(self, link, message):
        now = self._runtime.now()
        if self._ledger.quarantine(message.fingerprint, now, message.left_s):
            self._record_quarantine(message.fingerprint, list(message.servers))
            self._pass_on(message)

    async def _handle_cleared(self, link, message):
        if self._clear(message.fingerprint):
            self._pass_on(message)

    def _pass_on(self, message):
        if self._passes_on:
            self._peers.broadcast(message)

    def _clear(self, name):
        now = self._runtime.now()
        left_s = self._ledger.quarantine_left_s(name, now)
        is_cleared = self._ledger.clear(name, now)
        if is_cleared and left_s:
            _log.warning("Quarantine is lifted by an answer.", fingerprint=name)
        return is_cleared

    def _tell_new_peer(self, link):
        now = self._runtime.now()
        messages = [
            RequestQuarantined(known.fingerprint, list(known.servers), known.left_s)
            for known in self._ledger.quarantines(now)
        ]
        messages += [
            _report_message(crash) for crash in self._ledger.crashes_for_new_peer(now)
        ]
        with contextlib.suppress(LinkLost):
            for message in messages:
                link.send(message)


def _report_message(crash):
    """Returns the ``CrashReport`` of a ``Crash``."""
    parts = [
        CrashedPart(part.name, list(part.begun), list(part.waiting))
        for part in crash.parts
    ]
    names = list(crash.fingerprints)
    return CrashReport(crash.crash_id, crash.server, names, crash.age_s, parts)


def _reported_crash(message):
    """Returns the ``Crash`` of a ``CrashReport``."""
    parts = tuple(
        PartInProgress(part.part, tuple(part.begun), tuple(part.waiting))
        for part in message.parts
    )
    names = tuple(message.fingerprints)
    return Crash(message.crash_id, message.server, names, message.age_s, parts)
