"""What each version of a service may get, as orders have said."""


class VersionStandings:
    """Standing of the versions of one service at one router.

    A version is established, on trial or rejected. Orders decide that, never the
    servers that happen to be listed: the list lacks the old version while its servers
    are down, and after a return of the store from an older copy.

    A version that no order has named is used if no established one is listed, as a
    service may change its version without an order. It does not become established.

    Examples:
        >>> standings = VersionStandings()
        >>> sorted(standings.usable({"v1"}, has_orders=True))
        ['v1']
        >>> standings.begin_trial("v2")
        >>> sorted(standings.usable({"v1", "v2"}, has_orders=True))
        ['v1']
        >>> standings.reject("v2")
        >>> sorted(standings.usable({"v2"}, has_orders=True))
        []
        >>> sorted(standings.usable({"v1", "v2"}, has_orders=True))
        ['v1']
    """

    __slots__ = ("_established", "_rejected", "_tried")

    def __init__(self):
        self._established = set()
        self._rejected = set()
        self._tried = None

    @property
    def tried(self):
        """The version on trial; None if there is none."""
        return self._tried

    @property
    def rejected(self):
        """The versions that get nothing."""
        return frozenset(self._rejected)

    def begin_trial(self, version):
        """Puts a version on trial; one whose trial has not ended is rejected."""
        if self._tried not in (None, version):
            self._rejected.add(self._tried)
        self._established.discard(version)
        self._rejected.discard(version)
        self._tried = version

    def accept(self, version):
        """Establishes a version in place of all others."""
        self._established = {version}
        self._rejected.discard(version)
        self._tried = None

    def reject(self, version):
        """Rejects a version until an order names it again."""
        self._established.discard(version)
        self._rejected.add(version)
        self._tried = None

    def usable(self, versions, has_orders):
        """Returns which versions get requests without a permit.

        Args:
            versions: The versions that are listed.
            has_orders: Whether the orders have been read; before that, nobody can tell
                which of several versions is established.
        """
        usable = self.expected(versions, has_orders)
        if not self._established:
            self._established |= usable
        return usable

    def expected(self, versions, has_orders):
        """Returns what ``usable`` would, and establishes no version."""
        others = versions - self._rejected - {self._tried}
        established = self._established & others
        if established:
            return established
        if not has_orders and len(others) > 1:
            return set()
        return others
