"""The head of an answer says one thing twice, or takes it back.

Guards against successes without the server's signature, and against answers that may
belong to another request.
"""

import msgspec
import pytest

from pistachiowell.platform.headers import read_answer_head, read_request_head
from pistachiowell.platform.standins import SIGNATURE, event, head

pytestmark = pytest.mark.anyio

SIGNATURE_NAME = "Pistachiowell-Server-Signature"
ID_NAME = "Pistachiowell-Attempt-Id"
PATHS = ["/read/a", "/book/a", "/chat/a"]


def answer(lines, **fields):
    """Returns a script that answers with more lines in its head."""

    async def script(request, stream):
        body = event(1)
        fields.update(Content_Type="text/event-stream", Content_Length=str(len(body)))
        text = head(request, **fields) + "".join(f"{line}\r\n" for line in lines)
        await stream.send(text.encode() + b"\r\n" + body)
        return True

    return script


async def send(start_rig, path, script):
    """Returns the status, the headers and the body of an answer to a caller."""
    async with start_rig() as rig:
        for service in ("desk", "pool"):
            await rig.add_server(service, service, script)
        await rig.add_agent("agent-1")
        await rig.add_gateway()
        if path.startswith("/chat"):
            return await rig.send_chat(path)
        return await rig.send(path, "POST")


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    ("lines", "fields"),
    [
        ([f"{SIGNATURE_NAME}:"], {"Pistachiowell_Server_Signature": ""}),
        ([f"{SIGNATURE_NAME}: other"], {}),
        ([f"{SIGNATURE_NAME}: {SIGNATURE}"], {}),
        ([f"{ID_NAME}: another"], {}),
        ([f"{ID_NAME}:"], {}),
    ],
    ids=["empty signature", "two signatures", "signed twice", "two ids", "id and none"],
)
async def test_success_that_nobody_can_trust_is_passed_on(
    start_rig, path, lines, fields
):
    status, _, body = await send(start_rig, path, answer(lines, **fields))
    assert (status, msgspec.json.decode(body)["error"]) == (502, "answer_broken")


REFUSED = {"Pistachiowell_Not_Executed": "1"}


@pytest.mark.parametrize(
    ("status", "copy_status", "fields"),
    [
        ("200 OK", "200 OK", {}),
        ("409 Conflict", "200 OK", {}),
        ("500 Failed", "503 Full", REFUSED),
        ("200 OK", "503 Full", {**REFUSED, "Pistachiowell_Server_Signature": ""}),
    ],
    ids=["success", "error", "refusal in an error", "refusal in a success"],
)
async def test_answer_within_the_head_of_another_is_passed_on(
    start_rig, status, copy_status, fields
):
    async def script(request, stream):
        own = head(request, status, Content_Length="3")
        fields.update(Content_Length="4", Pistachiowell_Attempt_Id="")
        text = own.partition("timeout")[0] + head(request, copy_status, **fields)
        await stream.send((text + "\r\ncopy" + own).encode())
        return True

    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk", script)
        await rig.add_server("desk-2", "desk", script)
        await rig.add_gateway()
        answered, _, body = await rig.send("/book/a", "POST")
        received = [len(server.requests) for server in rig.servers.values()]
    assert (answered, msgspec.json.decode(body)["ran"]) == (502, "unknown")
    assert sorted(received) == [0, 1]


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    "line",
    [
        f"Connection: {SIGNATURE_NAME}",
        f"Connection: {ID_NAME}",
    ],
)
async def test_success_arrives_without_its_signature(start_rig, path, line):
    status, headers, body = await send(start_rig, path, answer([line]))
    assert (status, body) == (200, event(1))
    assert headers[SIGNATURE_NAME.lower().encode()] == SIGNATURE.encode()
    assert ID_NAME.lower().encode() in headers


CONNECTIONS = [(b"connection", b"keep-alive"), (b"connection", b"close, X-Hop")]
HOP = [(b"x-hop", b"1")]


def test_header_of_one_connection_is_passed_on():
    answered = read_answer_head(200, [*CONNECTIONS, *HOP])
    scope = {"raw_path": b"/", "query_string": b"", "method": "GET"}
    asked = read_request_head({**scope, "headers": [*CONNECTIONS, *HOP]})
    assert (answered.headers, asked.headers, answered.keep_alive_s) == ([], [], 0.0)
