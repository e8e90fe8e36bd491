"""Requests that are given up while their bytes are still on the way."""

import socket

import anyio
import pytest

from pistachiowell.gateway.connections.connections import ServerConnection

pytestmark = pytest.mark.anyio

BODY_BYTES = 1_000_000
RECEIVE_BUFFER_BYTES = 4_096


@pytest.fixture
def slow_server():
    """Listens with a small receive buffer; nothing is read until the test does."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        yield listener


def read_to_the_end(connection):
    """Returns the number of bytes that arrive before the connection ends."""
    size = 0
    try:
        while data := connection.recv(65_536):
            size += len(data)
    except ConnectionResetError:
        pass
    return size


async def test_given_up_request_still_reaches_its_server(slow_server):
    port = slow_server.getsockname()[1]
    connection = ServerConnection("127.0.0.1", port)
    headers = [(b"Host", b"desk"), (b"Content-Length", b"%d" % BODY_BYTES)]
    with anyio.CancelScope() as caller:
        await connection.open()
        # Not before: a late loop would give up a request that was never sent.
        caller.deadline = anyio.current_time() + 0.3
        await connection.request("POST", b"/x", headers, b"x" * BODY_BYTES)
    await connection.aclose()
    accepted, _ = slow_server.accept()
    with accepted:
        size = await anyio.to_thread.run_sync(read_to_the_end, accepted)
    assert size < BODY_BYTES / 2
