"""Copy of the table in one process."""

from pistachiowell.tables.rows import ROW_CLASSES, row_key, to_row


class Table:
    """Rows of the table in memory, with lookups.

    At revision ``n`` all changes up to ``n`` are applied. Rows come from the store or
    from a peer, in any order and more than once; a list of the store may lag. So a row
    is replaced only by a newer one, and the revision never goes back. Otherwise a late
    answer would put a configuration in force again that operators have replaced.

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
        "_latest_known_revision",
    )

    def __init__(self):
        self._revision = 0
        self._latest_known_revision = 0
        self._stored = {}
        self._rows = {kind: {} for kind in ROW_CLASSES}
        self._accounts_by_hash = {}
        self._servers_by_version = {}

    @property
    def revision(self):
        """Revision up to which every change is applied."""
        return self._revision

    @property
    def latest_known_revision(self):
        """Highest revision that is known to exist."""
        return self._latest_known_revision

    @property
    def is_stale(self):
        """Whether a newer revision than the applied one is known to exist."""
        return self._latest_known_revision > self._revision

    def record_known_revision(self, revision):
        """Records that a revision exists in the store or at a peer.

        Args:
            revision: The revision.

        Returns:
            Whether this table lacks changes of that revision.
        """
        self._latest_known_revision = max(self._latest_known_revision, revision)
        return revision > self._revision

    def apply_rows(self, stored_rows, through):
        """Applies the rows that are newer than the present ones.

        Args:
            stored_rows: ``StoredRow`` items; all rows that changed after this
                table's revision and up to ``through`` must be among them.
            through: Revision up to which the rows are complete.

        Returns:
            The keys of the rows that changed in this table.
        """
        changed = [self._apply_row(stored) for stored in stored_rows]
        changed = [key for key in changed if key is not None]
        if changed:
            self._rebuild_indexes()
        self._revision = max(self._revision, through)
        self.record_known_revision(through)
        return changed

    def _apply_row(self, stored):
        key = row_key(stored.row)
        present = self._stored.get(key)
        if present is not None and present.revision >= stored.revision:
            return None
        if key.kind not in self._rows:
            return None
        self._stored[key] = stored
        if stored.deleted:
            self._rows[key.kind].pop(key.name, None)
        else:
            self._rows[key.kind][key.name] = to_row(stored.row)
        return key

    def _rebuild_indexes(self):
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

        The result is always complete. Of a row only the newest form is stored, so a
        part of the result could lack rows of a change that a later change has
        overwritten, and the receiver would hold a table that never existed.

        Args:
            revision: Revision of the receiver.

        Returns:
            ``(stored_rows, through)``, the arguments of ``apply_rows``.
        """
        newer = [s for s in self._stored.values() if s.revision > revision]
        return newer, self._revision
