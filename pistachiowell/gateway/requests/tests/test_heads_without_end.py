"""Heads without end of answers whose requests were given up.

Guards against LOST: such heads were kept without a limit, as many at a time as came, so
that a gateway ran out of memory and had no time for its other requests.
"""

import subprocess
import sys
import time
import tracemalloc
from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.gateway.connections.connections import ServerConnection
from pistachiowell.gateway.requests.late_heads import LATE_HEAD_S, LateHeads
from pistachiowell.platform import headers

pytestmark = pytest.mark.anyio

GIVEN_UP = 200
GIVEN_UP_AFTER_S = 0.3
# The loop must have time for events, which the users want passed on in 120 ms.
MAX_LATE_S = 0.12
# A gateway has 300 MB, and needs about 60 MB without requests.
MAX_KEPT_BYTES = 32_000_000

# Sends without end once it is told that nobody waits for the answer.
SERVER = """
import socket, sys, threading
unit = sys.argv[1].encode().decode("unicode_escape").encode()
start = b"" if unit.startswith(b"HTTP") else b"HTTP/1.1 200 OK\\r\\nx: "
block = unit * (500_000 // len(unit))

def answer(connection):
    try:
        while connection.recv(65536):
            pass
        connection.sendall(start)
        while True:
            connection.sendall(block)
    except OSError:
        connection.close()

listener = socket.create_server(("127.0.0.1", 0), backlog=512)
print(listener.getsockname()[1], flush=True)
while True:
    threading.Thread(target=answer, args=[listener.accept()[0]], daemon=True).start()
"""
UNITS = {
    "header-lines": r"a: b\r\n",
    "one-line": "a",
    "informational": r"HTTP/1.1 102 Processing\r\na: b\r\n\r\n",
}


@pytest.fixture(params=UNITS)
def endless_port(request):
    """Returns the port of a server process that sends a head without end."""
    command = [sys.executable, "-c", SERVER, UNITS[request.param]]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as server:
        yield int(server.stdout.readline())
        server.kill()


async def open_connection(port, late_heads):
    """Returns an open connection whose request can be given up."""
    connection = ServerConnection("127.0.0.1", port)
    connection.on_given_up = lambda stream: late_heads.take(
        SimpleNamespace(id="s1"), "request-1", stream
    )
    await connection.open()
    return connection


async def give_up(connection):
    """Sends a request and gives it up."""
    with anyio.CancelScope() as caller:
        # Not before: a late loop would give up a request that was never sent.
        caller.deadline = anyio.current_time() + GIVEN_UP_AFTER_S
        await connection.request("GET", b"/", [(b"Host", b"desk")], b"")
    await connection.aclose()


async def watch_loop(busy):
    """Records the processor time between two turns of the event loop until cancelled.

    Other processes that keep the processor from this one make it late, too, and are not
    what is measured.
    """
    while True:
        begun_at = time.thread_time()
        await anyio.sleep(0)
        busy.append(time.thread_time() - begun_at)


@pytest.fixture
def give_up_all(endless_port):
    """Returns a function that gives up ``GIVEN_UP`` requests at the same time."""

    async def run(begin_measuring):
        late_heads = LateHeads(headers, lambda server, head, told: None)
        async with anyio.create_task_group() as group:
            group.start_soon(late_heads.run)
            # One by one: opened at once, the last ones wait longer than they may.
            connections = [
                await open_connection(endless_port, late_heads) for _ in range(GIVEN_UP)
            ]
            async with anyio.create_task_group() as callers:
                for connection in connections:
                    callers.start_soon(give_up, connection)
                await anyio.sleep(GIVEN_UP_AFTER_S / 2)
                begin_measuring(group)
            await anyio.sleep(2 * LATE_HEAD_S)
            group.cancel_scope.cancel()

    return run


async def test_heads_without_end_of_requests_that_were_given_up_are_kept(give_up_all):
    await give_up_all(lambda group: tracemalloc.start())
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < MAX_KEPT_BYTES


async def test_heads_without_end_hold_the_event_loop(give_up_all):
    busy = []
    await give_up_all(lambda group: group.start_soon(watch_loop, busy))
    assert max(busy) < MAX_LATE_S
