"""Reads and changes the operators' table in the platform's store.

The store updates single objects only, while a change may alter several rows. The
object ``rows/head`` therefore contains the whole latest change, and its conditional
write is the commit point: a change is accepted if and only if the head that contains it
was written. The row objects are written afterwards. Readers apply the rows of the head
over the row objects, so they never see a part of a change. A writer that stops after
the commit point leaves row objects behind; the next writer completes them before it
replaces the head, so no rows are lost.

If the answer to the write of the head is lost, the writer reads the table again: the
head lists the ids of recent changes, which shows whether this change was accepted.
"""

from dataclasses import dataclass

import anyio

from pistachiowell.core.errors import (
    STORE_ERRORS,
    OutcomeUnresolved,
    StoreAnswerLost,
    StoreConflict,
    StoreUnavailable,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.store.store import ABSENT
from pistachiowell.tables import HEAD_NAME, ROWS, build_change, object_name, row_key
from pistachiowell.tables.changes import make_snapshot
from pistachiowell.tables.rows import decode_head, decode_row, encode, head_rows

RETRY_DELAY_S = 0.2

_log = part_logger("table")


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of an accepted change.

    Attributes:
        revision: Table revision that contains the change.
        changed: Keys of the rows that it altered.
    """

    revision: int
    changed: list


@dataclass(frozen=True, slots=True)
class _TableRead:
    """The table with the versions that conditional writes expect.

    Attributes:
        snapshot: The ``Snapshot``.
        head_version: Version of the head object; ``ABSENT`` if there is none.
        row_versions: Versions of the row objects by key.
        row_revisions: Table revisions of the row objects by key.
    """

    snapshot: object
    head_version: int
    row_versions: dict
    row_revisions: dict


class TableWriter:
    """Commits changes to the table and resolves whether each was accepted.

    Args:
        store: The platform's store.
        retry_timeout_s: Longest time to retry while the store fails, in seconds.
    """

    __slots__ = ("_retry_timeout_s", "_store")

    def __init__(self, store, retry_timeout_s):
        self._store = store
        self._retry_timeout_s = retry_timeout_s

    async def read(self):
        """Returns the table as a ``Snapshot``."""
        return (await self._read()).snapshot

    async def commit(self, change):
        """Commits a change.

        Args:
            change: The ``Change``; its id makes a repeated commit idempotent.

        Returns:
            An ``Outcome``.

        Raises:
            RowInvalid: The change was rejected and altered nothing.
            RowConflict: Another operator changed the row first; this change altered
                nothing.
            OutcomeUnresolved: A write of the head got no answer, and no later read
                showed in time whether it took effect.
            PistachiowellError: The last of ``STORE_ERRORS``, such as
                ``StoreUnavailable``; no write of the head lost its answer.
        """
        attempt = ChangeAttempt(self, change)
        with anyio.move_on_after(self._retry_timeout_s):
            while True:
                try:
                    return await attempt.run()
                except STORE_ERRORS as error:
                    attempt.last_error = error
                    _log.debug(
                        "Commit of change {} failed; retrying: {}",
                        change.change_id,
                        error,
                    )
                await anyio.sleep(RETRY_DELAY_S)
        if attempt.in_doubt:
            raise OutcomeUnresolved(
                f"The write of change {change.change_id} got no answer, and the store "
                "does not answer reads; read the table later to see whether the change "
                "was accepted."
            )
        raise attempt.last_error or StoreUnavailable(
            f"The store has answered nothing within {self._retry_timeout_s} s."
        )

    async def _read(self):
        entries, _ = await self._store.list(ROWS)
        head, head_version = None, ABSENT
        rows, versions, revisions = [], {}, {}
        for entry in entries:
            if entry.name == HEAD_NAME:
                head, head_version = decode_head(entry.value), entry.version
                continue
            row = decode_row(entry.value)
            rows.append(row)
            versions[row_key(row.row)] = entry.version
            revisions[row_key(row.row)] = row.revision
        return _TableRead(make_snapshot(head, rows), head_version, versions, revisions)

    async def _write_rows(self, read, rows):
        for row in rows:
            key = row_key(row.row)
            if read.row_revisions.get(key, -1) >= row.revision:
                continue
            version = read.row_versions.get(key, ABSENT)
            try:
                await self._store.put(ROWS, object_name(key), encode(row), version)
            except StoreConflict:
                _log.debug("Row {} was already written by another writer.", key)


class ChangeAttempt:
    """The commit of one change, over as many attempts as it needs.

    Args:
        writer: The ``TableWriter``.
        change: The ``Change``.

    Attributes:
        in_doubt: Whether the answer to a write of the head was lost.
        last_error: Latest error of the store.
    """

    __slots__ = ("_change", "_first_seen", "_writer", "in_doubt", "last_error")

    def __init__(self, writer, change):
        self._writer = writer
        self._change = change
        self._first_seen = None
        self.in_doubt = False
        self.last_error = None

    async def run(self):
        """Makes one attempt.

        Returns:
            An ``Outcome``.

        Raises:
            RowInvalid: The change was rejected and never takes effect.
            RowConflict: Another operator changed the row first; this change never takes
                effect.
            PistachiowellError: One of ``STORE_ERRORS``; run another attempt.
        """
        writer = self._writer
        read = await writer._read()
        snapshot = read.snapshot
        if self._first_seen is None:
            self._first_seen = snapshot
        accepted = self._find_accepted(snapshot)
        if accepted is not None:
            return accepted
        head = build_change(self._change, snapshot, self._first_seen)
        if head is None:
            return Outcome(snapshot.head.revision, [])
        await writer._write_rows(read, head_rows(snapshot.head))
        await self._put_head(head, read.head_version)
        rows = head_rows(head)
        await self._complete_rows(read, rows)
        return Outcome(head.revision, [row_key(row.row) for row in rows])

    async def _put_head(self, head, version):
        try:
            await self._writer._store.put(ROWS, HEAD_NAME, encode(head), version)
        except StoreAnswerLost:
            self.in_doubt = True
            raise

    async def _complete_rows(self, read, rows):
        try:
            await self._writer._write_rows(read, rows)
        except STORE_ERRORS as error:
            _log.debug(
                "Row objects are incomplete; the next writer completes them: {}", error
            )

    def _find_accepted(self, snapshot):
        change_id = self._change.change_id
        if change_id not in snapshot.head.recent_change_ids:
            return None
        stored = snapshot.stored.values()
        changed = [row_key(row.row) for row in stored if row.change_id == change_id]
        return Outcome(snapshot.head.revision, changed)
