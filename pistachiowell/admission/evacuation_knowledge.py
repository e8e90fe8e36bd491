"""Since when a process has seen each evacuation of a data centre begin and end.

Load pattern: the servers of a data centre are cold for some seconds after the end of
its evacuation. A gateway that starts in these seconds, or that hears of the world again
after a while, reads that nothing is evacuated and would send its usual share.
"""

# Longer than a watch of the store waits, and than agents need between two heartbeats.
# An evacuation that begins and ends within this time may stay unknown to a process.
MAX_UNCONFIRMED_S = 4.0


class EvacuationKnowledge:
    """The time from which on a process knows all evacuations.

    Any data centre may have been evacuated until then, so its servers count as cold for
    as long after it as after an evacuation.

    Examples:
        >>> knowledge = EvacuationKnowledge()
        >>> knowledge.confirm(10.0)
        >>> knowledge.known_s(11.0)
        1.0
        >>> knowledge.extend(5.0)  # a process that has seen more has told the ends
        >>> knowledge.known_s(11.0), knowledge.read_at
        (6.0, 10.0)
        >>> knowledge.confirm(20.0)  # an evacuation may have begun and ended meanwhile
        >>> knowledge.since
        20.0
    """

    __slots__ = ("_confirmed_at", "_read_at", "_since")

    def __init__(self):
        self._confirmed_at = float("-inf")
        self._read_at = None
        self._since = None

    @property
    def since(self):
        """Time from which on all evacuations are known; None if none ever were."""
        return self._since

    @property
    def read_at(self):
        """Time from which on the process itself has followed them; None before.

        What it read of servers until then may have been written long before.
        """
        return self._read_at

    def is_broken(self, now):
        """Returns whether an evacuation may have passed unseen since the last news.

        Args:
            now: Present time in seconds.
        """
        return now - self._confirmed_at > MAX_UNCONFIRMED_S

    def known_s(self, now):
        """Returns for how many seconds all evacuations have been known."""
        if self._since is None or self.is_broken(now):
            return 0.0
        return now - self._since

    def confirm(self, now):
        """Records that the state was read, or heard from a process that follows it."""
        if self.is_broken(now):
            self._since = self._read_at = now
        self._confirmed_at = now

    def keep(self, now):
        """Records that each change until now has been seen, after whatever time."""
        self._confirmed_at = now

    def extend(self, since):
        """Records that the ends of all evacuations since an earlier time are known."""
        if self._since is not None:
            self._since = min(self._since, since)
