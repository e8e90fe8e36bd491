"""Selection of the backend server for one attempt."""

from collections import Counter
from dataclasses import dataclass
from math import comb

from pistachiowell.core.ids import stable_hash
from pistachiowell.core.registry import Registry

PICKERS = Registry("pick policy")


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may be selected for an attempt.

    Attributes:
        server: Name of the server.
        data_centre: Its data centre.
        distance: 0 in the same data centre, 1 in the same region, 2 beyond.
        is_cold: Whether its answers are slow for a while.
    """

    server: str
    data_centre: str = ""
    distance: int = 0
    is_cold: bool = False


class Picker:
    """Base of the pick policies.

    Args:
        settings: ``RoutingSettings``.
        loads: A ``LoadTable``.
        rng: A ``Random``.
    """

    __slots__ = ("_loads", "_rng", "_settings")

    def __init__(self, settings, loads, rng):
        self._settings = settings
        self._loads = loads
        self._rng = rng

    def pick(self, candidates, prefix, now):
        """Returns one of the candidates, or None if there are none.

        Args:
            candidates: A list of ``Candidate``.
            prefix: Key of a prompt prefix that a server may have cached; empty for
                none.
            now: Present time in seconds.
        """
        raise NotImplementedError

    def odds(self, candidates, prefix, now):
        """Returns the probability of each candidate that ``pick`` may return.

        Nothing is picked, and the random numbers are not used.

        Args:
            candidates: A non-empty list of ``Candidate``.
            prefix: See ``pick``.
            now: Present time in seconds.

        Returns:
            Mapping of server names to probabilities above 0.
        """
        raise NotImplementedError


@PICKERS.add("random")
class RandomPicker(Picker):
    """Picks each candidate with equal probability; the baseline without load data."""

    __slots__ = ()

    def pick(self, candidates, prefix, now):
        """Returns one of the candidates, or None if there are none."""
        return self._rng.choice(candidates) if candidates else None

    def odds(self, candidates, prefix, now):
        """Returns equal probabilities; see ``Picker.odds``."""
        return even_odds(c.server for c in candidates)


@PICKERS.add("least_loaded")
class LeastLoadedPicker(Picker):
    """Picks the candidate with the least estimated load.

    When reports lag, all routers pick the same server until its next report (herding).
    """

    __slots__ = ()

    def pick(self, candidates, prefix, now):
        """Returns one of the candidates, or None if there are none."""
        return min(
            candidates,
            key=lambda c: self._loads.load_per_slot(c.server, now),
            default=None,
        )

    def odds(self, candidates, prefix, now):
        """Returns the one candidate that is picked; see ``Picker.odds``."""
        return even_odds([self.pick(candidates, prefix, now).server])


@PICKERS.add("two_choices")
class TwoChoicesPicker(Picker):
    """Keeps a prefix on one server while its load is near the mean.

    Nearer servers are preferred while any of them has room. The server that ranks first
    for the prefix by rendezvous hashing is picked, as it is likely to have the prefix
    cached, unless its load exceeds the mean by more than the allowed share. Otherwise,
    and without a prefix, the less loaded of two random candidates is picked. The random
    pair prevents herding: routers with the same lagged reports do not all send to the
    one server that looks idle.
    """

    __slots__ = ()

    def pick(self, candidates, prefix, now):
        """Returns one of the candidates, or None if there are none."""
        if not candidates:
            return None
        near = self._near(candidates, now)
        if prefix:
            owner = rendezvous(near, prefix)
            if self._keeps_prefix(owner, near, now):
                return owner
        return self._draw(near, now)

    def odds(self, candidates, prefix, now):
        """Returns the probability of each candidate; see ``Picker.odds``."""
        near = self._near(candidates, now)
        owner = rendezvous(near, prefix) if prefix else None
        if owner is not None and self._keeps_prefix(owner, near, now):
            return {owner.server: 1.0}
        odds = self._draw_odds(near, now)
        return {name: share for name, share in odds.items() if share}

    def _draw(self, near, now):
        """Returns the less loaded of two random candidates, a warm one if there is."""
        pair = self._rng.sample(near, min(2, len(near)))
        return min(pair, key=lambda c: (c.is_cold, self._load(c, now)))

    def _draw_odds(self, near, now):
        orders = {c.server: (c.is_cold, self._load(c, now)) for c in near}
        return first_odds(orders, 2)

    def _load(self, candidate, now):
        return self._loads.load_per_slot(candidate.server, now)

    def _near(self, candidates, now):
        for distance in sorted({c.distance for c in candidates}):
            near = [c for c in candidates if c.distance <= distance]
            if any(self._has_room(c, now) for c in near):
                return near
        return candidates

    def _has_room(self, candidate, now):
        load = self._loads.load_per_slot(candidate.server, now)
        return load < self._settings.spill_load

    def _keeps_prefix(self, owner, candidates, now):
        loads = [self._loads.load(c.server, now) for c in candidates]
        mean = sum(loads) / len(loads)
        max_load = (1.0 + self._settings.affinity_extra_load) * mean + 1.0
        fits = self._loads.load(owner.server, now) <= max_load
        return fits and self._has_room(owner, now)


@PICKERS.add("six_choices")
class SixChoicesPicker(TwoChoicesPicker):
    """Picks the least loaded of six random candidates.

    Load pattern: servers differ in speed, and some are slow for parts of a second. The
    own requests at a slow server end later, so that their number shows it at once. That
    is more of a difference than two candidates show. Herding needs loads that others
    know too; without load reports each router sees its own requests only.
    """

    __slots__ = ()

    CHOICES = 6

    def _draw(self, near, now):
        # Two random candidates decide whether a cold server is chosen, as in
        # ``two_choices``. Of six, one warm server would get nearly all requests.
        pair = self._rng.sample(near, min(2, len(near)))
        is_cold = all(c.is_cold for c in pair)
        group = [c for c in near if c.is_cold == is_cold]
        chosen = self._rng.sample(group, min(self.CHOICES, len(group)))
        return min(chosen, key=lambda c: self._load(c, now))

    def _draw_odds(self, near, now):
        warm = {c.server: self._load(c, now) for c in near if not c.is_cold}
        cold = {c.server: self._load(c, now) for c in near if c.is_cold}
        drawn = min(2, len(near))
        cold_share = comb(len(cold), drawn) / comb(len(near), drawn)
        odds = {}
        for loads, share in ((warm, 1.0 - cold_share), (cold, cold_share)):
            firsts = first_odds(loads, self.CHOICES)
            odds.update({name: share * first for name, first in firsts.items()})
        return odds


def first_odds(orders, drawn):
    """Returns the probability of each candidate to come first in a random draw.

    Args:
        orders: Mapping of the candidate's name to what is compared; the least is first.
        drawn: Number of the candidates that are drawn; all if there are fewer.

    Examples:
        >>> first_odds({"a": 1, "b": 2, "c": 3}, 2) == {"a": 2 / 3, "b": 1 / 3, "c": 0}
        True
    """
    if not orders:
        return {}
    counts = Counter(orders.values())
    drawn = min(drawn, len(orders))
    shares, worse = {}, 0
    for order in sorted(counts, reverse=True):
        # Equal candidates come first equally often.
        draws = comb(worse + counts[order], drawn) - comb(worse, drawn)
        shares[order] = draws / comb(len(orders), drawn) / counts[order]
        worse += counts[order]
    return {name: shares[order] for name, order in orders.items()}


def even_odds(names):
    """Returns the same probability for each of some names.

    Examples:
        >>> even_odds(["a", "b"])
        {'a': 0.5, 'b': 0.5}
    """
    names = list(names)
    return {name: 1 / len(names) for name in names}


def rendezvous(candidates, key):
    """Returns the candidate that ranks first for a key, the same in every process.

    Args:
        candidates: A non-empty list of ``Candidate``.
        key: Any text.
    """
    return max(candidates, key=lambda c: stable_hash(c.server, key))
