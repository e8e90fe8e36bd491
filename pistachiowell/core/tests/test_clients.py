"""What a server of the product does with clients at its limits, over real sockets.

Guards against requests that run though they were refused, and against limits that
ordinary clients meet.
"""

from contextlib import asynccontextmanager

import anyio
import pytest

from pistachiowell.core.client_budget import ClientLimits
from pistachiowell.core.clients import Clients
from pistachiowell.core.http_protocol import bounded_protocol
from pistachiowell.core.metrics import Metrics
from pistachiowell.core.web import CallerGoneError, http_server, read_body

pytestmark = pytest.mark.anyio

GET = b"GET /%d HTTP/1.1\r\nHost: x\r\n"
POST = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\n"


class App:
    """ASGI application that records the requests that it has got whole."""

    body = b""

    def __init__(self):
        self.paths = []
        self.may_answer = anyio.Event()

    async def __call__(self, scope, receive, send):
        try:
            await read_body(receive, 5_000_000)
        except CallerGoneError:
            return
        self.paths.append(scope["path"])
        await self.may_answer.wait()
        headers = [(b"content-length", b"%d" % len(self.body))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": self.body})


@pytest.fixture(name="clients")
def clients_fixture():
    return Clients(ClientLimits(connections=4, held_bytes=5_000_000), Metrics())


@asynccontextmanager
async def running(clients, port):
    """Yields the application of a server."""
    app = App()
    server = http_server(
        app, "127.0.0.1", port, http=bounded_protocol(65_536, b"{}", clients)
    )
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        with anyio.fail_after(20):
            yield app
        app.may_answer.set()
        server.should_exit = True


async def read_all(stream):
    """Returns what is received until the connection ends."""
    data = b""
    try:
        while True:
            data += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return data


async def test_pipelined_request_does_not_run(clients, free_port):
    port = free_port()
    async with running(clients, port) as app:
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(b"".join(GET % n + b"\r\n" for n in range(50)))
            app.may_answer.set()
            answer = await read_all(stream)
        assert answer.count(b"HTTP/1.1 200") == 1
        assert b"connection: close" in answer
        assert app.paths == ["/0"]


@pytest.mark.parametrize("rest", [b"\0\0", b"\r\n" * 40_000, b"GET / HTTP/9"])
async def test_bytes_after_a_request_are_not_answered_in_its_place(
    rest, clients, free_port
):
    port = free_port()
    async with running(clients, port) as app:
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(GET % 0 + b"\r\n")
            while not app.paths:
                await anyio.sleep(0.01)
            await stream.send(rest)
            await anyio.sleep(0.1)
            app.may_answer.set()
            answer = await read_all(stream)
        assert answer == b"" or answer.startswith(b"HTTP/1.1 200")


async def test_connection_is_kept_between_requests(clients, free_port):
    port = free_port()
    async with running(clients, port) as app:
        app.may_answer.set()
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            for number in range(3):
                await stream.send(GET % number + b"\r\n")
                assert b"200 OK" in await stream.receive()
        assert app.paths == ["/0", "/1", "/2"]


async def test_legal_head_of_very_many_lines_is_served(clients, free_port):
    port = free_port()
    async with running(clients, port) as app:
        app.may_answer.set()
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(GET % 0 + b"a:\r\n" * 4_085 + b"\r\n")
            assert b"200 OK" in await stream.receive()


async def test_head_without_end_is_told_that_it_has_not_run(clients, free_port):
    port = free_port()
    clients.header_timeout_s = 0.2
    async with running(clients, port) as app:
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(GET % 0)
            assert b"HTTP/1.1 408" in await read_all(stream)
        assert app.paths == []


async def test_body_that_gives_way_is_told_so_and_does_not_run(clients, free_port):
    port = free_port()
    async with running(clients, port) as app:
        app.may_answer.set()
        async with (
            await anyio.connect_tcp("127.0.0.1", port) as old,
            await anyio.connect_tcp("127.0.0.1", port) as new,
        ):
            await old.send(POST + bytes(3_999_999))
            await anyio.sleep(0.2)
            await new.send(POST + bytes(4_000_000))
            refusal = await read_all(old)
            assert b"HTTP/1.1 503" in refusal
            assert b"retry-after: 0.5" in refusal
            assert b"200 OK" in await new.receive()
        assert app.paths == ["/"]


async def test_large_head_without_room_is_told_so_and_does_not_run(clients, free_port):
    port = free_port()
    async with (
        running(clients, port) as app,
        await anyio.connect_tcp("127.0.0.1", port) as running_one,
        await anyio.connect_tcp("127.0.0.1", port) as new,
    ):
        await running_one.send(POST + bytes(4_000_000))
        while not app.paths:
            await anyio.sleep(0.01)
        await new.send(GET % 0 + b"a:\r\n" * 4_000 + b"\r\n")
        assert b"HTTP/1.1 503" in await read_all(new)
        app.may_answer.set()
        assert b"200 OK" in await running_one.receive()
        assert app.paths == ["/"]


async def test_request_in_progress_is_kept_when_connections_run_out(clients, free_port):
    port = free_port()
    async with (
        running(clients, port) as app,
        await anyio.connect_tcp("127.0.0.1", port) as stream,
    ):
        await stream.send(GET % 0 + b"\r\n")
        silent = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(8)]
        assert await read_all(silent[0]) == b""
        app.may_answer.set()
        assert b"200 OK" in await stream.receive()
        for other in silent:
            await other.aclose()


@pytest.mark.parametrize("reads", [True, False])
async def test_answer_is_kept_for_a_slow_reader_only(
    reads, clients, free_port, monkeypatch
):
    port = free_port()
    clients.idle_timeout_s = 0.5
    monkeypatch.setattr("pistachiowell.core.clients.MIN_STALLED_S", 0.5)
    async with running(clients, port) as app:
        app.body = bytes(8_000_000)
        app.may_answer.set()
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(GET % 0 + b"\r\n")
            size = 0
            for _ in range(20):
                await anyio.sleep(0.1)
                size += len(await stream.receive(200_000)) if reads else 0
            size += len(await read_all(stream)) if not reads else 0
            while reads and size < len(app.body):
                size += len(await stream.receive())
        assert (size >= len(app.body)) == reads
