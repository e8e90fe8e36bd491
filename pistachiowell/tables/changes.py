"""Changes of the table, each written by one conditional update of the table head.

The head holds the changed rows themselves, so that a change takes effect as a whole or
not at all, also if the writer crashes before it writes the row objects.
"""

from dataclasses import dataclass

import msgspec

from pistachiowell.core.errors import RowConflict, RowInvalid
from pistachiowell.schema.generated.objects_tables import TableHead
from pistachiowell.schema.generated.table import StoredRow
from pistachiowell.tables.checks import require_valid
from pistachiowell.tables.rows import check_document, head_rows, row_key

MAX_HEAD_BYTES = 900_000
MAX_RECENT_CHANGE_IDS = 500

EMPTY_HEAD = TableHead(revision=0, change_id="")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The table at one revision.

    Attributes:
        head: The ``TableHead``; ``EMPTY_HEAD`` before the first change.
        stored: ``StoredRow`` by ``RowKey``, deleted ones included.
    """

    head: TableHead
    stored: dict

    @property
    def documents(self):
        """Row documents by key, without the deleted ones."""
        live = {k: s for k, s in self.stored.items() if not s.deleted}
        return {key: stored.row for key, stored in live.items()}


@dataclass(frozen=True, slots=True)
class Change:
    """Change that an operator requests.

    Attributes:
        change_id: Unique id; a repetition of the change has the same id and no effect.
        author: Name of the operator.
        changed_at: Time in ISO 8601, UTC.
        edits: Row documents. Each may have a ``row_version``, which the stored row must
            still have, and ``deleted: true`` to delete the row.
    """

    change_id: str
    author: str
    changed_at: str
    edits: list


def make_snapshot(head, stored_rows):
    """Merges the table head and the row objects into a ``Snapshot``.

    If both contain a row, the newer form is used.

    Args:
        head: A ``TableHead`` or None.
        stored_rows: ``StoredRow`` items as the row objects hold them.
    """
    head = head or EMPTY_HEAD
    stored = {}
    for row in [*stored_rows, *head_rows(head)]:
        key = row_key(row.row)
        present = stored.get(key)
        if present is None or row.revision > present.revision:
            stored[key] = row
    return Snapshot(head, stored)


def build_change(change, snapshot, first_seen):
    """Builds the head that a change writes.

    Args:
        change: The ``Change``.
        snapshot: The table that the write is conditional on.
        first_seen: The ``Snapshot`` that the operator's command read first. A row that
            changed since then is a conflict; otherwise a retry of the write would
            overwrite the other operator's change.

    Returns:
        The new ``TableHead``; None if the change alters nothing.

    Raises:
        RowInvalid: A row does not fit the schema or the other rows.
        RowConflict: Another operator has changed one of the rows.
    """
    edits = [_parse_edit(document) for document in change.edits]
    _require_distinct(edits)
    for edit in edits:
        _require_unchanged(edit, snapshot, first_seen)
    documents = snapshot.documents
    changed = [edit for edit in edits if not _is_same(edit, documents)]
    if not changed:
        return None
    revision = snapshot.head.revision + 1
    rows = [_stored_row(edit, change, snapshot, revision) for edit in changed]
    after = dict(documents)
    for row in rows:
        if row.deleted:
            after.pop(row_key(row.row), None)
        else:
            after[row_key(row.row)] = row.row
    require_valid(after, documents)
    return _table_head(change, snapshot, revision, rows)


@dataclass(frozen=True, slots=True)
class _Edit:
    key: tuple
    document: dict
    deleted: bool
    expected_version: int | None


def _parse_edit(document):
    if not isinstance(document, dict):
        raise RowInvalid(f"A row must be a mapping of fields, not {document!r}.")
    body = dict(document)
    expected = body.pop("row_version", None)
    deleted = body.pop("deleted", False)
    if expected is not None and type(expected) is not int:
        raise RowInvalid(f"The row_version must be an integer, not {expected!r}.")
    if deleted:
        _require_name(body)
    else:
        check_document(body)
    return _Edit(row_key(body), body, bool(deleted), expected)


def _require_name(body):
    for field in ("kind", "name"):
        if not isinstance(body.get(field), str):
            raise RowInvalid(
                f"A row to delete needs its {field} as a string: {body!r}."
            )


def _require_distinct(edits):
    seen = set()
    for edit in edits:
        if edit.key in seen:
            raise RowInvalid(
                f"Row {edit.key} is in the file twice: remove one of them."
            )
        seen.add(edit.key)


def _require_unchanged(edit, snapshot, first_seen):
    now = snapshot.stored.get(edit.key)
    version = now.row_version if now else 0
    before = first_seen.stored.get(edit.key)
    expected = edit.expected_version
    if expected is None:
        expected = before.row_version if before else 0
    if version != expected and not _is_same(edit, snapshot.documents):
        raise RowConflict(_conflict_text(edit.key, now, expected))


def _conflict_text(key, now, expected):
    if now is None:
        return f"Row {key} does not exist, but version {expected} was expected."
    return (
        f"{now.author or 'Someone'} changed row {key} to version {now.row_version} "
        f"at {now.changed_at}; version {expected} was expected and nothing was "
        f"written. Run 'pistachiowell-ctl get {key.kind} {key.name}' next."
    )


def _is_same(edit, documents):
    present = documents.get(edit.key)
    return present is None if edit.deleted else present == edit.document


def _stored_row(edit, change, snapshot, revision):
    before = snapshot.stored.get(edit.key)
    row = edit.document
    if edit.deleted:
        row = {"kind": edit.key.kind, "name": edit.key.name}
    return StoredRow(
        row_version=(before.row_version if before else 0) + 1,
        row=row,
        author=change.author,
        changed_at=change.changed_at,
        revision=revision,
        change_id=change.change_id,
        deleted=edit.deleted,
    )


def _table_head(change, snapshot, revision, rows):
    recent = [*snapshot.head.recent_change_ids, change.change_id]
    head = TableHead(
        revision=revision,
        change_id=change.change_id,
        author=change.author,
        changed_at=change.changed_at,
        rows=[msgspec.to_builtins(row) for row in rows],
        recent_change_ids=recent[-MAX_RECENT_CHANGE_IDS:],
    )
    size_bytes = len(msgspec.json.encode(head))
    if size_bytes > MAX_HEAD_BYTES:
        raise RowInvalid(
            f"The change has {size_bytes} bytes; the maximum is {MAX_HEAD_BYTES}: "
            "split the file in two."
        )
    return head
