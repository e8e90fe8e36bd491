"""Table of the operators' configuration: rows, checks, changes and lookups."""

from pistachiowell.tables.changes import Change, Snapshot, build_change
from pistachiowell.tables.files import read_rows, write_rows
from pistachiowell.tables.rows import HEAD_NAME, ROWS, RowKey, object_name, row_key
from pistachiowell.tables.table import Table
from pistachiowell.tables.watchers import is_watcher

__all__ = [
    "HEAD_NAME",
    "ROWS",
    "Change",
    "RowKey",
    "Snapshot",
    "Table",
    "build_change",
    "is_watcher",
    "object_name",
    "read_rows",
    "row_key",
    "write_rows",
]
