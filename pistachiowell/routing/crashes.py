"""Requests that crash backend servers: suspects and quarantine."""

from dataclasses import dataclass, field
from enum import StrEnum

from pistachiowell.core.ids import stable_hash
from pistachiowell.core.registry import Registry
from pistachiowell.routing.pick import rendezvous

CRASH_LEDGERS = Registry("crash ledger")

SUSPECT_S = 600.0
QUARANTINE_S = 3600.0
QUARANTINE_CRASHES = 2


class FingerprintStatus(StrEnum):
    """What is known of a fingerprint."""

    clear = "clear"
    crash_candidate = "suspect"
    quarantined = "quarantined"


@dataclass(frozen=True, slots=True)
class Crash:
    """A backend server that fell over.

    Attributes:
        crash_id: Unique id of the crash.
        server: Name of the server.
        fingerprints: Those of the requests in progress.
    """

    crash_id: str
    server: str
    fingerprints: tuple[str, ...]


@dataclass(slots=True)
class _Record:
    crashes: dict = field(default_factory=dict)
    until: float = 0.0
    quarantined: bool = False


def fingerprint(account, route, body):
    """Returns what stays the same when a caller sends a request again.

    Args:
        account: Name of the client account.
        route: Name of the route.
        body: Body as bytes.
    """
    digest = stable_hash(account, route, body.hex())
    return f"{digest:016x}"


def place_crash_candidate(candidates, fingerprint, crashed):
    """Returns the server that runs a suspect, the same from every router.

    All routers choosing alike keeps copies of one request from taking down a server
    each before the news of a crash has spread.

    Args:
        candidates: A non-empty list of ``Candidate``.
        fingerprint: Fingerprint of the request.
        crashed: Names of the servers that crashed while it ran; avoided if others
            are left.
    """
    fresh = [c for c in candidates if c.server not in crashed]
    return rendezvous(fresh or candidates, fingerprint)


@CRASH_LEDGERS.add("none")
class NoLedger:
    """Clears every request; the naive baseline."""

    __slots__ = ()

    def record_crash(self, crash, now):
        """Returns no fingerprint to quarantine."""
        return []

    def status(self, fingerprint, now):
        """Returns the ``FingerprintStatus`` of a fingerprint."""
        return FingerprintStatus.clear

    def crashed_servers(self, fingerprint):
        """Returns the servers that crashed while the request ran."""
        return ()

    def clear(self, fingerprint):
        """Returns False, as nothing was suspected."""
        return False


@CRASH_LEDGERS.add("count")
class CrashLedger:
    """Counts the crashes of each fingerprint.

    A request in progress at a crash becomes a suspect, which must run alone. A whole
    answer clears it; a second crash before that quarantines it. Reports of one
    crash that come over several ways count once.

    Examples:
        >>> ledger = CrashLedger()
        >>> ledger.record_crash(Crash("c1", "s1", ("bad", "other")), 0.0)
        []
        >>> ledger.clear("other")
        True
        >>> ledger.record_crash(Crash("c2", "s2", ("bad",)), 1.0)
        ['bad']
        >>> str(ledger.status("bad", 2.0)), str(ledger.status("other", 2.0))
        ('quarantined', 'clear')
    """

    __slots__ = ("_records", "_seen")

    def __init__(self):
        self._records = {}
        self._seen = {}

    def record_crash(self, crash, now):
        """Takes the report of a crash.

        Args:
            crash: A ``Crash``.
            now: Present time in seconds.

        Returns:
            The fingerprints that this crash quarantines.
        """
        self._forget(now)
        if crash.crash_id in self._seen:
            return []
        self._seen[crash.crash_id] = now + SUSPECT_S
        return [name for name in crash.fingerprints if self._count(name, crash, now)]

    def is_known(self, crash_id):
        """Returns whether the crash was reported before."""
        return crash_id in self._seen

    def status(self, fingerprint, now):
        """Returns the ``FingerprintStatus`` of a fingerprint."""
        record = self._records.get(fingerprint)
        if record is None or now >= record.until:
            return FingerprintStatus.clear
        return (
            FingerprintStatus.quarantined
            if record.quarantined
            else FingerprintStatus.crash_candidate
        )

    def crashed_servers(self, fingerprint):
        """Returns the servers that crashed while the request ran."""
        record = self._records.get(fingerprint)
        return tuple(record.crashes.values()) if record else ()

    def clear(self, fingerprint):
        """Takes a whole answer of a request.

        Returns:
            Whether it was a suspect, so that peers should learn of it.
        """
        record = self._records.get(fingerprint)
        if record is None or record.quarantined:
            return False
        del self._records[fingerprint]
        return True

    def quarantine(self, fingerprint, now):
        """Takes over a quarantine that another process has decided."""
        record = self._records.setdefault(fingerprint, _Record())
        record.quarantined = True
        record.until = now + QUARANTINE_S

    def _count(self, name, crash, now):
        record = self._records.setdefault(name, _Record())
        record.crashes[crash.crash_id] = crash.server
        record.until = max(record.until, now + SUSPECT_S)
        if record.quarantined or len(record.crashes) < QUARANTINE_CRASHES:
            return False
        self.quarantine(name, now)
        return True

    def _forget(self, now):
        self._seen = {key: until for key, until in self._seen.items() if until > now}
        gone = [name for name, rec in self._records.items() if rec.until <= now]
        for name in gone:
            del self._records[name]
