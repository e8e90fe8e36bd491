"""A server answers with a head that no HTTP answer can have.

Guards against callers whose connection is closed without an answer, and against answers
that are not tried at another server although the request may run again.
"""

import msgspec
import pytest

from pistachiowell.platform.standins import event, head

pytestmark = pytest.mark.anyio

STATUSES = ["600 Odd", "799 Odd", "999 Odd"]
# Each in the value of a header.
CONTROLS = [b"\x01", b"\x08", b"\x1b", b"\x7f"]


def answer(status="200 OK", value=b""):
    """Returns a script that answers with a status and a value of a header."""

    async def script(request, stream):
        body = event(1)
        fields = {"Content_Type": "text/event-stream", "Content_Length": str(len(body))}
        text = head(request, status, **fields).encode()
        await stream.send(text + b"X-Odd: a" + value + b"b\r\n\r\n" + body)
        return True

    return script


UNSENDABLE = [answer(status) for status in STATUSES] + [
    answer(value=control) for control in CONTROLS
]
each_unsendable = pytest.mark.parametrize(
    "script", UNSENDABLE, ids=STATUSES + [repr(control) for control in CONTROLS]
)


@each_unsendable
@pytest.mark.parametrize(
    ("path", "attempts"), [("/read/a", 2), ("/book/a", 1), ("/chat/a", 2)]
)
async def test_caller_gets_no_answer(start_rig, script, path, attempts):
    service = "pool" if path.startswith("/chat") else "desk"
    async with start_rig() as rig:
        server = await rig.add_server("server-1", service, script)
        await rig.add_agent("agent-1")
        gateway = await rig.add_gateway()
        send = rig.send_chat(path) if service == "pool" else rig.send(path, "POST")
        status, _, body = await send
        assert gateway.failures("server-1") > 0
    document = msgspec.json.decode(body)
    assert (status, document["error"]) == (502, "answer_broken")
    assert (document["ran"], len(server.requests)) == ("unknown", attempts)


@each_unsendable
@pytest.mark.parametrize("path", ["/read/a", "/chat/a"])
async def test_request_is_not_tried_at_another_server(start_rig, script, path):
    scripts = [script]

    async def play(request, stream):
        own = scripts.pop() if scripts else answer()
        return await own(request, stream)

    async with start_rig() as rig:
        for service in ("desk", "pool"):
            for number in range(2):
                await rig.add_server(f"{service}-{number}", service, play)
        await rig.add_agent("agent-1")
        await rig.add_gateway()
        send = rig.send_chat(path) if path.startswith("/chat") else rig.send(path)
        status, _, body = await send
        used = [server for server in rig.servers.values() if server.requests]
    assert (status, body, len(used)) == (200, event(1), 2)


@pytest.mark.parametrize("status", [203, 299, 399, 404, 419, 499, 511, 599])
@pytest.mark.parametrize("value", [b"", b"\t", b"\xe9"])
async def test_unusual_answer_is_replaced(start_rig, status, value):
    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk", answer(f"{status} Odd", value))
        await rig.add_gateway()
        answered, headers, body = await rig.send("/book/a", "POST")
    assert (answered, headers[b"x-odd"]) == (status, b"a" + value + b"b")
    assert body == event(1)
