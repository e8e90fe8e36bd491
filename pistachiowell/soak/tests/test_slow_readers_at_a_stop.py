"""Callers that read slowly while a gateway stops.

Guards against LOST: a gateway exited with answers that it had not handed to its kernel,
although most of the time in which it may end was left.
"""

import signal
import socket

import anyio
import pytest

from pistachiowell.platform.standin_documents import (
    caller_headers,
    soak_configuration,
)
from pistachiowell.platform.standins import head

pytestmark = pytest.mark.anyio

# More than the kernel keeps for a connection over loopback.
ANSWER_BYTES = 12_000_000
TIMEOUT_S = 6.0
PREPAID_TOKENS = 10_000
# Longer than a gateway without requests takes to exit.
READS_AFTER_S = 1.5


async def answer_much(request, stream):
    """Sends a whole answer that is large."""
    text = head(request, Content_Length=str(ANSWER_BYTES))
    await stream.send((text + "\r\n").encode() + b"x" * ANSWER_BYTES)
    return True


def open_request(address):
    """Sends a request over a new connection whose answer is not read."""
    host, port = address.split(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    connection.connect((host, int(port)))
    pairs = caller_headers("request-1", TIMEOUT_S, 10, 10)
    lines = [b"%b: %b\r\n" % pair for pair in pairs]
    connection.sendall(b"GET /read/x HTTP/1.1\r\n%b\r\n" % b"".join(lines))
    return connection


def read_to_end(connection):
    """Returns the number of bytes up to the end of the connection."""
    size = 0
    while data := connection.recv(1_000_000):
        size += len(data)
    return size


async def test_gateway_exits_before_a_slow_reader_has_its_answer(start_fleet):
    configuration = soak_configuration(PREPAID_TOKENS, int(TIMEOUT_S * 1000))
    async with start_fleet(configuration, [("desk-1", "desk", answer_much)]) as fleet:
        with open_request(fleet.addresses["gate-1"]) as connection:
            await anyio.to_thread.run_sync(connection.recv, 1, socket.MSG_PEEK)
            fleet.send_signal("gate-1", signal.SIGTERM)
            await anyio.sleep(READS_AFTER_S)
            size = await anyio.to_thread.run_sync(read_to_end, connection)
        with anyio.fail_after(5.0):
            await fleet.wait_until_exited("gate-1")
        assert fleet.exit_code("gate-1") == 0
    assert size > ANSWER_BYTES
