"""The commands ``move start``, ``move status`` and ``move abort``."""

import datetime
import re

import msgspec
from absl import flags

from pistachiowell.core.errors import InvalidRequest, NotFound
from pistachiowell.ctl.command import FLAGS, Result, command, now_utc, time_text
from pistachiowell.ctl.commands.apply import commit_edits
from pistachiowell.ctl.table_files import require_args
from pistachiowell.tables import RowKey

MOVES_COLLECTION = "moves"
START_USAGE = "move start NAME ROUTE OLD NEW DEADLINE [--soak SECONDS]"
STATUS_USAGE = "move status [NAME]"
ABORT_USAGE = "move abort NAME"
_SECONDS_PER_UNIT = {"s": 1, "m": 60, "h": 3600}

flags.DEFINE_float(
    "soak",
    300.0,
    "move start: seconds at the last stage; at most three tenths of the time.",
    flag_values=FLAGS,
)


@command(
    "move start",
    usage=START_USAGE,
    example="move start chat-2026-12 chat belt-model-1 belt-model-2 2h",
)
async def move_start(context, args):
    """Starts a move of a route; the deadline is a time or a duration such as 90m."""
    require_args(args, 5, 5, START_USAGE)
    name, route, old, new, deadline = args
    row = {
        "kind": "move",
        "name": name,
        "route": route,
        "old": old,
        "new": new,
        "deadline": parse_deadline(deadline, now_utc()),
        "soak_s": context.flags.soak,
    }
    return await commit_edits(context, [{**row, "row_version": 0}])


@command("move status", usage=STATUS_USAGE, example="move status chat-2026-12")
async def move_status(context, args):
    """Shows moves with their stage, or with their outcome and its evidence."""
    require_args(args, 0, 1, STATUS_USAGE)
    snapshot = await context.writer.read()
    entries, _ = await context.store.list(MOVES_COLLECTION)
    states = {entry.name: msgspec.json.decode(entry.value) for entry in entries}
    rows = [row for key, row in snapshot.documents.items() if key.kind == "move"]
    rows = [row for row in rows if not args or row["name"] == args[0]]
    if args and not rows:
        raise NotFound(f"There is no move {args[0]}.")
    moves = [{**row, "state": states.get(row["name"])} for row in rows]
    return Result({"moves": moves}, "\n".join(map(_move_text, moves)) or "No moves.")


@command("move abort", usage=ABORT_USAGE, example="move abort chat-2026-12")
async def move_abort(context, args):
    """Aborts a move; the fleet then rolls it back."""
    require_args(args, 1, 1, ABORT_USAGE)
    snapshot = await context.writer.read()
    row = snapshot.documents.get(RowKey("move", args[0]))
    if row is None:
        raise NotFound(f"There is no move {args[0]}.")
    if row.get("end"):
        text = f"Move {args[0]} has ended as {row['end']}."
        return Result({"end": row["end"]}, text)
    version = snapshot.stored[RowKey("move", args[0])].row_version
    edit = {**row, "aborted": True, "row_version": version}
    return await commit_edits(context, [edit])


def parse_deadline(text, now):
    """Parses a deadline.

    Args:
        text: Time in ISO 8601 with a time zone, or a duration such as ``90m`` from now.
        now: The current time.

    Returns:
        The time in ISO 8601, UTC.

    Raises:
        InvalidRequest: The text is neither, the time has no time zone or it has passed.

    Examples:
        >>> moment = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        >>> parse_deadline("90m", moment)
        '2026-01-01T01:30:00Z'
    """
    duration = re.fullmatch(r"(\d+)([smh])", text)
    if duration:
        seconds = int(duration[1]) * _SECONDS_PER_UNIT[duration[2]]
        return time_text(now + datetime.timedelta(seconds=seconds))
    try:
        moment = datetime.datetime.fromisoformat(text.replace("Z", "+00:00"))
    except ValueError as error:
        raise InvalidRequest(
            f"{text!r} is neither a time in ISO 8601 nor a duration such as 90m."
        ) from error
    if moment.tzinfo is None or moment <= now:
        raise InvalidRequest(
            f"The deadline {text} must have a time zone and be in the future."
        )
    return time_text(moment.astimezone(datetime.UTC))


def _move_text(move):
    state = move["state"] or {}
    head = f"{move['name']}: {move['route']} from {move['old']} to {move['new']}"
    if state.get("end") or move.get("end"):
        evidence = state.get("evidence") or {}
        shown = ", ".join(f"{name} {value}" for name, value in evidence.items())
        end = move.get("end") or state["end"]
        reason = move.get("end_reason") or state.get("reason", "")
        return f"{head}, {end}. {reason} {shown}".rstrip()
    stage = state.get("stage", -1)
    return f"{head}, stage {stage}, {state.get('judged', 0)} answers judged."
