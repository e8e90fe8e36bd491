"""Callers that connect in bursts to a process that is late to accept them.

Guards against connections that the kernel has told their callers of, and resets as
there is no room for them: whole requests get neither an answer nor a refusal.
"""

import asyncio
import threading
import time

import anyio
import pytest

from pistachiowell.core.http_protocol import bounded_protocol
from pistachiowell.core.web import http_server, read_body

pytestmark = pytest.mark.anyio

CALLERS = 100
CALLS_S = 4.0
LATE_S = 0.15
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"


async def app(scope, receive, send):
    """Answers after the whole request."""
    await read_body(receive, 100)
    headers = [(b"content-length", b"2"), (b"connection", b"close")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"ok"})


@pytest.fixture
def late_port(free_port):
    """Returns the port of a server whose loop is late again and again."""
    port = free_port()
    has_started, has_ended = threading.Event(), threading.Event()

    async def serve():
        protocol = bounded_protocol(65_536, b"{}")
        server = http_server(app, "127.0.0.1", port, http=protocol)
        async with anyio.create_task_group() as group:
            group.start_soon(server.serve)
            while not has_ended.is_set():
                await anyio.sleep(LATE_S / 3)
                if server.started:
                    has_started.set()
                time.sleep(LATE_S)
            server.should_exit = True

    thread = threading.Thread(target=lambda: asyncio.run(serve()))
    thread.start()
    has_started.wait()
    yield port
    has_ended.set()
    thread.join()


async def call(port, ends):
    """Sends requests in two parts, each on a connection of its own."""
    end = time.monotonic() + CALLS_S
    while time.monotonic() < end:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(HEAD)
            await asyncio.sleep(0)
            writer.write(b"body")
            ends.append((await reader.read())[-2:])
        except ConnectionError as error:
            ends.append(error)
        writer.close()


async def test_connection_of_a_burst_is_reset(late_port):
    ends = []
    async with anyio.create_task_group() as group:
        for _ in range(CALLERS):
            group.start_soon(call, late_port, ends)
    assert [end for end in ends if end != b"ok"] == []
