"""Rules by which a ledger attributes crashes to one suspect.

Load pattern: requests of which some crash their server run beside others. All that were
in progress at a crash are suspects; the rules tell the cause from its companions.
"""

from math import comb, exp

from pistachiowell.core.registry import Registry
from pistachiowell.routing.crash_suspects import SuspectKind, suspect_kind

CRASH_RULES = Registry("crash rule")


@CRASH_RULES.add(SuspectKind.request)
class RequestRule:
    """Attributes crashes to a whole request that is sent again and again.

    Args:
        settings: ``CrashSettings``.
        evidence: The ``CrashEvidence``.
    """

    __slots__ = ("_evidence", "_settings")

    def __init__(self, settings, evidence):
        self._settings = settings
        self._evidence = evidence

    def is_due(self, crashes):
        """Returns whether the crashes suffice for a decision."""
        return len(crashes) >= self._settings.quarantine_crashes

    def is_proved(self, name, crashes, now):
        """Returns whether the request caused the crashes.

        Args:
            name: Fingerprint of the request.
            crashes: The ``CrashRecord`` that count for it.
            now: Present time in seconds.
        """
        if len(crashes) >= self._settings.max_crashes:
            return True
        if self._has_rival(name, crashes, now):
            return False
        return self._lone_count(name, crashes, now) >= self._settings.lone_crashes

    def settled(self, crashes, now):
        """Returns the crashes to judge by; none while reports are awaited.

        The request is held meanwhile, so no further crash follows.
        """
        settled_at = max(crash.at for crash in crashes) + self._settings.settle_s
        return crashes if now >= settled_at else []

    def may_wait(self, name, crashes, now):
        """Returns whether an answer that is due soon may still decide.

        A part of prompts that other requests had at all the crashes may be the cause.
        An answer that clears the part shows that it is not.
        """
        last_at = max(crash.at for crash in crashes)
        if now >= last_at + self._settings.settle_s + self._settings.max_wait_s:
            return False
        return self._has_part_rival(name, crashes, now)

    def _has_part_rival(self, name, crashes, now):
        return any(
            all(crash.parts[part].fingerprints - {name} for crash in crashes)
            and _covers(self._evidence.counted(part, now), crashes)
            for part in set.intersection(*(set(crash.parts) for crash in crashes))
        )

    def _has_rival(self, name, crashes, now):
        shared = set.intersection(*(crash.fingerprints for crash in crashes))
        is_shared = any(self._evidence.counted(other, now) for other in shared - {name})
        return is_shared or self._has_part_rival(name, crashes, now)

    def _lone_count(self, name, crashes, now):
        """Returns the number of crashes beside requests with no other crash."""
        return sum(
            all(
                len(self._evidence.counted(other, now)) < 2
                for other in crash.fingerprints
                if other != name
            )
            for crash in crashes
        )


@CRASH_RULES.add(SuspectKind.part)
class PartRule:
    """Attributes crashes to a part of prompts of requests of which no two are alike.

    The part was in progress at each crash of the series and in no answer that ended
    well, as such an answer clears it. It was so at most crashes and more often than
    chance explains: if servers crash for a cause of their own, many parts are in
    progress at several crashes. Servers that crash at the same moment count once: they
    may have a cause in common that is none of their requests.

    Args:
        settings: ``CrashSettings``.
        evidence: The ``CrashEvidence``.
    """

    __slots__ = ("_evidence", "_settings")

    def __init__(self, settings, evidence):
        self._settings = settings
        self._evidence = evidence

    def is_due(self, crashes):
        """Returns whether the crashes suffice for a decision."""
        return len(crashes) >= self._settings.quarantine_crashes

    def is_proved(self, name, crashes, now):
        """Returns whether the part caused the crashes; see ``RequestRule``.

        Requests that the server had begun to answer prove more. Only if they do not
        suffice are those that waited counted too.
        """
        since = min(crash.at for crash in crashes)
        unexplained = self.settled(self._evidence.unexplained(name, since), now)
        begun = CrashSeries(name, unexplained, lambda part: part.begun)
        if self._is_proved_by(begun, since, now):
            return True
        both = CrashSeries(name, unexplained, lambda part: part.fingerprints)
        return self._is_proved_by(both, since, now)

    def _is_proved_by(self, series, since, now):
        settings = self._settings
        is_due = self.is_due(series.crashes)
        if not is_due or len(series.requests) < settings.min_requests:
            return False
        moments = self._moments(series.crashes)
        if moments < settings.min_moments:
            return False
        if len(series.crashes) < settings.min_share * series.length:
            return False
        chance = series.chance_of_presence()
        chance *= series.chance_of_no_answer(self._evidence.count_clearings(since))
        rivals = self._rivals(series.name, series.crashes, now)
        if moments < settings.max_crashes:
            return chance <= settings.max_chance_early and not rivals
        is_dominated = any(len(others) > len(series.crashes) for others in rivals)
        return chance <= settings.max_chance and not is_dominated

    def settled(self, crashes, now):
        """Returns the crashes whose reports are in; others may follow all the time."""
        latest = now - self._settings.settle_s
        return [crash for crash in crashes if crash.at <= latest]

    def may_wait(self, name, crashes, now):
        """Returns False: a part is not held back while nothing is decided."""
        del name, crashes, now
        return False

    def _rivals(self, name, crashes, now):
        """Returns the crashes of each suspect that may have caused all of these."""
        shared = set.intersection(
            *(crash.fingerprints.union(crash.parts) for crash in crashes)
        )
        counted = [self._evidence.counted(other, now) for other in shared - {name}]
        return [others for others in counted if _covers(others, crashes)]

    def _moments(self, crashes):
        count, last_at = 0, float("-inf")
        for crash in sorted(crashes, key=lambda crash: crash.at):
            if crash.at - last_at >= self._settings.moment_s:
                count, last_at = count + 1, crash.at
        return count


class CrashSeries:
    """A series of crashes and how probable it is if a part is innocent.

    Crashes at which the part is named but not counted are left out.

    Args:
        name: Name of the part.
        crashes: The ``CrashRecord`` that the part may have caused.
        counted: Function that returns the fingerprints to count of a ``PartRecord``.

    Attributes:
        name: Name of the part.
        crashes: The crashes at which it was in progress.
        length: Number of crashes of the series.
        requests: Fingerprints of the requests with the part.

    References:
        Bonferroni (1936), on the probability of one of several events.
    """

    __slots__ = ("_counts", "_sizes", "crashes", "length", "name", "requests")

    def __init__(self, name, crashes, counted):
        self.name = name
        self.crashes, self.requests = [], set()
        self._counts, self._sizes = [], []
        for crash in crashes:
            parts = {n: counted(p) for n, p in crash.parts.items() if counted(p)}
            if not parts or (name in crash.parts and name not in parts):
                continue
            self._counts.append({n: len(names) for n, names in parts.items()})
            self._sizes.append(len(set().union(*parts.values())))
            if name in parts:
                self.crashes.append(crash)
                self.requests |= parts[name]
        self.length = len(self._sizes)

    def chance_of_presence(self):
        """Returns how probable it is that any innocent part was at so many crashes.

        The requests with the part beyond the first one at each crash tell how common it
        is, and from this follows how often it is in progress at a crash by chance. The
        binomial probability is multiplied by the number of parts, each of which might
        have been the one.
        """
        present = [counts[self.name] for counts in self._counts if self.name in counts]
        repeats = sum(count - 1 for count in present)
        share = min(1.0, (repeats + 0.5) / sum(self._sizes))
        at_one = sum(1 - (1 - share) ** size for size in self._sizes) / self.length
        parts = len(set().union(*self._counts))
        return min(1.0, parts * _binomial_tail(self.length, len(present), at_one))

    def chance_of_no_answer(self, clearings):
        """Returns how probable it is that no answer has cleared an innocent part.

        Parts are cleared the more often, the more requests have them.

        Args:
            clearings: How often any part was cleared meanwhile.
        """
        total = sum(sum(counts.values()) for counts in self._counts)
        own = sum(counts.get(self.name, 0) for counts in self._counts)
        return exp(-clearings * own / total)


def _binomial_tail(trials, successes, chance):
    """Returns the probability of so many successes or more."""
    return sum(
        comb(trials, count) * chance**count * (1 - chance) ** (trials - count)
        for count in range(successes, trials + 1)
    )


def crash_rules(settings_by_kind, evidence):
    """Returns the rule of each ``SuspectKind``.

    Args:
        settings_by_kind: ``CrashSettings`` by ``SuspectKind``.
        evidence: The ``CrashEvidence``.
    """
    return {
        kind: CRASH_RULES.find(kind)(settings, evidence)
        for kind, settings in settings_by_kind.items()
    }


def rule_of(rules, name):
    """Returns the rule for the suspect with a name."""
    return rules[suspect_kind(name)]


def _covers(counted, crashes):
    known = set(map(id, counted))
    return all(id(crash) in known for crash in crashes)
