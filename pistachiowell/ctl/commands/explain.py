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
    """Prints the lines of log files about a request and its first sign of a fault."""
    del context
    if len(args) < 2:
        raise InvalidRequest(f"Usage: pistachiowell-ctl {USAGE}.")
    request_id, *paths = args
    explanation = explain_request(request_id, [read_lines(path) for path in paths])
    if not explanation.lines:
        text = f"No line of these files names request {request_id}."
        return Result({"request": request_id, "lines": []}, text, EXIT_FAILED)
    text = [line_text(line) for line in explanation.lines]
    if explanation.context:
        text += ["", "Beside it:", *map(line_text, explanation.context)]
    text += ["", "First sign of trouble:"]
    text.append(
        line_text(explanation.first_fault) if explanation.first_fault else "none"
    )
    if not explanation.has_end:
        last = explanation.lines[-1]["process"]
        text.append(f"No line tells the end: {last} stopped, or its log ends before.")
    document = {
        "request": request_id,
        "lines": explanation.lines,
        "context": explanation.context,
        "first_fault": explanation.first_fault,
        "has_end": explanation.has_end,
    }
    return Result(document, "\n".join(text))
