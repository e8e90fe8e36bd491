"""Rules by which a ledger attributes crashes to one suspect.

Load pattern: requests of which some crash their server run beside others. All that were
in progress at a crash are suspects; the rules tell the cause from its companions.
"""

from collections import Counter
from math import comb, exp

from pistachiowell.core.registry import Registry
from pistachiowell.routing.crash_suspects import SuspectKind, suspect_kind

CRASH_RULES = Registry("crash rule")
# Bounds the time of a judgement.
MAX_SERIES_CRASHES = 40
# The number of answers is estimated by bisection up to so many for each request.
MAX_ANSWERS_OF_A_REQUEST = 100
BISECTION_STEPS = 20
# A part may be in no answer for a cause that is not chance, such as long requests, so
# an estimated number of answers proves no more.
MIN_ESTIMATED_CHANCE = 0.005


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
        return any(
            self._is_proved_by(CrashSeries(name, unexplained, with_waiting), since, now)
            for with_waiting in (False, True)
        )

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
        is_early = moments < settings.max_crashes
        max_chance = settings.max_chance_early if is_early else settings.max_chance
        chance = series.chance_of_presence()
        chance *= series.chance_of_no_answer(self._evidence.clearings(since))
        # Each of the parts might have been the one. They are counted last, as only few
        # parts come so far.
        if chance > max_chance or chance * series.count_parts() > max_chance:
            return False
        rivals = self._rivals(series.name, series.crashes, now)
        if is_early:
            return not rivals
        return all(len(others) <= len(series.crashes) for others in rivals)

    def settled(self, crashes, now):
        """Returns the latest crashes whose reports are in; others may follow."""
        latest = now - self._settings.settle_s
        settled = [crash for crash in crashes if crash.at <= latest]
        return settled[-MAX_SERIES_CRASHES:]

    def may_wait(self, name, crashes, now):
        """Returns False: a part is not held back while nothing is decided."""
        del name, crashes, now
        return False

    def _rivals(self, name, crashes, now):
        """Returns the crashes of each suspect that may have caused all of these."""
        shared = [
            other
            for other in (*crashes[0].fingerprints, *crashes[0].parts)
            if other != name and all(crash.names(other) for crash in crashes)
        ]
        counted = [self._evidence.counted(other, now) for other in shared]
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
        with_waiting: Whether requests count that a server had not begun to answer.

    Attributes:
        name: Name of the part.
        crashes: The crashes at which it was in progress.
        requests: Fingerprints of the requests with the part.

    References:
        Bonferroni (1936), on the probability of one of several events.
    """

    __slots__ = ("_present", "_series", "crashes", "name", "requests")

    def __init__(self, name, crashes, with_waiting):
        self.name = name
        self.crashes, self.requests = [], set()
        self._series, self._present = [], []
        for crash in crashes:
            counted = crash.counted_parts(with_waiting=with_waiting)
            is_present = name in counted.requests
            if not counted.requests or (name in crash.parts and not is_present):
                continue
            self._series.append(counted)
            if is_present:
                self.crashes.append(crash)
                self._present.append(len(counted.requests[name]))
                self.requests |= counted.requests[name]

    @property
    def length(self):
        """Number of crashes of the series."""
        return len(self._series)

    def chance_of_presence(self):
        """Returns how probable it is that an innocent part was at so many crashes.

        The requests with the part beyond the first one at each crash tell how common it
        is, and from this follows how often it is in progress at a crash by chance.
        """
        sizes = [counted.request_count for counted in self._series]
        repeats = sum(self._present) - len(self._present)
        share = min(1.0, (repeats + 0.5) / sum(sizes))
        at_one = sum(1 - (1 - share) ** size for size in sizes) / len(sizes)
        return min(1.0, _binomial_tail(len(sizes), len(self._present), at_one))

    def chance_of_no_answer(self, clearings):
        """Returns how probable it is that no answer has cleared an innocent part.

        Parts are cleared the more often, the more requests have them. A cleared part is
        no suspect any more, so later answers with it are not counted. For a part that
        was at all crashes, the number of answers is estimated from how many different
        parts were cleared. For others this would blame parts that most requests of a
        route have, if servers crash for a cause of their own.

        Args:
            clearings: Names of the parts that were cleared meanwhile, once for each
                time.
        """
        presences = Counter()
        for counted in self._series:
            for name, requests in counted.requests.items():
                presences[name] += len(requests)
        share = presences[self.name] / sum(presences.values())
        chance = exp(-len(clearings) * share)
        if len(self.crashes) < self.length:
            return chance
        cleared = len(presences.keys() & set(clearings))
        answers = _estimated_answers(Counter(presences.values()), cleared)
        return min(chance, max(MIN_ESTIMATED_CHANCE, exp(-answers * share)))

    def count_parts(self):
        """Returns the number of different parts at the crashes."""
        return len(set().union(*(counted.requests for counted in self._series)))


def _estimated_answers(parts_by_presences, cleared):
    """Returns after how many answers so many different parts are cleared on average.

    Args:
        parts_by_presences: Number of parts by the number of requests with them.
        cleared: Number of different parts that were cleared.
    """
    total = sum(size * parts for size, parts in parts_by_presences.items())
    low, high = 0.0, float(total * MAX_ANSWERS_OF_A_REQUEST)
    for _ in range(BISECTION_STEPS):
        answers = (low + high) / 2
        expected = sum(
            parts * (1 - exp(-answers * size / total))
            for size, parts in parts_by_presences.items()
        )
        low, high = (answers, high) if expected < cleared else (low, answers)
    return low


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
