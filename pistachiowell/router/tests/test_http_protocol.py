"""Tests of the limit on the size of request headers."""

import anyio
import pytest
import uvicorn

from pistachiowell.router.http_protocol import bounded_protocol

MAX_HEADER_BYTES = 2000


async def app(scope, receive, send):
    await receive()
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body", "body": b""})


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", b"204"),
        (b"GET / HTTP/1.1\r\nx: " + b"y" * 3000, b"431"),
        (b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 600, b"431"),
    ],
)
async def test_endless_headers_are_refused(free_port, head, status):
    port = free_port()
    protocol = bounded_protocol(MAX_HEADER_BYTES, b"{}")
    config = uvicorn.Config(
        app, port=port, http=protocol, lifespan="off", log_config=None
    )
    server = uvicorn.Server(config)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(head)
            with anyio.fail_after(10):
                assert (await stream.receive()).split()[1] == status
        server.should_exit = True
