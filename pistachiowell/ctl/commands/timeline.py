"""The command ``timeline``."""

from pathlib import Path

from absl import flags

from pistachiowell.core.errors import InvalidRequest
from pistachiowell.ctl.command import EXIT_UNAVAILABLE, FLAGS, Result, command
from pistachiowell.ctl.processes import call_all_processes
from pistachiowell.ctl.table_files import require_args
from pistachiowell.ctl.timeline import event_line, merge_events
from pistachiowell.ctl.timeline_page import timeline_page
from pistachiowell.schema.generated.messages_control import EventsQuery, EventsReport

USAGE = (
    "timeline [--request ID] [--account NAME] [--move NAME] [--vm NAME] "
    "[--limit N] [--html FILE] [--process HOST:PORT,...]"
)

for _name, _help in (
    ("request", "timeline: only events of this request."),
    ("move", "timeline: only events of this move."),
    ("vm", "timeline: only events of this process or that name it."),
    ("html", "timeline: write a page with a lane for each process to this file."),
):
    flags.DEFINE_string(_name, "", _help, flag_values=FLAGS)
flags.DEFINE_integer(
    "limit", 2000, "timeline: events of each process.", flag_values=FLAGS
)


@command("timeline", usage=USAGE, example="timeline --account shop-ho")
async def timeline(context, args):
    """Prints the events of all processes in causal order."""
    require_args(args, 0, 0, USAGE)
    options = context.flags
    query = EventsQuery(
        limit=options.limit,
        request=options.request,
        account=options.account,
        move=options.move,
    )
    answers = await call_all_processes(context, query, EventsReport)
    events = merge_events(answer.reply.events for answer in answers if answer.reply)
    if options.vm:
        events = [event for event in events if _concerns_vm(event, options.vm)]
    silent = [answer.name for answer in answers if answer.reply is None]
    if options.html:
        _write_page(options.html, timeline_page(events))
    lines = [event_line(event) for event in events]
    lines += [f"No answer from {name}." for name in silent]
    code = EXIT_UNAVAILABLE if silent else 0
    document = {"events": events, "silent": silent}
    return Result(document, "\n".join(lines), code)


def _concerns_vm(event, vm):
    return event["process"] == vm or vm in event["text"].split()


def _write_page(path, page):
    try:
        Path(path).write_text(page, encoding="utf-8")
    except OSError as error:
        raise InvalidRequest(f"The page cannot be written: {error}.") from error
