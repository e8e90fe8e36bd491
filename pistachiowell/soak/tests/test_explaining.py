"""Checks that ``explain`` finds the cause of a failed request from logs alone.

Each test causes one failure from outside the programs. It guards against log lines that
omit the failed server, the store outage or the unfinished request.
"""

import json
import signal
import subprocess
import sys

import anyio
import httpcore
import pytest

from pistachiowell.ctl.log_lines import CLOSED_TEXT
from pistachiowell.platform.standin_documents import (
    caller_headers,
    soak_configuration,
)
from pistachiowell.platform.standins import chunk, close_without_answer, event, head
from pistachiowell.soak.closing import ServerState

pytestmark = pytest.mark.anyio

PREPAID_TOKENS = 2_000


async def stall_after_first_event(request, stream):
    """Sends a first event and then nothing, as a server that hangs."""
    text = head(request, Content_Type="text/event-stream", Transfer_Encoding="chunked")
    await stream.send((text + "\r\n").encode() + chunk(event(1)))
    await anyio.sleep(60.0)
    return False


async def send_request(fleet, path, request_id):
    """Sends a request and returns the status; 0 if the connection was lost."""
    headers = caller_headers(request_id, 3.0, 100, 50)
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"http://{fleet.addresses['gate-1']}/{path}/x"
        try:
            answer = await pool.request("POST", url, headers=headers)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return 0
    return answer.status


def run_explain(directory, request_id):
    """Returns what the command ``explain`` prints for the logs of all processes."""
    logs = sorted(str(path) for path in directory.glob("*.log"))
    command = [sys.executable, "-c", "from pistachiowell.ctl.main import run; run()"]
    process = subprocess.run(
        [*command, "explain", request_id, *logs, "--json"],
        capture_output=True,
        check=False,
        text=True,
    )
    return json.loads(process.stdout)


@pytest.fixture
async def fleet(start_fleet):
    """Starts a gateway, an agent and servers whose answers are lost or hang."""
    servers = [
        ("desk-1", "desk", close_without_answer),
        ("pool-1", "pool", stall_after_first_event),
    ]
    async with start_fleet(soak_configuration(PREPAID_TOKENS), servers) as fleet:
        yield fleet


async def test_lost_answer_names_the_server(fleet, tmp_path):
    assert await send_request(fleet, "book", "lost-1") == 502
    explanation = run_explain(tmp_path, "lost-1")
    fault = explanation["first_fault"]
    assert (fault["code"], fault["ran"]) == ("server_failed", "unknown")
    assert "desk-1 broke off" in fault["cause"]
    assert explanation["lines"][0]["server"] == "desk-1"


async def test_missing_servers_are_told_with_their_leaving(fleet, tmp_path):
    fleet.store.delete("servers", "desk-1")
    await anyio.sleep(0.7)
    assert await send_request(fleet, "book", "none-1") == 503
    fault = run_explain(tmp_path, "none-1")["first_fault"]
    assert (fault["code"], fault["ran"]) == ("no_server", "no")
    assert "Service desk has no server" in fault["cause"]


@pytest.mark.parametrize("reason", ["pause", "leaving"])
async def test_refusal_hides_that_its_servers_are_closed(fleet, tmp_path, reason):
    paused_until = anyio.current_time() + 20.0 if reason == "pause" else 0.0

    async def close(request, stream):
        state = ServerState(reason == "leaving", paused_until)
        answer = state.refusal(request)
        if answer is None:
            text = head(request, Content_Length="2", **state.headers())
            answer = (text + "\r\nok").encode()
        await stream.send(answer)
        return True

    fleet.servers[0].script = close
    await send_request(fleet, "book", "told-1")
    # Longer than the context that is shown of other lines.
    await anyio.sleep(3.5)
    assert await send_request(fleet, "book", "refused-1") == 503
    context = run_explain(tmp_path, "refused-1")["context"]
    closed = [line for line in context if line["text"] == CLOSED_TEXT]
    assert [(line["server"], line["reason"]) for line in closed] == [("desk-1", reason)]
    assert closed[0]["told"] == "told-1"


async def test_store_outage_shows_behind_a_refused_budget(fleet, tmp_path):
    fleet.store.mode = "busy"
    assert await send_request(fleet, "chat", "money-1") == 503
    fault = run_explain(tmp_path, "money-1")["first_fault"]
    assert (fault["code"], fault["ran"]) == ("budget_unreachable", "no")
    assert "store" in fault["cause"]


async def test_request_of_a_killed_gateway_has_no_end(fleet, tmp_path):
    statuses = []

    async def record_status():
        statuses.append(await send_request(fleet, "chat", "killed-1"))

    async with anyio.create_task_group() as callers:
        callers.start_soon(record_status)
        await anyio.sleep(0.7)
        fleet.send_signal("gate-1", signal.SIGKILL)
    explanation = run_explain(tmp_path, "killed-1")
    assert statuses == [0]
    assert (explanation["first_fault"], explanation["has_end"]) == (None, False)
    assert explanation["lines"][-1]["process"] == "gate-1"
