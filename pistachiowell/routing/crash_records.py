"""What a crash ledger keeps of crashes and of their suspects."""

from collections import deque
from dataclasses import dataclass, field

from pistachiowell.routing.crash_suspects import Crash, PartInProgress

# The latest times at which parts were cleared are kept.
MAX_CLEARINGS = 2_000


@dataclass(slots=True)
class PartRecord:
    """A part of prompts at one crash, as known from all reports.

    Attributes:
        begun: Fingerprints of the requests with it that the server had begun to answer.
        waiting: Fingerprints of the others, as far as reports tell.
    """

    begun: set = field(default_factory=set)
    waiting: set = field(default_factory=set)

    @property
    def fingerprints(self):
        """Fingerprints of all requests with it."""
        return self.begun | self.waiting

    def has_all(self, part):
        """Returns whether a ``PartInProgress`` adds nothing."""
        is_known = self.begun.issuperset(part.begun)
        return is_known and self.waiting.issuperset(part.waiting)


class CountedParts:
    """The parts at one crash, as far as they count.

    Args:
        requests: Fingerprints of the requests with a part, by name of the part.

    Attributes:
        requests: The same, without parts that no request had.
        request_count: Number of requests with any of the parts.
        presence_count: Sum of the requests with each part.
    """

    __slots__ = ("presence_count", "request_count", "requests")

    def __init__(self, requests):
        self.requests = {name: names for name, names in requests.items() if names}
        self.request_count = len(set().union(*self.requests.values()))
        self.presence_count = sum(map(len, self.requests.values()))


@dataclass(slots=True, eq=False)
class CrashRecord:
    """A crash as known from all reports about it.

    Attributes:
        crash_id: Id of the first report.
        server: Name of the server.
        at: Time of the crash in seconds.
        fingerprints: Fingerprints of the requests in progress.
        parts: ``PartRecord`` of the parts of their prompts by name.
        culprit: Name of the quarantined suspect that caused it; empty before.
    """

    crash_id: str
    server: str
    at: float
    fingerprints: set = field(default_factory=set)
    parts: dict = field(default_factory=dict)
    culprit: str = ""
    _counted_parts: dict = field(default_factory=dict, repr=False)

    def counted_parts(self, *, with_waiting):
        """Returns the ``CountedParts``.

        Args:
            with_waiting: Whether requests count that a server had not begun to answer.
        """
        if with_waiting not in self._counted_parts:
            self._counted_parts[with_waiting] = CountedParts(
                {
                    name: part.fingerprints if with_waiting else part.begun
                    for name, part in self.parts.items()
                }
            )
        return self._counted_parts[with_waiting]

    def add(self, crash, max_suspects):
        """Adds what a report names; returns the names that were not known before.

        Args:
            crash: A ``Crash``.
            max_suspects: Suspects of each kind that are kept.
        """
        self._counted_parts.clear()
        room = max(0, max_suspects - len(self.fingerprints))
        new = [n for n in crash.fingerprints[:room] if n not in self.fingerprints]
        self.fingerprints.update(new)
        for part in crash.parts:
            known = self.parts.get(part.name)
            if known is None and len(self.parts) >= max_suspects:
                continue
            if known is None:
                known = self.parts[part.name] = PartRecord()
                new.append(part.name)
            known.begun.update(part.begun)
            known.waiting.update(part.waiting)
        return new

    def names(self, suspect):
        """Returns whether a suspect was in progress."""
        return suspect in self.fingerprints or suspect in self.parts

    def has_all(self, crash, max_suspects):
        """Returns whether a report adds nothing to this record."""
        is_full = len(self.fingerprints) >= max_suspects
        has_requests = is_full or self.fingerprints.issuperset(crash.fingerprints)
        return has_requests and all(
            part.name in self.parts and self.parts[part.name].has_all(part)
            for part in crash.parts
        )

    def counts_for(self, name):
        """Returns whether this crash may still have been caused by a suspect.

        A request that is quarantined may have crashed the server by a part of its
        prompt, so the crash still counts for that part.
        """
        if not self.culprit or self.culprit == name:
            return True
        part = self.parts.get(name)
        return part is not None and self.culprit in part.fingerprints

    def report(self, now):
        """Returns a ``Crash`` that tells a new peer all that is known."""
        parts = tuple(
            PartInProgress(name, tuple(sorted(part.begun)), tuple(sorted(part.waiting)))
            for name, part in sorted(self.parts.items())
        )
        names = tuple(sorted(self.fingerprints))
        return Crash(self.crash_id, self.server, names, now - self.at, parts)


@dataclass(slots=True)
class SuspectRecord:
    """What is known of one suspect.

    Attributes:
        crashes: ``CrashRecord`` of the crashes at which it was in progress.
        quarantined_until: Time at which its quarantine ends, in seconds.
    """

    crashes: list = field(default_factory=list)
    quarantined_until: float = float("-inf")

    @property
    def was_quarantined(self):
        """Whether it is or was in quarantine."""
        return self.quarantined_until > float("-inf")


class CrashEvidence:
    """The crashes and suspects of a ledger, as its rules see them.

    Args:
        candidate_s: Seconds for which a crash counts.

    Attributes:
        crashes: The ``CrashRecord`` that are kept, oldest first.
        suspects: ``SuspectRecord`` by name.
    """

    __slots__ = ("_candidate_s", "_cleared", "crashes", "suspects")

    def __init__(self, candidate_s):
        self._candidate_s = candidate_s
        self._cleared = deque(maxlen=MAX_CLEARINGS)
        self.crashes = []
        self.suspects = {}

    def counted(self, name, now):
        """Returns the crashes that count for a suspect."""
        known = self.suspects.get(name)
        if known is None:
            return []
        oldest = now - self._candidate_s
        return [c for c in known.crashes if c.at > oldest and c.counts_for(name)]

    def unexplained(self, name, since):
        """Returns the crashes since a time that may have been caused by a suspect."""
        return [c for c in self.crashes if c.at >= since and c.counts_for(name)]

    def record_clearing(self, name, now):
        """Records that a good answer has cleared a part."""
        self._cleared.append((now, name))

    def clearings(self, since):
        """Returns the name of the cleared part for each clearing since a time."""
        return [name for at, name in self._cleared if at >= since]
