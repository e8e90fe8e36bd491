"""Connections to servers are not used again when the gateway has read an answer late.

Guards against a request that is sent as its server closes the connection, whose idle
time the server counts from its answer: nobody knows whether it has run.
"""

import socket
import threading
import time

import anyio
import pytest

from pistachiowell.catalog import BackendServer
from pistachiowell.core.loop_watch import LoopWatch
from pistachiowell.gateway.connections.connections import ConnectionPool

pytestmark = pytest.mark.anyio

# The gateway uses the connection for 0.4 s of them.
KEEP_ALIVE_S = 1.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture
def server():
    """Starts a server beside the event loop that answers each request at once."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        connection, _ = listener.accept()
        with connection:
            while connection.recv(65_536):
                connection.sendall(ANSWER)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    yield BackendServer("a", "desk", *listener.getsockname(), "east")
    listener.close()


async def use(pool, server, late_s):
    """Sends a request and reads its answer with a loop that is late meanwhile."""
    connection = await pool.acquire(server)
    await connection.open()
    async with anyio.create_task_group() as group:
        group.start_soon(_block, late_s)
        response = await connection.request(b"GET", b"/", [(b"Host", b"a")], b"")
    await response.aread()
    await response.aclose()
    await pool.release(server, connection, KEEP_ALIVE_S)
    return connection


async def _block(late_s):
    # The request is sent before.
    await anyio.sleep(0.05)
    time.sleep(late_s)


@pytest.mark.parametrize(("late_s", "is_reused"), [(0.0, True), (0.8, False)])
async def test_connection_is_used_as_its_server_ends_it(server, late_s, is_reused):
    watch = LoopWatch(lambda: True)
    async with anyio.create_task_group() as group:
        group.start_soon(watch.run)
        await anyio.sleep(0.03)
        pool = ConnectionPool(
            anyio.current_time, watch.deadline, late_s=lambda: watch.late_s
        )
        connection = await use(pool, server, late_s)
        other = await pool.acquire(server)
        assert (other is connection) is is_reused
        await connection.aclose()
        group.cancel_scope.cancel()
