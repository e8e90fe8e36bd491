"""A backend server answers with a status or a type that no HTTP answer can have.

Guards against callers whose connection is closed without an answer.
"""

import anyio
import pytest

from pistachiowell.core.errors import ServerFailed
from pistachiowell.engines import HttpBackend

pytestmark = pytest.mark.anyio

HEADS = [
    b"600 Odd\r\nContent-Type: text/plain",
    b"999 Odd\r\nContent-Type: text/plain",
    b"200 OK\r\nContent-Type: text/\x01plain",
    b"200 OK\r\nContent-Type: text/\x7fplain",
]


@pytest.fixture
async def play():
    """Returns a function that sends a request to a server that sends a head."""
    async with anyio.create_task_group() as group:

        async def run(head):
            async def answer(stream):
                async with stream:
                    await stream.receive()
                    await stream.send(b"HTTP/1.1 " + head + b"\r\n")
                    await stream.send(b"Content-Length: 2\r\n\r\nok")

            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            group.start_soon(listener.serve, answer)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            backend = HttpBackend(f"http://127.0.0.1:{port}")
            async with backend.request("POST", "/x", {}, b"") as response:
                body = b"".join([part async for part in response.chunks()])
            await backend.aclose()
            return response.status, response.content_type, body

        yield run
        group.cancel_scope.cancel()


@pytest.mark.parametrize("head", HEADS)
async def test_head_that_nobody_can_write_is_passed_on(play, head):
    with pytest.raises(ServerFailed) as caught:
        await play(head)
    assert caught.value.ran == "unknown"


@pytest.mark.parametrize("status", [299, 419, 599])
async def test_unusual_status_is_replaced(play, status):
    head = b"%d Odd\r\nContent-Type: text/plain" % status
    assert await play(head) == (status, "text/plain", b"ok")
