"""The command ``validate``."""

from pistachiowell.core.errors import RowInvalid
from pistachiowell.ctl.command import Result, command
from pistachiowell.ctl.table_files import read_table_file, require_args
from pistachiowell.tables import Change, build_change
from pistachiowell.tables.changes import make_snapshot

USAGE = "validate FILE"


@command(
    "validate", usage=USAGE, example="validate examples/kwabena.yaml", needs_fleet=False
)
async def validate(context, args):
    """Checks a table file without the fleet, as if applied to an empty table."""
    del context
    require_args(args, 1, 1, USAGE)
    edits = read_table_file(args[0])
    edits = [_without_version(edit) for edit in edits]
    empty = make_snapshot(None, [])
    try:
        build_change(Change("validate", "", "", edits), empty, empty)
    except RowInvalid as error:
        raise RowInvalid(f"{args[0]}: {error.message}") from error
    document = {"valid": True, "rows": len(edits)}
    return Result(document, f"{args[0]}: {len(edits)} rows are valid.")


def _without_version(edit):
    if not isinstance(edit, dict):
        return edit
    return {name: value for name, value in edit.items() if name != "row_version"}
