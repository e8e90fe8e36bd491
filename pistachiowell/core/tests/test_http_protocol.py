"""Tests of the limits on what a caller sends beside the body of a request."""

from contextlib import asynccontextmanager, suppress

import anyio
import pytest
import uvicorn

from pistachiowell.core.http_protocol import TRAFFIC, bounded_protocol
from pistachiowell.core.traffic import Traffic, link_bytes

MAX_HEADER_BYTES = 2000


async def app(scope, receive, send):
    await receive()
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body", "body": b""})


@pytest.fixture
def connect(free_port):
    """Returns a context manager that yields a connection to a bounded server."""

    @asynccontextmanager
    async def open_connection(app=app, traffic=None):
        port = free_port()
        protocol = bounded_protocol(MAX_HEADER_BYTES, b"{}", traffic=traffic)
        config = uvicorn.Config(
            app, port=port, http=protocol, lifespan="off", log_config=None
        )
        server = uvicorn.Server(config)
        async with anyio.create_task_group() as group:
            group.start_soon(server.serve)
            while not server.started:
                await anyio.sleep(0.01)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                with anyio.fail_after(10):
                    yield stream
            server.should_exit = True

    return open_connection


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", b"204"),
        (b"GET / HTTP/1.1\r\nx: " + b"y" * 3000, b"431"),
        (b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 600, b"431"),
    ],
)
async def test_endless_headers_are_refused(connect, head, status):
    async with connect() as stream:
        await stream.send(head)
        assert (await stream.receive()).split()[1] == status


CHUNKED = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"


@pytest.mark.anyio
@pytest.mark.parametrize(
    "unit",
    [b"x: " + b"y" * 700, b"x: y\r\n" * 100, b"9" * 15 + b"0;" + b"e" * 600],
    ids=["one-trailer", "trailers", "chunk-extension"],
)
async def test_bytes_without_end_after_a_body_part_are_kept(connect, unit):
    start = CHUNKED + (b"0\r\n" if b"x:" in unit else b"3;")
    async with connect() as stream:
        await stream.send(start)
        sent = 0
        with suppress(anyio.BrokenResourceError):
            while sent < 100 * MAX_HEADER_BYTES:
                await stream.send(unit)
                sent += len(unit)
                await anyio.sleep(0.001)
        assert sent < 10 * MAX_HEADER_BYTES


@pytest.mark.anyio
async def test_trailers_of_a_request_are_left_out(connect):
    async with connect() as stream:
        await stream.send(CHUNKED + b"0\r\nx: y\r\n\r\n")
        assert (await stream.receive()).split()[1] == b"204"


@pytest.mark.anyio
async def test_bytes_of_both_directions_are_counted(connect):
    # A full link is seen by what crosses it, heads and refusals included.
    scopes, traffic = [], Traffic()

    async def record(scope, receive, send):
        scopes.append(scope)
        await app(scope, receive, send)

    request = b"POST / HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc"
    async with connect(record, traffic) as stream:
        await stream.send(request)
        answer = await stream.receive()
        served = link_bytes(len(request)) + link_bytes(len(answer))
        assert traffic.total_bytes == served
        assert scopes[0][TRAFFIC].take() == served
        await stream.send(b"no request")
        refusal = await stream.receive()
    more_bytes = link_bytes(10) + link_bytes(len(refusal))
    assert traffic.total_bytes == served + more_bytes
