"""What a server that has ended its answer has taken of its request."""

import socket

import anyio
import pytest

from pistachiowell.core.socket_state import has_taken_all

pytestmark = pytest.mark.anyio

UPLOAD = b"b" * 300_000
# A sound server may be silent for a second or so.
SILENCE_S = 1.2


@pytest.fixture
def connection():
    """Yields the sockets of a gateway and of a server that takes little unread."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        with socket.socket() as gateway:
            gateway.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(UPLOAD))
            gateway.connect(listener.getsockname())
            server, _ = listener.accept()
            with server:
                yield gateway, server


def read_upload(server):
    """Reads what the gateway has sent."""
    left = len(UPLOAD)
    while left:
        left -= len(server.recv(left))


async def test_answer_of_a_server_that_reads_an_upload_late_is_rejected(connection):
    gateway, server = connection
    gateway.setblocking(False)
    assert gateway.send(UPLOAD) == len(UPLOAD)
    server.shutdown(socket.SHUT_WR)
    async with anyio.create_task_group() as group:

        async def read_late():
            await anyio.sleep(SILENCE_S)
            await anyio.to_thread.run_sync(read_upload, server)

        group.start_soon(read_late)
        assert await has_taken_all(gateway, has_body=True)
