"""The command ``diff``."""

import difflib

import yaml

from pistachiowell.ctl.command import EXIT_FAILED, Result, command
from pistachiowell.ctl.table_files import read_table_file, require_args
from pistachiowell.tables import row_key
from pistachiowell.tables.rows import check_document

USAGE = "diff FILE"


@command("diff", usage=USAGE, example="diff examples/kwabena.yaml")
async def diff(context, args):
    """Shows what 'apply' of a table file would change; exits 1 on a difference."""
    require_args(args, 1, 1, USAGE)
    snapshot = await context.writer.read()
    documents = snapshot.documents
    changes = [_row_change(documents, edit) for edit in read_table_file(args[0])]
    changes = [change for change in changes if change is not None]
    text = "\n".join(change["text"] for change in changes) or "No difference."
    return Result({"changes": changes}, text, EXIT_FAILED if changes else 0)


def _row_change(documents, edit):
    body = {k: v for k, v in edit.items() if k not in ("row_version", "deleted")}
    if not edit.get("deleted"):
        check_document(body)
    key = row_key(body)
    before = documents.get(key)
    after = None if edit.get("deleted") else body
    if before == after:
        return None
    lines = difflib.unified_diff(
        _yaml_lines(before),
        _yaml_lines(after),
        f"{key} (store)",
        f"{key} (file)",
        lineterm="",
    )
    return {"row": str(key), "text": "\n".join(lines)}


def _yaml_lines(document):
    if document is None:
        return []
    return yaml.safe_dump(document, sort_keys=True).splitlines()
