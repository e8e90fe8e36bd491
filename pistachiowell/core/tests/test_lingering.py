"""Answers at the end of a connection whose caller still sends.

Guards against LOST: the kernel reset a connection that was closed with unread bytes of
its caller, and the caller lost the end of an answer that had been written.
"""

import socket
from contextlib import suppress

import anyio
import pytest

from pistachiowell.core.http_protocol import bounded_protocol
from pistachiowell.core.lingering import LINGER_BYTES, LINGER_S
from pistachiowell.core.web import http_server

pytestmark = pytest.mark.anyio

ANSWER_BYTES = 300_000
CLOSE = (b"connection", b"close")
BODY_BYTES = 100_000
EARLY = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
CHUNKED = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n"
KEPT = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


async def app(scope, receive, send):
    """Answers much without reading the body, and closes the connection."""
    del scope, receive
    length = (b"content-length", b"%d" % ANSWER_BYTES)
    start = {"type": "http.response.start", "status": 200, "headers": [CLOSE, length]}
    await send(start)
    await send({"type": "http.response.body", "body": b"x" * ANSWER_BYTES})


@pytest.fixture
async def served(free_port):
    """Yields a socket that reads little at a time, and the server of its connection."""
    port = free_port()
    server = http_server(
        app,
        "127.0.0.1",
        port,
        http=bounded_protocol(65_536, b"{}"),
        server_header=False,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            sock.settimeout(5.0)
            sock.connect(("127.0.0.1", port))
            yield sock, server
        server.should_exit = server.force_exit = True


@pytest.fixture
def connection(served):
    """Returns a socket that reads little at a time, connected to a bounded server."""
    return served[0]


async def send(sock, data):
    """Sends data; a peer that resets the connection shows in what is read."""
    with suppress(OSError):
        await anyio.to_thread.run_sync(sock.sendall, data)


def read_slowly(sock):
    """Returns the number of bytes up to the end, or the reset, of a connection."""
    size = 0
    with suppress(ConnectionError):
        while data := sock.recv(50_000):
            size += len(data)
    return size


@pytest.mark.parametrize(
    ("request_bytes", "later"),
    [(EARLY, b"b" * BODY_BYTES), (CHUNKED, b"1\r\ny\r\n0\r\n\r\n"), (KEPT, KEPT)],
    ids=["body", "chunks", "next-request"],
)
async def test_answer_is_lost_as_its_caller_still_sends(
    connection, request_bytes, later
):
    await send(connection, request_bytes)
    await anyio.sleep(0.1)
    await send(connection, later)
    await anyio.sleep(0.1)
    size = await anyio.to_thread.run_sync(read_slowly, connection)
    assert size > ANSWER_BYTES


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
async def test_caller_that_sends_without_end_keeps_its_connection(connection, pause_s):
    await send(connection, CHUNKED)
    part = b"8000\r\n" + b"x" * 32_768 + b"\r\n"
    begin, sent = anyio.current_time(), 0
    reader = anyio.to_thread.run_sync
    with suppress(OSError):
        while sent < 20 * LINGER_BYTES:
            await reader(connection.sendall, part)
            sent += len(part)
            await anyio.sleep(pause_s)
    assert sent < 20 * LINGER_BYTES
    assert anyio.current_time() - begin < LINGER_S + 2.0


async def test_caller_that_has_read_its_answer_holds_a_planned_stop_up(served):
    sock, server = served
    await send(sock, EARLY)
    size = await anyio.to_thread.run_sync(read_slowly, sock)
    assert size > ANSWER_BYTES
    # The caller sends no body and does not close; the kernel may be about to tell.
    await anyio.sleep(LINGER_S / 10)
    owed = [protocol.owes_answer for protocol in server.server_state.connections]
    assert owed == [False]
