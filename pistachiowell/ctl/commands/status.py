"""The command ``status``."""

import dataclasses

from pistachiowell.core.errors import STORE_ERRORS
from pistachiowell.ctl.command import EXIT_UNAVAILABLE, Result, command
from pistachiowell.ctl.processes import call_all_processes
from pistachiowell.ctl.table_files import require_args
from pistachiowell.schema.generated.messages_control import StatusQuery, StatusReport
from pistachiowell.store.store import ABSENT

USAGE = "status [NAME] [--process HOST:PORT,...]"
HEADINGS = ("process", "role", "data centre", "table", "state")


@command("status", usage=USAGE, example="status router-1")
async def status(context, args):
    """Shows which processes have the accepted table, and the gauges of one process."""
    require_args(args, 0, 1, USAGE)
    answers = await call_all_processes(context, StatusQuery(), StatusReport)
    revision = await _table_revision(context, answers)
    document = status_document(revision, answers)
    code = 0 if not document["in_force"]["lack"] else EXIT_UNAVAILABLE
    return Result(document, status_text(document, *args), code)


async def _table_revision(context, answers):
    known = [answer.reply.table_revision for answer in answers if answer.reply]
    try:
        snapshot = await context.writer.read()
    except STORE_ERRORS:
        return max(known, default=ABSENT)
    return snapshot.head.revision


def status_document(revision, answers):
    """Returns the status as a JSON document.

    Args:
        revision: Accepted revision of the table.
        answers: ``ProcessReply`` items with a ``StatusReport`` or None.
    """
    have = [a.name for a in answers if a.reply and a.reply.table_revision >= revision]
    lack = [answer.name for answer in answers if answer.name not in have]
    reports = [dataclasses.asdict(answer.reply) for answer in answers if answer.reply]
    return {
        "revision": revision,
        "in_force": {"have": have, "lack": lack},
        "processes": reports,
        "silent": [answer.name for answer in answers if answer.reply is None],
    }


def status_text(document, name=None):
    """Returns the status as text.

    Args:
        document: A document of ``status_document``.
        name: Name of the process whose gauges are shown; None for no gauges.
    """
    have, lack = document["in_force"]["have"], document["in_force"]["lack"]
    total = len(have) + len(lack)
    head = f"Table revision {document['revision']}: in force on {len(have)} of {total}."
    rows = [HEADINGS, *[_status_row(report) for report in document["processes"]]]
    rows += [(process, "", "", "", "no answer") for process in document["silent"]]
    widths = [max(len(row[i]) for row in rows) for i in range(len(HEADINGS))]
    lines = [head]
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    for report in document["processes"]:
        if report["id"] == name:
            lines += [
                f"{key}: {value}" for key, value in sorted(report["values"].items())
            ]
    return "\n".join(lines)


def _status_row(report):
    state = "leaving" if report["leaving"] else "serving"
    revision = str(report["table_revision"])
    return (report["id"], report["role"], report["data_centre"], revision, state)
