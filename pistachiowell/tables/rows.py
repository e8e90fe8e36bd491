"""Kinds of rows, their keys and their encoding in the platform's store."""

from typing import NamedTuple

import msgspec

from pistachiowell.core.errors import RowInvalid
from pistachiowell.schema.generated.objects_tables import TableHead
from pistachiowell.schema.generated.table import (
    AccountRow,
    MoveRow,
    RouteRow,
    ServerRow,
    StoredRow,
    VersionRow,
)
from pistachiowell.schema.validate import find_errors

ROWS = "rows"
HEAD_NAME = "head"

ROW_CLASSES = {
    "account": AccountRow,
    "route": RouteRow,
    "server": ServerRow,
    "version": VersionRow,
    "move": MoveRow,
}


class RowKey(NamedTuple):
    """Kind and name of a row."""

    kind: str
    name: str

    def __str__(self):
        return f"{self.kind} {self.name}"


def row_key(document):
    """Returns the key of a row document.

    Examples:
        >>> str(row_key({"kind": "route", "name": "chat"}))
        'route chat'
    """
    return RowKey(document["kind"], document["name"])


def object_name(key):
    """Returns the name of a row's object in the collection ``ROWS``.

    Examples:
        >>> object_name(RowKey("route", "chat"))
        'route-chat'
    """
    return f"{key.kind}-{key.name}"


def check_document(document):
    """Checks one row against the schema of its kind.

    Args:
        document: Mapping that an operator wrote.

    Raises:
        RowInvalid: The message names the row, the field and what was found.
    """
    if not isinstance(document, dict):
        raise RowInvalid(f"A row must be a mapping of fields, not {document!r}.")
    kind = document.get("kind")
    if not isinstance(kind, str) or kind not in ROW_CLASSES:
        kinds = ", ".join(ROW_CLASSES)
        raise RowInvalid(f"Unknown row kind {kind!r}; the kinds are {kinds}.")
    errors = find_errors(document, "table", ROW_CLASSES[kind].__name__)
    if errors:
        name = document.get("name")
        raise RowInvalid(f"Row {kind} {name}: {' '.join(errors)}")


def to_row(document):
    """Converts a checked row document to its row class.

    Examples:
        >>> to_row({"kind": "version", "name": "v1"}).model
        ''
    """
    return msgspec.convert(document, type=ROW_CLASSES[document["kind"]])


def encode(value):
    """Encodes a ``StoredRow`` or a ``TableHead`` for the store."""
    return msgspec.json.encode(value)


def decode_row(value):
    """Decodes a ``StoredRow`` from the store."""
    return msgspec.json.decode(value, type=StoredRow)


def decode_head(value):
    """Decodes a ``TableHead`` from the store."""
    return msgspec.json.decode(value, type=TableHead)


def head_rows(head):
    """Returns the rows of the change in a ``TableHead`` as ``StoredRow``."""
    return [msgspec.convert(row, type=StoredRow) for row in head.rows]
