"""Selection of the backend server for one attempt."""

from collections import Counter
from dataclasses import dataclass

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
        pair = self._rng.sample(near, min(2, len(near)))
        return min(pair, key=lambda c: self._order(c, now))

    def odds(self, candidates, prefix, now):
        """Returns the share of the pairs in which each candidate comes first."""
        near = self._near(candidates, now)
        owner = rendezvous(near, prefix) if prefix else None
        if owner is not None and self._keeps_prefix(owner, near, now):
            return {owner.server: 1.0}
        if len(near) == 1:
            return {near[0].server: 1.0}
        orders = {c.server: self._order(c, now) for c in near}
        counts = Counter(orders.values())
        beaten, passed = {}, 0
        for order in sorted(counts, reverse=True):
            # Of two equal candidates each comes first in half of their pairs.
            beaten[order] = passed + (counts[order] - 1) / 2
            passed += counts[order]
        pairs = len(near) * (len(near) - 1) / 2
        odds = {name: beaten[order] / pairs for name, order in orders.items()}
        return {name: share for name, share in odds.items() if share}

    def _order(self, candidate, now):
        load = self._loads.load_per_slot(candidate.server, now)
        return candidate.is_cold, load

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
