"""What servers have said of their leaving, kept over returns of the store."""

import dataclasses

# A copy of the store is some seconds old; the time is far longer.
MEMORY_S = 120.0


class Leavings:
    """Remembers which runs of servers leave, and corrects registrations of a copy.

    Load pattern: a store that returns from an older copy calls servers ready that have
    drained since. A registration that such a copy brought back says nothing new, so a
    run that was leaving goes on leaving until its server writes the entry again.

    Examples:
        >>> from pistachiowell.catalog import BackendServer
        >>> ready = BackendServer("a", "s", "10.0.0.1", 80, "east", started_ms=5)
        >>> drains = dataclasses.replace(ready, is_leaving=True)
        >>> leavings = Leavings()
        >>> leavings.corrected(drains, 7, 0.0).is_leaving; leavings.end_list()
        True
        >>> leavings.begin_older_list()
        >>> leavings.corrected(ready, 6, 1.0).is_leaving; leavings.end_list()
        True
        >>> leavings.corrected(ready, 6, 2.0).is_leaving
        True
        >>> leavings.corrected(ready, 8, 3.0).is_leaving
        False
    """

    __slots__ = ("_is_older_list", "_older_versions", "_seen_at")

    def __init__(self):
        self._is_older_list = False
        self._older_versions = {}
        self._seen_at = {}

    @property
    def is_older_list(self):
        """Whether the present list may be of an older copy."""
        return self._is_older_list

    def begin_older_list(self):
        """Lets the next list count as one that may be of an older copy."""
        self._is_older_list = True

    def end_list(self):
        """Ends a list; later versions of its entries have been written since."""
        self._is_older_list = False

    def corrected(self, server, version, now):
        """Returns a registration as it stands after what its run has said before.

        Args:
            server: The ``BackendServer`` as registered.
            version: Version of the registration.
            now: Present time in seconds.
        """
        run = (server.id, server.started_ms)
        if server.is_leaving:
            self._remove_old(now)
            self._seen_at[run] = now
            return server
        if self._is_older_list and now - self._seen_at.get(run, -MEMORY_S) < MEMORY_S:
            self._older_versions[run] = version
        if self._older_versions.get(run) == version:
            return dataclasses.replace(server, is_leaving=True)
        self._older_versions.pop(run, None)
        return server

    def _remove_old(self, now):
        for run, seen_at in list(self._seen_at.items()):
            if now - seen_at >= MEMORY_S:
                del self._seen_at[run]
                self._older_versions.pop(run, None)
