"""Detection and quarantine of what crashes backend servers.

Load pattern: a request, or a part of prompts, crashes each server that begins to run
it. Callers and retries send it again, and it would end one server after another, at
whichever router it arrives. The ledger attributes crashes to their cause and
quarantines it, also if other requests were in progress at the same servers.
"""

from dataclasses import dataclass
from heapq import nlargest

from pistachiowell.core.registry import Registry
from pistachiowell.routing.crash_records import (
    CrashEvidence,
    CrashRecord,
    SuspectRecord,
)
from pistachiowell.routing.crash_rules import crash_rules, rule_of
from pistachiowell.routing.crash_suspects import (
    FingerprintStatus,
    Quarantine,
    SuspectKind,
    suspect_kind,
)

CRASH_LEDGERS = Registry("crash ledger")
# Parts whose quarantine was lifted are remembered, so that a late notice or a record of
# the store does not renew it.
MAX_LIFTED = 1_000
# Suspects that are judged at a time; those with the most crashes go first.
MAX_JUDGED = 20


@dataclass(frozen=True, slots=True)
class CrashSettings:
    """Settings of a ``CrashLedger`` for one kind of suspects.

    The defaults suit servers whose agent runs a crash candidate alone: nothing else can
    have caused its second crash.

    Attributes:
        quarantine_crashes: Crashes from which on a suspect may be quarantined.
        lone_crashes: How many of them must have had no other request in progress that
            was a crash candidate more than once.
        max_crashes: Crashes, or moments for a part, from which on a suspect may be
            quarantined although others were in progress at all of them too.
        min_requests: Different requests with the part that must have been in progress.
        min_moments: Moments at which servers must have crashed.
        min_share: Share of all crashes since its first one at which it must have been
            in progress, unless another suspect is known to have caused them.
        max_chance: Greatest probability that an innocent part was at so many crashes
            and in no good answer.
        max_chance_early: The same before ``max_crashes``.
        moment_s: Servers that crash within this time do so at one moment, in seconds.
        settle_s: Seconds after a crash for which reports of other processes about it
            are awaited before a suspect is judged.
        max_wait_s: Seconds after that for which a decision may be put off.
        same_crash_s: Reports about one server whose times differ by less belong to the
            same crash; 0 to tell crashes apart by their ids alone.
        candidate_s: Seconds for which a crash counts.
        quarantine_s: Seconds of a quarantine.
        recent_s: Age in seconds up to which all crashes are told to a new peer; older
            ones only if they may lead to a quarantine.
        max_crash_records: Crashes that are kept.
        max_crash_fingerprints: Suspects of each kind that are kept for one crash.
        max_fingerprints: Crash candidates of each kind that are kept, and also
            quarantined ones.
    """

    quarantine_crashes: int = 2
    lone_crashes: int = 0
    max_crashes: int = 2
    min_requests: int = 1
    min_moments: int = 1
    min_share: float = 0.0
    max_chance: float = 1.0
    max_chance_early: float = 1.0
    moment_s: float = 0.0
    settle_s: float = 0.0
    max_wait_s: float = 0.0
    same_crash_s: float = 0.0
    candidate_s: float = 600.0
    quarantine_s: float = 3600.0
    recent_s: float = 30.0
    max_crash_records: int = 200
    max_crash_fingerprints: int = 500
    max_fingerprints: int = 10_000


# For servers that run other requests beside a crash candidate, from several routers.
SHARED_SERVER_CRASHES = CrashSettings(
    quarantine_crashes=3,
    lone_crashes=2,
    max_crashes=5,
    settle_s=0.5,
    max_wait_s=2.0,
    same_crash_s=0.8,
)
# A quarantined part affects many requests, so it is judged on more evidence and tried
# again sooner.
PART_CRASHES = CrashSettings(
    quarantine_crashes=4,
    max_crashes=4,
    min_requests=2,
    min_moments=2,
    min_share=0.5,
    max_chance=0.002,
    max_chance_early=0.0001,
    moment_s=0.3,
    settle_s=0.5,
    quarantine_s=300.0,
)


@CRASH_LEDGERS.add("none")
class NoLedger:
    """Reports every request as clear; the baseline without crash detection."""

    __slots__ = ()

    def record_crash(self, crash, now):
        """Ignores the crash and returns no fingerprint to quarantine."""
        return []

    def judge(self, now):
        """Returns no fingerprint to quarantine."""
        return []

    def status(self, fingerprint, now):
        """Returns the ``FingerprintStatus`` of a fingerprint."""
        return FingerprintStatus.clear

    def crashed_servers(self, fingerprint):
        """Returns the servers that crashed while the request ran."""
        return ()

    def clear(self, fingerprint, now):
        """Returns False, as there are no crash candidates."""
        return False


@CRASH_LEDGERS.add("count")
class CrashLedger:
    """Counts the crashes of each suspect and attributes them to one of them.

    A request in progress at a crash becomes a crash candidate, and so does each part of
    its prompt. A complete answer clears it; enough crashes before that quarantine it. A
    crash that a quarantined suspect caused no longer counts for the others that were in
    progress. Reports of one crash that arrive over several links are counted once.

    Where other requests run beside a candidate, a candidate that shared all its crashes
    with another one is not quarantined: nothing tells the two apart yet. A request is
    held only until the reports of all routers about its last crash have arrived.

    A quarantined part is cleared too by a complete answer to a request that was in
    progress. After the end of its quarantine a single crash renews it.

    Args:
        settings: ``CrashSettings`` of whole requests.
        part_settings: ``CrashSettings`` of parts of prompts.

    Examples:
        >>> from pistachiowell.routing import Crash
        >>> ledger = CrashLedger()
        >>> ledger.record_crash(Crash("c1", "s1", ("bad", "other")), 0.0)
        []
        >>> ledger.clear("other", 0.5)
        True
        >>> ledger.record_crash(Crash("c2", "s2", ("bad",)), 1.0)
        ['bad']
        >>> str(ledger.status("bad", 2.0)), str(ledger.status("other", 2.0))
        ('quarantined', 'clear')

    See Also:
        pistachiowell.routing.crash_rules: How crashes are attributed.
    """

    __slots__ = (
        "_evidence",
        "_lifted",
        "_pending",
        "_report_ids",
        "_rules",
        "_settings",
        "_settings_by_kind",
    )

    def __init__(self, settings=None, part_settings=PART_CRASHES):
        self._settings = settings or CrashSettings()
        self._settings_by_kind = {
            SuspectKind.request: self._settings,
            SuspectKind.part: part_settings,
        }
        self._evidence = CrashEvidence(self._settings.candidate_s)
        self._rules = crash_rules(self._settings_by_kind, self._evidence)
        self._report_ids = {}
        self._pending = set()
        self._lifted = {}

    def record_crash(self, crash, now):
        """Records a crash; of a repeated report only what it adds.

        Args:
            crash: A ``Crash``.
            now: Present time in seconds.

        Returns:
            A list of the suspects that are quarantined now; see ``judge``.
        """
        record = self.find_crash(crash, now)
        if record is None:
            at = now - crash.age_s
            record = CrashRecord(crash.crash_id, crash.server, at)
            self._evidence.crashes.append(record)
        self._report_ids[crash.crash_id] = record
        for name in record.add(crash, self._settings.max_crash_fingerprints):
            self._add_crash(name, record, now)
        self._remove_expired(now)
        self._limit_suspects(now)
        return self.judge(now)

    def judge(self, now):
        """Quarantines the suspects whose crashes have settled and have no other cause.

        Returns:
            A list of the suspects that are quarantined now.
        """
        names = sorted(self._pending)
        if len(names) > MAX_JUDGED:
            suspects = self._evidence.suspects
            names = nlargest(MAX_JUDGED, names, lambda n: len(suspects[n].crashes))
        return [name for name in names if self._judge(name, now)]

    def find_crash(self, crash, now):
        """Returns the ``CrashRecord`` that a report belongs to, or None.

        Args:
            crash: A ``Crash``.
            now: Present time in seconds.
        """
        record = self._report_ids.get(crash.crash_id)
        if record is not None:
            return record
        at, same_crash_s = now - crash.age_s, self._settings.same_crash_s
        for record in reversed(self._evidence.crashes):
            is_near = abs(record.at - at) < same_crash_s
            if is_near and record.server == crash.server:
                return record
        return None

    def is_known(self, crash, now):
        """Returns whether a report adds nothing to what has been recorded."""
        record = self.find_crash(crash, now)
        if record is None:
            return False
        return record.has_all(crash, self._settings.max_crash_fingerprints)

    def status(self, name, now):
        """Returns the ``FingerprintStatus`` of a suspect."""
        known = self._evidence.suspects.get(name)
        if known is None:
            return FingerprintStatus.clear
        if now < known.quarantined_until:
            return FingerprintStatus.quarantined
        is_request = suspect_kind(name) is SuspectKind.request
        if is_request and name in self._pending:
            return FingerprintStatus.held
        if self._evidence.counted(name, now):
            return FingerprintStatus.crash_candidate
        return FingerprintStatus.clear

    def crash_count(self, name, now):
        """Returns the number of crashes that count for a suspect."""
        return len(self._evidence.counted(name, now))

    def crashed_servers(self, name):
        """Returns the servers that crashed while the suspect was in progress."""
        known = self._evidence.suspects.get(name)
        return tuple(crash.server for crash in known.crashes) if known else ()

    def clear(self, name, now):
        """Clears a crash candidate after a complete answer.

        The quarantine of a request stays; that of a part ends, as other requests with
        the part were in progress when it began.

        Args:
            name: Name of the suspect.
            now: Present time in seconds.

        Returns:
            Whether it was a crash candidate, so that peers must be notified.
        """
        known = self._evidence.suspects.get(name)
        if known is None:
            return False
        is_part = suspect_kind(name) is SuspectKind.part
        if known.was_quarantined and not is_part:
            return False
        if known.was_quarantined:
            self._lift(name, known, now)
        if is_part:
            self._evidence.record_clearing(name, now)
        self._remove(name)
        return True

    def quarantine(self, name, now, left_s=None):
        """Quarantines a suspect, for instance as another process decided.

        Args:
            name: Name of the suspect.
            now: Present time in seconds.
            left_s: Seconds until the quarantine ends; None for its whole length.

        Returns:
            Whether it was not quarantined before.
        """
        quarantine_s = self._settings_by_kind[suspect_kind(name)].quarantine_s
        left_s = quarantine_s if left_s is None else min(left_s, quarantine_s)
        began_at = now + left_s - quarantine_s
        if began_at <= self._lifted.get(name, float("-inf")):
            return False
        known = self._evidence.suspects.setdefault(name, SuspectRecord())
        if now < known.quarantined_until:
            return False
        known.quarantined_until = now + left_s
        self._pending.discard(name)
        for crash in known.crashes:
            crash.culprit = crash.culprit or name
        self._limit_suspects(now)
        return True

    def quarantine_left_s(self, name, now):
        """Returns the seconds until the quarantine of a suspect ends; 0 if none."""
        known = self._evidence.suspects.get(name)
        return max(0.0, known.quarantined_until - now) if known else 0.0

    def quarantines(self, now):
        """Returns a ``Quarantine`` for each quarantined suspect."""
        return [
            Quarantine(
                name, self.crashed_servers(name), self.quarantine_left_s(name, now)
            )
            for name, known in self._evidence.suspects.items()
            if now < known.quarantined_until
        ]

    def crashes_for_new_peer(self, now):
        """Returns the ``Crash`` reports from which a new peer learns what is known."""
        return [
            crash.report(now)
            for crash in self._evidence.crashes
            if not crash.culprit and self._matters_to_new_peer(crash, now)
        ]

    def _matters_to_new_peer(self, crash, now):
        if now - crash.at < self._settings.recent_s:
            return True
        names = crash.fingerprints.union(crash.parts)
        return any(len(self._evidence.counted(name, now)) > 1 for name in names)

    def _add_crash(self, name, crash, now):
        known = self._evidence.suspects.pop(name, None) or SuspectRecord()
        self._evidence.suspects[name] = known
        known.crashes.append(crash)
        if now < known.quarantined_until:
            crash.culprit = crash.culprit or name
        elif self._may_be_judged(name, known, now):
            self._pending.add(name)

    def _may_be_judged(self, name, known, now):
        if self._is_renewed(name, known):
            return True
        return rule_of(self._rules, name).is_due(self._evidence.counted(name, now))

    @staticmethod
    def _is_renewed(name, known):
        return known.was_quarantined and suspect_kind(name) is SuspectKind.part

    def _judge(self, name, now):
        known = self._evidence.suspects[name]
        crashes = self._evidence.counted(name, now)
        if self._is_renewed(name, known):
            return self.quarantine(name, now)
        rule = rule_of(self._rules, name)
        if not rule.is_due(crashes):
            self._pending.discard(name)
            return False
        settled = rule.settled(crashes, now)
        if not rule.is_due(settled):
            return False
        if rule.is_proved(name, settled, now):
            self._pending.discard(name)
            return self.quarantine(name, now)
        is_whole = settled[-1] is crashes[-1]
        if is_whole and not rule.may_wait(name, settled, now):
            self._pending.discard(name)
        return False

    def _remove_expired(self, now):
        oldest = now - self._settings.candidate_s
        kept = [crash for crash in self._evidence.crashes if crash.at > oldest]
        self._evidence.crashes = kept[-self._settings.max_crash_records :]
        if len(self._evidence.crashes) == len(kept) and len(kept) == len(
            self._report_ids
        ):
            return
        known = {id(crash) for crash in self._evidence.crashes}
        self._report_ids = {
            crash_id: crash
            for crash_id, crash in self._report_ids.items()
            if id(crash) in known
        }
        for name, item in list(self._evidence.suspects.items()):
            item.crashes = [crash for crash in item.crashes if id(crash) in known]
            if not item.crashes and now >= item.quarantined_until:
                self._remove(name)

    def _lift(self, name, known, now):
        for crash in known.crashes:
            if crash.culprit == name:
                crash.culprit = ""
        self._lifted.pop(name, None)
        self._lifted[name] = now
        if len(self._lifted) > MAX_LIFTED:
            self._lifted.pop(next(iter(self._lifted)))

    def _remove(self, name):
        del self._evidence.suspects[name]
        self._pending.discard(name)

    def _limit_suspects(self, now):
        """Drops the oldest quarantined and the oldest other suspects beyond limits.

        They are limited apart, and so are the kinds, so that a server with many
        requests in progress that crashes often cannot push a suspect out of quarantine.
        """
        groups = {}
        for name, known in self._evidence.suspects.items():
            group = (suspect_kind(name), now < known.quarantined_until)
            groups.setdefault(group, []).append(name)
        for names in groups.values():
            for name in names[: max(0, len(names) - self._settings.max_fingerprints)]:
                self._remove(name)
