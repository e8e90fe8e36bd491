"""The command ``get``."""

from absl import flags

from pistachiowell.core.errors import NotFound
from pistachiowell.ctl.command import FLAGS, Result, command
from pistachiowell.ctl.table_files import require_args
from pistachiowell.tables import write_rows

USAGE = "get [KIND [NAME]] [--format yaml|csv]"

flags.DEFINE_enum(
    "format", "yaml", ["yaml", "csv"], "get: format of the rows.", flag_values=FLAGS
)


@command("get", usage=USAGE, example="get route chat")
async def get(context, args):
    """Prints rows with their versions, in the format that 'apply' reads."""
    require_args(args, 0, 2, USAGE)
    snapshot = await context.writer.read()
    rows = select_rows(snapshot, *args)
    if len(args) == 2 and not rows:
        raise NotFound(f"There is no row {' '.join(args)}.")
    document = {"revision": snapshot.head.revision, "rows": rows}
    return Result(document, write_rows(rows, context.flags.format).rstrip())


def select_rows(snapshot, kind=None, name=None):
    """Returns the rows of a kind and name that are not deleted, with their versions.

    Args:
        snapshot: The ``Snapshot``.
        kind: Kind of the rows; None for all kinds.
        name: Name of the row; None for all names.

    Returns:
        A list of row documents.
    """
    rows = []
    for key in sorted(snapshot.stored):
        stored = snapshot.stored[key]
        if stored.deleted or kind not in (None, key.kind):
            continue
        if name in (None, key.name):
            rows.append({**stored.row, "row_version": stored.row_version})
    return rows
