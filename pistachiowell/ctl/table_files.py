"""Reads table files and checks arguments for the commands."""

from pathlib import Path

from pistachiowell.core.errors import InvalidRequest, RowInvalid
from pistachiowell.tables import read_rows


def require_args(args, low, high, usage):
    """Checks the number of positional arguments.

    Raises:
        InvalidRequest: There are too few or too many arguments.
    """
    if not low <= len(args) <= high:
        raise InvalidRequest(f"Usage: pistachiowell-ctl {usage}.")


def read_table_file(name):
    """Reads the row documents of a YAML or CSV file.

    Args:
        name: Path of the file; its suffix selects the format.

    Returns:
        A list of row documents.

    Raises:
        RowInvalid: The file cannot be read or parsed; the message contains its name.
    """
    path = Path(name)
    try:
        return read_rows(path.read_text(encoding="utf-8"), path.suffix.lstrip("."))
    except (OSError, UnicodeDecodeError) as error:
        raise RowInvalid(f"{name}: {error}.") from error
    except RowInvalid as error:
        raise RowInvalid(f"{name}: {error.message}") from error
