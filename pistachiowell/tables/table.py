"""The table as one process knows it."""

from pistachiowell.tables.rows import ROW_CLASSES, row_key, to_row


class Table:
    """Rows in memory, with lookups; each row only ever gets newer.

    The revision ``n`` says that all changes up to ``n`` are taken. Rows come from
    the store or from a peer, in any order and more than once.

    Examples:
        >>> from pistachiowell.schema.generated.table import StoredRow
        >>> row = {"kind": "version", "name": "v1"}
        >>> table = Table()
        >>> len(table.apply_rows([StoredRow(1, row, revision=3)], 3))
        1
        >>> table.apply_rows([StoredRow(1, row, revision=2)], 2)
        []
        >>> table.revision, table.version("v1").name
        (3, 'v1')
    """

    __slots__ = (
        "_accounts_by_hash",
        "_revision",
        "_rows",
        "_servers_by_version",
        "_stored",
        "_wanted_revision",
    )

    def __init__(self):
        self._revision = 0
        self._wanted_revision = 0
        self._stored = {}
        self._rows = {kind: {} for kind in ROW_CLASSES}
        self._accounts_by_hash = {}
        self._servers_by_version = {}

    @property
    def revision(self):
        """Revision up to which every change is taken."""
        return self._revision

    @property
    def latest_known_revision(self):
        """Highest revision that this process has heard of."""
        return self._wanted_revision

    @property
    def is_stale(self):
        """Whether a newer revision than the one taken is known to exist."""
        return self._wanted_revision > self._revision

    def record_known_revision(self, revision):
        """Notes that a revision exists somewhere.

        Returns:
            Whether this table is behind it.
        """
        self._wanted_revision = max(self._wanted_revision, revision)
        return revision > self._revision

    def apply_rows(self, stored_rows, through):
        """Takes rows that are newer than the ones held.

        Args:
            stored_rows: ``StoredRow`` items; all rows that changed after this
                table's revision and up to ``through`` must be among them.
            through: Revision up to which the rows are complete.

        Returns:
            The keys of the rows that changed here.
        """
        changed = [self._take_row(stored) for stored in stored_rows]
        changed = [key for key in changed if key is not None]
        if changed:
            self._index()
        self._revision = max(self._revision, through)
        self.record_known_revision(through)
        return changed

    def _take_row(self, stored):
        key = row_key(stored.row)
        held = self._stored.get(key)
        if held is not None and held.revision >= stored.revision:
            return None
        if key.kind not in self._rows:
            return None
        self._stored[key] = stored
        if stored.deleted:
            self._rows[key.kind].pop(key.name, None)
        else:
            self._rows[key.kind][key.name] = to_row(stored.row)
        return key

    def _index(self):
        accounts = self._rows["account"].values()
        self._accounts_by_hash = {
            key_hash: row for row in accounts for key_hash in row.key_hashes
        }
        self._servers_by_version = {}
        for row in self._rows["server"].values():
            self._servers_by_version.setdefault(row.version, []).append(row)

    def account_of_key(self, key_hash):
        """Returns the ``AccountRow`` of an API key's hash, or None."""
        return self._accounts_by_hash.get(key_hash)

    def account(self, name):
        """Returns an ``AccountRow``, or None."""
        return self._rows["account"].get(name)

    def route(self, name):
        """Returns a ``RouteRow``, or None."""
        return self._rows["route"].get(name)

    def server(self, name):
        """Returns a ``ServerRow``, or None."""
        return self._rows["server"].get(name)

    def version(self, name):
        """Returns a ``VersionRow``, or None."""
        return self._rows["version"].get(name)

    def move(self, name):
        """Returns a ``MoveRow``, or None."""
        return self._rows["move"].get(name)

    def routes(self):
        """Returns all ``RouteRow`` items in the order of their names."""
        return self.rows("route")

    def servers_of(self, version):
        """Returns the ``ServerRow`` items that run a version."""
        return list(self._servers_by_version.get(version, ()))

    def rows(self, kind):
        """Returns the rows of a kind in the order of their names."""
        rows = self._rows[kind]
        return [rows[name] for name in sorted(rows)]

    def stored(self, key):
        """Returns the ``StoredRow`` of a key, deleted ones included, or None."""
        return self._stored.get(key)

    def rows_after(self, revision):
        """Returns the rows that changed after a revision.

        The answer is never cut: a part of it could miss rows that a later change has
        overwritten, so that the receiver would hold a table that never was.

        Args:
            revision: Revision of the receiver.

        Returns:
            ``(stored_rows, through)`` as ``take`` wants them.
        """
        newer = [s for s in self._stored.values() if s.revision > revision]
        return newer, self._revision
