"""Reading and writing of table files in YAML and CSV."""

import csv
import io

import yaml

from pistachiowell.core.errors import RowInvalid
from pistachiowell.schema.validate import load_schema, parse_yaml
from pistachiowell.tables.rows import ROW_CLASSES

_FORMATS = {}
_FIRST_COLUMNS = ["kind", "name", "row_version", "deleted"]


def file_format(suffix):
    """Returns a class decorator that registers the reader and writer of a format."""

    def decorate(cls):
        _FORMATS[suffix] = cls
        return cls

    return decorate


def read_rows(text, suffix):
    r"""Reads row documents from text.

    Args:
        text: Content of the file.
        suffix: ``yaml`` or ``csv``.

    Returns:
        A list of row documents that are not checked yet.

    Raises:
        RowInvalid: The text is not a table in that format.

    Examples:
        >>> read_rows("kind,name\nversion,v1\n", "csv")
        [{'kind': 'version', 'name': 'v1'}]
    """
    return _find_format(suffix).read(text)


def write_rows(documents, suffix):
    """Writes row documents as text.

    Examples:
        >>> rows = [{"kind": "version", "name": "v1"}]
        >>> read_rows(write_rows(rows, "yaml"), "yaml") == rows
        True
    """
    return _find_format(suffix).write(documents)


def _find_format(suffix):
    suffix = "yaml" if suffix == "yml" else suffix
    if suffix not in _FORMATS:
        names = ", ".join(_FORMATS)
        raise RowInvalid(f"Unknown table format {suffix!r}; use one of {names}.")
    return _FORMATS[suffix]


@file_format("yaml")
class YamlFormat:
    """YAML format: a mapping with the key ``rows`` and a list of rows."""

    @staticmethod
    def read(text):
        """Reads row documents from text."""
        try:
            document = parse_yaml(text)
        except yaml.YAMLError as error:
            raise RowInvalid(f"The file is not valid YAML: {error}.") from error
        rows = document.get("rows") if isinstance(document, dict) else None
        if not isinstance(rows, list) or set(document) != {"rows"}:
            raise RowInvalid(
                "The file must have exactly one key, 'rows', with a list of rows."
            )
        return rows

    @staticmethod
    def write(documents):
        """Writes row documents as text."""
        return yaml.safe_dump({"rows": documents}, sort_keys=False, width=100)


@file_format("csv")
class CsvFormat:
    """CSV format: one line per row; an empty cell means the default value.

    Items of a list are separated by spaces; weights are written ``v1=0.9 v2=0.1``.
    """

    @staticmethod
    def read(text):
        """Reads row documents from text."""
        reader = csv.DictReader(io.StringIO(text))
        try:
            columns = reader.fieldnames or []
            lines = list(reader)
        except csv.Error as error:
            raise RowInvalid(f"The file is not valid CSV: {error}.") from error
        unknown = [c for c in columns if c not in _columns()]
        if unknown or "kind" not in columns:
            raise RowInvalid(
                "The CSV header needs the column 'kind' and no unknown ones; unknown: "
                f"{unknown}."
            )
        return [
            _document_from_cells(cells, line) for line, cells in enumerate(lines, 2)
        ]

    @staticmethod
    def write(documents):
        """Writes row documents as text."""
        used = {field for document in documents for field in document}
        columns = [column for column in _columns() if column in used]
        out = io.StringIO()
        writer = csv.DictWriter(out, columns, lineterminator="\n")
        writer.writeheader()
        for document in documents:
            writer.writerow({k: _to_cell(v) for k, v in document.items()})
        return out.getvalue()


def _properties(kind):
    name = ROW_CLASSES[kind].__name__
    return load_schema("table")["$defs"][name]["properties"]


def _columns():
    names = list(_FIRST_COLUMNS)
    for kind in ROW_CLASSES:
        names += [name for name in _properties(kind) if name not in names]
    return names


def _document_from_cells(cells, line):
    kind = cells.get("kind")
    if kind not in ROW_CLASSES:
        raise RowInvalid(f"Line {line}: unknown row kind {kind!r}.")
    properties = dict(_properties(kind))
    properties["row_version"] = {"type": "integer"}
    properties["deleted"] = {"type": "boolean"}
    document = {}
    for name, cell in cells.items():
        if not cell:
            continue
        if name not in properties:
            raise RowInvalid(
                f"Line {line}: rows of kind {kind} have no column {name!r}."
            )
        document[name] = _parse_cell(cell, properties[name]["type"], name, line)
    return document


def _parse_cell(cell, type_name, column, line):
    try:
        return _PARSERS[type_name](cell)
    except (ValueError, KeyError) as error:
        raise RowInvalid(
            f"Line {line}, column {column}: {cell!r} is not a valid {type_name}."
        ) from error


def _parse_weights(cell):
    pairs = [item.split("=") for item in cell.split()]
    return {name: float(weight) for name, weight in pairs}


_PARSERS = {
    "string": str,
    "integer": int,
    "number": float,
    "boolean": lambda cell: {"true": True, "false": False}[cell.lower()],
    "array": str.split,
    "object": _parse_weights,
}


def _to_cell(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        return " ".join(f"{name}={weight:g}" for name, weight in value.items())
    if isinstance(value, list):
        return " ".join(value)
    return value
