"""The command ``where`` against a gateway process.

Guards against answers that a real process does not give, against errors that leave the
exit code at zero, and against strangers that occupy the gateway with questions.
"""

import json
import sys

import anyio
import httpcore
import pytest

from pistachiowell.platform.standin_documents import (
    caller_headers,
    soak_configuration,
)
from pistachiowell.platform.standins import answer_whole

pytestmark = pytest.mark.anyio

PROGRAM = "from pistachiowell.ctl.main import run; run()"


@pytest.fixture
def metrics_address(free_port):
    return f"127.0.0.1:{free_port()}"


@pytest.fixture
async def fleet(start_fleet, metrics_address):
    """Starts a gateway, an agent and two servers."""
    settings = {"metrics_port": int(metrics_address.rpartition(":")[2])}
    servers = [(name, "desk", answer_whole) for name in ("desk-1", "desk-2")]
    async with start_fleet(soak_configuration(2_000), servers, settings) as fleet:
        yield fleet


async def run_where(*words):
    """Returns the exit code and what the command prints."""
    command = [sys.executable, "-c", PROGRAM, "where", *words]
    process = await anyio.run_process(command, check=False)
    return process.returncode, process.stdout.decode(), process.stderr.decode()


async def send(fleet, request_id):
    headers = caller_headers(request_id, 3.0, 100, 50)
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"http://{fleet.addresses['gate-1']}/book/x"
        return (await pool.request("POST", url, headers=headers)).status


async def test_command_asks_a_gateway(fleet, metrics_address, tmp_path):
    gateway = ("--gateway", metrics_address)
    account = ("--account", "acme")
    code, text, _ = await run_where("/book/x", *account, *gateway, "--json")
    report = json.loads(text)
    assert (code, report["outcome"], report["route"]["name"]) == (0, "sent", "book")
    assert set(report["chosen"]) == {"desk-1", "desk-2"}
    assert report["account"]["owners"] == ["agent-1"]
    # Questions alone send nothing.
    assert "Request is sent." not in (tmp_path / "gate-1.log").read_text()
    fleet.store.delete("servers", "desk-1")
    await anyio.sleep(0.7)
    code, text, _ = await run_where("book", *account, *gateway)
    assert code == 0
    assert text.startswith("Would be sent now to desk-2 (100 %).")
    assert await send(fleet, "book-1") == 200
    lines = (tmp_path / "gate-1.log").read_text().splitlines()
    sent = [line for line in lines if "Request is sent." in line]
    assert len(sent) == 1 and '"server":"desk-2"' in sent[0]
    for words, cause in (
        (("/nope/x", *gateway), "no route for path '/nope/x'"),
        (("/book/x", *gateway, "--account", "nobody"), "no account 'nobody'"),
        (("/book/x", "--gateway", "127.0.0.1:1"), "No gateway answers at"),
        (("/book/x", "--gateway", fleet.addresses["gate-1"]), "is no gateway that"),
        (("/book/x",), "Give --gateway HOST:PORT"),
    ):
        code, text, errors = await run_where(*words)
        assert code != 0 and not text and cause in errors
        await anyio.sleep(0.7)


async def test_stranger_occupies_the_gateway_with_questions(fleet, metrics_address):
    url, statuses = f"http://{metrics_address}/where", []
    async with httpcore.AsyncConnectionPool() as pool:
        for query in ("route=book", "x" * 30_000, "prefix=" + "a:1," * 900):
            for _ in range(20):
                answer = await pool.request("GET", f"{url}?{query}")
                statuses.append(answer.status)
    assert statuses[-1] == 429 and statuses.count(200) <= 6
    assert await send(fleet, "book-2") == 200
