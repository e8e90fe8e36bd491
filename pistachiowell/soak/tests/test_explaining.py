"""The cause of a failed request, found by ``explain`` in the programs' logs alone."""

import json
import signal
import subprocess
import sys

import anyio
import httpcore
import pytest

from pistachiowell.platform.standin_documents import (
    caller_headers,
    soak_configuration,
)
from pistachiowell.platform.standins import chunk, close_without_answer, event, head
from pistachiowell.soak.fleet import Fleet

pytestmark = pytest.mark.anyio

PREPAID = 2_000


async def hold(seen, stream):
    """Shows a first event and then nothing."""
    text = head(seen, Content_Type="text/event-stream", Transfer_Encoding="chunked")
    await stream.send((text + "\r\n").encode() + chunk(event(1)))
    await anyio.sleep(60.0)
    return False


async def ask(fleet, path, request_id):
    """Returns the status of an answer; 0 if the connection broke."""
    headers = caller_headers(request_id, 3.0, 100, 50)
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"http://{fleet.addresses['gate-1']}/{path}/x"
        try:
            answer = await pool.request("POST", url, headers=headers)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return 0
    return answer.status


def explain(directory, request_id):
    """Returns what the command line prints for the logs of all processes."""
    logs = sorted(str(path) for path in directory.glob("*.log"))
    command = [sys.executable, "-c", "from pistachiowell.ctl.main import run; run()"]
    done = subprocess.run(
        [*command, "explain", request_id, *logs, "--json"],
        capture_output=True,
        check=False,
        text=True,
    )
    return json.loads(done.stdout)


@pytest.fixture
async def fleet(tmp_path, free_port):
    """A gateway, an agent and servers whose answers fail."""
    async with anyio.create_task_group() as group:
        fleet = Fleet(group, tmp_path, free_port)
        try:
            await fleet.start_store()
            fleet.store.put("config", "main", soak_configuration(PREPAID))
            await fleet.add_server("desk-1", "desk", close_without_answer)
            await fleet.add_server("pool-1", "pool", hold)
            await fleet.add_agent("agent-1")
            await fleet.add_gateway("gate-1")
            await fleet.until_registered(2)
            yield fleet
        finally:
            fleet.stop()
            group.cancel_scope.cancel()


async def test_lost_answer_names_the_server(fleet, tmp_path):
    assert await ask(fleet, "book", "lost-1") == 502
    found = explain(tmp_path, "lost-1")
    fault = found["first_fault"]
    assert (fault["code"], fault["ran"]) == ("server_failed", "unknown")
    assert "desk-1 broke off" in fault["cause"]
    assert found["lines"][0]["server"] == "desk-1"


async def test_missing_servers_are_told_with_their_leaving(fleet, tmp_path):
    fleet.store.delete("servers", "desk-1")
    await anyio.sleep(0.7)
    assert await ask(fleet, "book", "none-1") == 503
    fault = explain(tmp_path, "none-1")["first_fault"]
    assert (fault["code"], fault["ran"]) == ("no_server", "no")
    assert "Service desk has no server" in fault["cause"]


async def test_store_outage_shows_behind_a_refused_budget(fleet, tmp_path):
    fleet.store.mode = "busy"
    assert await ask(fleet, "chat", "money-1") == 503
    fault = explain(tmp_path, "money-1")["first_fault"]
    assert (fault["code"], fault["ran"]) == ("budget_unreachable", "no")
    assert "store" in fault["cause"]


async def test_request_of_a_killed_gateway_has_no_end(fleet, tmp_path):
    statuses = []

    async def keep_status():
        statuses.append(await ask(fleet, "chat", "killed-1"))

    async with anyio.create_task_group() as callers:
        callers.start_soon(keep_status)
        await anyio.sleep(0.7)
        fleet.signal("gate-1", signal.SIGKILL)
    found = explain(tmp_path, "killed-1")
    assert statuses == [0]
    assert (found["first_fault"], found["has_end"]) == (None, False)
    assert found["lines"][-1]["process"] == "gate-1"
