"""The command ``apply``."""

from absl import flags

from pistachiowell.core.ids import new_id
from pistachiowell.ctl.command import (
    EXIT_UNAVAILABLE,
    FLAGS,
    Result,
    command,
    now_utc,
    time_text,
)
from pistachiowell.ctl.revision_coverage import wait_for_coverage
from pistachiowell.ctl.table_files import read_table_file, require_args
from pistachiowell.tables import Change

USAGE = "apply FILE [--wait]"

flags.DEFINE_bool(
    "wait",
    False,
    "apply: wait until the change is in force everywhere.",
    flag_values=FLAGS,
)


@command("apply", usage=USAGE, example="apply examples/kwabena.yaml --wait")
async def apply(context, args):
    """Applies all rows of a table file atomically, as one change."""
    require_args(args, 1, 1, USAGE)
    return await commit_edits(context, read_table_file(args[0]))


async def commit_edits(context, edits):
    """Commits edits as one change with the operator as its author.

    With ``--wait`` it then waits until all processes have the new revision.

    Args:
        context: The ``Context``.
        edits: Row documents.

    Returns:
        The ``Result``.
    """
    change = Change(
        change_id=new_id("change"),
        author=context.settings.operator,
        changed_at=time_text(now_utc()),
        edits=edits,
    )
    outcome = await context.writer.commit(change)
    names = [str(key) for key in outcome.changed]
    document = {"accepted": True, "revision": outcome.revision, "changed": names}
    text = f"Accepted as revision {outcome.revision}: {len(names)} rows changed."
    if not names:
        text = f"Nothing to change at revision {outcome.revision}."
    if not context.flags.wait:
        return Result(document, text)
    report = await wait_for_coverage(
        context, outcome.revision, context.settings.wait_timeout_s
    )
    document["in_force"] = report.document
    code = 0 if report.complete else EXIT_UNAVAILABLE
    return Result(document, f"{text}\n{report.text}", code)
