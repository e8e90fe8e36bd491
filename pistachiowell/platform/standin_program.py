"""Backend server stand-in as a program of its own, for tests with real processes.

A request whose body contains the crash marker ends the process when the server begins
to run it, and with it all other requests in progress there. So does one whose prompt
has a part with the marker in its id, once the head of its answer is written; the last
part does not count.

While the file of limits has a text, the server names it in its answers as its limit;
the texts of several lines are several headers. The file of its state is JSON with
``is_leaving`` and ``paused_until``, a wall time until which it turns requests away.
"""

import json
import os
import sys
import time
from pathlib import Path

import anyio
from absl import flags

from pistachiowell.core.commandline import parse_flags
from pistachiowell.platform.standins import BackendStandIn, chunk, event, head

USAGE = (
    "Usage: --port PORT --record FILE [--crash_marker TEXT] [--crash_delay_s S]"
    " [--limits FILE] [--state FILE]"
)
PLAIN_WORK_S = 0.02
EVENT_INTERVAL_S = 0.03
EVENTS_PER_STREAM = 4
STREAM_PATHS = ("/chat/", "/long/")


class ArrivalRecord:
    """Appends a line for each request that arrives to a file that outlives the process.

    Args:
        path: Path of the file.
    """

    __slots__ = ("_path",)

    def __init__(self, path):
        self._path = Path(path)
        self._path.touch()

    def add(self, request, *, crashes, is_leaving=False, paused_until=0.0):
        """Adds an arrival.

        Args:
            request: The ``ReceivedRequest``.
            crashes: Whether the request ends the process.
            is_leaving: Whether the answer says that the server leaves.
            paused_until: End of the pause that the answer names, as a wall time.
        """
        line = {
            "at": time.time(),
            "process": os.getpid(),
            "parts": request.headers.get("pistachiowell-prefix-hash", ""),
            "server": request.headers.get("pistachiowell-expected-instance", ""),
            "request": request.headers["pistachiowell-attempt-id"],
            "body": request.body.decode(),
            "crashes": crashes,
            "is_leaving": is_leaving,
            "paused_until": paused_until,
        }
        with self._path.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")


def make_script(record, crash_marker, crash_delay_s, limits_path=None, state_path=None):
    """Returns the script of the server; see ``BackendStandIn``.

    Args:
        record: The ``ArrivalRecord``.
        crash_marker: Bytes in the body of a request that crashes the server.
        crash_delay_s: Seconds from the start of such a request to the crash.
        limits_path: Path of the file of limits; None for a server without limits.
        state_path: Path of the file of its state; None for one that is always open.
    """

    def read_state():
        if state_path is None or not state_path.exists():
            return {}
        return json.loads(state_path.read_text(encoding="utf-8"))

    def limit_headers():
        if limits_path is None or not limits_path.exists():
            return ""
        lines = limits_path.read_text(encoding="utf-8").splitlines()
        return "".join(f"Server-Limit: {line}\r\n" for line in lines)

    async def answer(request, stream):
        has_crashing_part = bool(crash_marker) and _has_part(request, crash_marker)
        crashes = bool(crash_marker) and crash_marker in request.body
        state = read_state()
        record.add(request, crashes=crashes or has_crashing_part, **state)
        more = limit_headers()
        if state.get("is_leaving"):
            more += "Server-Leaving: 1\r\n"
        pause_s = state.get("paused_until", 0.0) - time.time()
        if pause_s > 0:
            more += f"Retry-After: {pause_s:.3f}\r\nPistachiowell-Not-Executed: 1\r\n"
            text = head(request, "503 Busy", Content_Length="0") + more
            await stream.send((text + "\r\n").encode())
            return True
        if has_crashing_part:
            await stream.send(_stream_head(request, ""))
        if crashes or has_crashing_part:
            await anyio.sleep(crash_delay_s)
            os._exit(1)
        if request.target.startswith(STREAM_PATHS):
            return await _answer_with_events(request, stream, more)
        await anyio.sleep(PLAIN_WORK_S)
        text = head(request, Content_Length="2") + more
        await stream.send((text + "\r\nok").encode())
        return True

    return answer


def _has_part(request, marker):
    parts = request.headers.get("pistachiowell-prefix-hash", "").split(",")
    return any(marker.decode() in part for part in parts[:-1])


def _stream_head(request, more):
    text = head(request, Content_Type="text/event-stream", Transfer_Encoding="chunked")
    return (text + more + "\r\n").encode()


async def _answer_with_events(request, stream, more):
    await stream.send(_stream_head(request, more))
    first = int(request.headers.get("last-event-id", 0)) + 1
    for number in range(first, EVENTS_PER_STREAM + 1):
        await anyio.sleep(EVENT_INTERVAL_S)
        await stream.send(chunk(event(number)))
    await stream.send(b"0\r\n\r\n")
    return True


def main():
    """Serves until the process is ended and returns the exit code."""
    values = flags.FlagValues()
    define = {"flag_values": values}
    flags.DEFINE_integer("port", 0, "TCP port.", **define)
    flags.DEFINE_string("record", None, "File for the arrivals.", **define)
    flags.DEFINE_string("crash_marker", "", "Marker of crashing requests.", **define)
    flags.DEFINE_float("crash_delay_s", 0.01, "Delay of a crash.", **define)
    flags.DEFINE_string("limits", None, "File with the limits to name.", **define)
    flags.DEFINE_string("state", None, "File with the state of the server.", **define)
    if parse_flags(values, sys.argv, USAGE) or not values.record:
        print(USAGE, file=sys.stderr)
        return 2
    record = ArrivalRecord(values.record)
    marker = values.crash_marker.encode()
    limits_path = Path(values.limits) if values.limits else None
    state_path = Path(values.state) if values.state else None
    delay_s = values.crash_delay_s
    script = make_script(record, marker, delay_s, limits_path, state_path)
    anyio.run(_serve, BackendStandIn("", script, port=values.port))
    return 0


async def _serve(server):
    async with anyio.create_task_group() as group:
        await group.start(server.serve)


if __name__ == "__main__":
    sys.exit(main())
