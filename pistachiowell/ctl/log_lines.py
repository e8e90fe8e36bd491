"""Reads log files of the programs and selects the lines about one request."""

import json
from dataclasses import dataclass

from pistachiowell.core.errors import InvalidRequest
from pistachiowell.ctl.timeline import NS_PER_S, event_time, merge_events

CONTEXT_BEFORE_S = 3.0
FAULT_LEVELS = ("WARNING", "ERROR", "CRITICAL")
# Texts that the gateway logs for a retry and for the end of a request.
RETRY_TEXT = "Request is sent again."
END_TEXTS = ("Request has ended.", "Request is refused.", "Request has failed.")
# Text that a process logs when it learns that a server has closed itself.
CLOSED_TEXT = "A server takes no requests."
_HEAD_FIELDS = ("at", "level", "process", "part", "text", "wall_ns", "logical")


@dataclass(frozen=True, slots=True)
class Explanation:
    """Log lines about one request.

    Attributes:
        lines: Lines of the request, sorted by time.
        first_fault: The first of them with a level of ``FAULT_LEVELS`` or about a
            retry; None if there is none.
        has_end: Whether one of them reports the end of the request.
        context: Lines about no request, from ``CONTEXT_BEFORE_S`` seconds before the
            first to the last line of this one, that name its servers or account or
            are warnings or errors of its processes. Besides, the servers that its
            processes took for closed, however long before they were told so.
    """

    lines: list
    first_fault: dict | None
    has_end: bool
    context: list


def read_lines(path):
    """Reads a log file.

    Text before the first brace of a line, such as a time stamp that another program
    added, is skipped, and so are lines that are not log lines.

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
    """Collects the log lines of a request and finds the first sign of a fault.

    Args:
        request_id: Id of the request, given by the caller.
        files: Lists of log lines, one for each file.

    Returns:
        An ``Explanation``.
    """
    merged = merge_events(sorted(lines, key=_wall_time) for lines in files)
    lines = [line for line in merged if line.get("request") == request_id]
    faults = [line for line in lines if _is_fault(line)]
    context = _context(lines, merged) if lines else []
    has_end = any(line["text"] in END_TEXTS for line in lines)
    return Explanation(lines, faults[0] if faults else None, has_end, context)


def _wall_time(line):
    return line["wall_ns"]


def _is_fault(line):
    return line.get("level") in FAULT_LEVELS or line["text"] == RETRY_TEXT


def _context(lines, merged):
    begin = lines[0]["at"] - CONTEXT_BEFORE_S
    end = lines[-1]["at"]
    servers = {line["server"] for line in lines if "server" in line}
    accounts = {line["account"] for line in lines if line.get("account")}
    processes = {line["process"] for line in lines}

    def is_near(line):
        return begin <= line["at"] <= end and (
            line.get("server") in servers
            or line.get("account") in accounts
            or (line["process"] in processes and line.get("level") in FAULT_LEVELS)
        )

    def is_closure(line):
        return line["process"] in processes and _is_closed(line, lines[0]["at"], end)

    return [
        line
        for line in merged
        if "request" not in line and (is_near(line) or is_closure(line))
    ]


def _is_closed(line, begin, end):
    """Returns whether a line tells of a server that was closed in that time."""
    if line["text"] != CLOSED_TEXT or line["at"] > end:
        return False
    seconds = line.get("seconds")
    return seconds is None or line["at"] + seconds >= begin


def line_text(line):
    """Returns a log line as one line of text."""
    fields = [
        f"{k}={v}" for k, v in line.items() if k not in _HEAD_FIELDS and v is not None
    ]
    head = f"{event_time(line)} {line['process']} {line.get('part', '')}:"
    return f"{head} {line['text']} {' '.join(fields)}".rstrip()
