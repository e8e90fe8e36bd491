"""Choice of the peers that a process keeps links to.

Load pattern: many gateways and many agents, each pair with a link. The heartbeats and
reports grow with the product of both numbers, and each process spends its time on them
rather than on requests. A subset that is alike for all gateways makes them grow with
the number of gateways only, and each of its agents hears of all requests.
"""

from dataclasses import dataclass

from pistachiowell.core.ids import stable_hash

TOPIC = "links"


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """Settings of a ``PeerSubset``.

    Attributes:
        usable: Number of usable peers that are wanted.
        patience_s: Seconds after which a chosen peer that is not usable no longer
            counts as one.
        linger_s: Seconds for which a peer that is no longer needed stays chosen, so
            that what was begun with it can end there.
    """

    usable: int = 8
    patience_s: float = 1.0
    linger_s: float = 20.0


def first_peers(names, count):
    """Returns the first peers of the ranking that is alike for all processes.

    Args:
        names: Names of all peers.
        count: Number of peers.
    """
    return sorted(names, key=lambda name: (stable_hash(TOPIC, name), name))[:count]


class PeerSubset:
    """Chooses the first peers of a ranking until enough of them are usable.

    All processes rank alike by rendezvous hash. A peer that fails is replaced by those
    that rank next, and takes its place again when it is back.

    Args:
        settings: ``SubsetSettings``.

    Examples:
        >>> subset = PeerSubset(SubsetSettings(usable=2))
        >>> names = {"a", "b", "c", "d"}
        >>> chosen = subset.choose(names, set(), 0.0)
        >>> len(chosen), len(subset.choose(names, chosen, 5.0))
        (2, 2)
        >>> len(subset.choose(names, set(), 9.0))
        4
    """

    __slots__ = (
        "_chosen_at",
        "_names",
        "_needed",
        "_needed_at",
        "_ranking",
        "_settings",
    )

    def __init__(self, settings):
        self._settings = settings
        self._names = frozenset()
        self._ranking = []
        self._needed = []
        self._chosen_at = {}
        self._needed_at = {}

    def choose(self, names, usable, now):
        """Returns the names of the peers to be linked.

        Args:
            names: Names of all peers.
            usable: Names of the peers that are linked and accept work.
            now: Present time in seconds.
        """
        self._rank(names)
        self._needed = self._find_needed(usable, now)
        for name in self._needed:
            self._chosen_at.setdefault(name, now)
            self._needed_at[name] = now
        oldest = now - self._settings.linger_s
        for name, needed_at in list(self._needed_at.items()):
            if needed_at < oldest or name not in self._names:
                del self._needed_at[name], self._chosen_at[name]
        return set(self._needed_at)

    def is_needed(self, name):
        """Returns whether a chosen peer gets new work.

        One that lingers gets none: processes that have failed to reach different peers
        would choose different ones for the same work.
        """
        return name in self._needed

    def _rank(self, names):
        if self._names != names:
            self._names = frozenset(names)
            self._ranking = first_peers(names, len(names))

    def _find_needed(self, usable, now):
        needed, count, failed = [], 0, 0
        for name in self._ranking:
            # As many more are tried as have failed, so that the loss of most peers at
            # once is over after a few rounds.
            if count >= self._settings.usable + failed:
                break
            needed.append(name)
            chosen_at = self._chosen_at.get(name, now)
            if name in usable or now - chosen_at < self._settings.patience_s:
                count += 1
            else:
                failed += 1
        return needed
