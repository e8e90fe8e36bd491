"""Lines of the programs' logs, and what they tell of one request."""

import json
from dataclasses import dataclass

from pistachiowell.core.errors import InvalidRequest
from pistachiowell.ctl.timeline import NS_PER_S, event_time, merge_events

CONTEXT_S = 3.0
TROUBLE = ("WARNING", "ERROR", "CRITICAL")
RETRY_TEXT = "Request is sent again."
END_TEXTS = ("Request has ended.", "Request is refused.", "Request has failed.")
_HEAD = ("at", "level", "process", "part", "text", "wall_ns", "logical")


@dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs tell of one request.

    Attributes:
        lines: Lines of the request, in causal order.
        first_fault: The first of them that tells of trouble; None without one.
        has_end: Whether one of them tells how the request ended.
        context: Lines of other matters that name the request's servers or account, or
            tell of trouble in its processes, shortly before and during it.
    """

    lines: list
    first_fault: dict | None
    has_end: bool
    context: list


def read_lines(path):
    """Reads a log file.

    Text before the first brace of a line, such as another program's time stamp, is
    passed over, and so are lines that are no log lines.

    Args:
        path: Path of the file.

    Returns:
        A list of mappings in the order of the file.

    Raises:
        InvalidRequest: The file cannot be read.
    """
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            parsed = [_parse(line) for line in file]
    except OSError as error:
        raise InvalidRequest(f"{path} cannot be read: {error}.") from error
    return [line for line in parsed if line is not None]


def _parse(text):
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(line, dict) or not {"at", "process", "text"} <= line.keys():
        return None
    line["wall_ns"] = int(line["at"] * NS_PER_S)
    line["logical"] = 0
    return line


def explain_request(request_id, files):
    """Finds the way of a request and the first line at which it went wrong.

    Args:
        request_id: The caller's id of the request.
        files: Lists of lines, one for each process.

    Returns:
        An ``Explanation``.
    """
    merged = merge_events(sorted(lines, key=_stamp) for lines in files)
    lines = [line for line in merged if line.get("request") == request_id]
    faults = [line for line in lines if _is_fault(line)]
    context = _context(lines, merged) if lines else []
    has_end = any(line["text"] in END_TEXTS for line in lines)
    return Explanation(lines, faults[0] if faults else None, has_end, context)


def _stamp(line):
    return line["wall_ns"]


def _is_fault(line):
    return line.get("level") in TROUBLE or line["text"] == RETRY_TEXT


def _context(lines, merged):
    begin = lines[0]["at"] - CONTEXT_S
    end = lines[-1]["at"]
    servers = {line["server"] for line in lines if "server" in line}
    accounts = {line["account"] for line in lines if line.get("account")}
    processes = {line["process"] for line in lines}
    return [
        line
        for line in merged
        if begin <= line["at"] <= end
        and "request" not in line
        and (
            line.get("server") in servers
            or line.get("account") in accounts
            or (line["process"] in processes and line.get("level") in TROUBLE)
        )
    ]


def line_text(line):
    """Returns a log line as one line of text."""
    fields = [f"{k}={v}" for k, v in line.items() if k not in _HEAD and v is not None]
    head = f"{event_time(line)} {line['process']} {line.get('part', '')}:"
    return f"{head} {line['text']} {' '.join(fields)}".rstrip()
