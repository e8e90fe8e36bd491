"""The command ``explain``."""

from pistachiowell.core.errors import InvalidRequest
from pistachiowell.ctl.command import EXIT_FAILED, Result, command
from pistachiowell.ctl.log_lines import explain_request, line_text, read_lines

USAGE = "explain REQUEST_ID FILE..."


@command(
    "explain",
    usage=USAGE,
    example="explain 9c41d07be2a35f68 *.log",
    needs_fleet=False,
)
async def explain(context, args):
    """Prints the way of a request out of log files, and where it went wrong."""
    del context
    if len(args) < 2:
        raise InvalidRequest(f"Usage: {USAGE}")
    request_id, *paths = args
    found = explain_request(request_id, [read_lines(path) for path in paths])
    if not found.lines:
        text = f"No line of these files names request {request_id}."
        return Result({"request": request_id, "lines": []}, text, EXIT_FAILED)
    text = [line_text(line) for line in found.lines]
    if found.context:
        text += ["", "Beside it:", *map(line_text, found.context)]
    text += ["", "First sign of trouble:"]
    text.append(line_text(found.first_fault) if found.first_fault else "none")
    if not found.has_end:
        last = found.lines[-1]["process"]
        text.append(f"No line tells the end: {last} stopped, or its log ends before.")
    document = {
        "request": request_id,
        "lines": found.lines,
        "context": found.context,
        "first_fault": found.first_fault,
        "has_end": found.has_end,
    }
    return Result(document, "\n".join(text))
