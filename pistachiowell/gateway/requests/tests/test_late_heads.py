"""What becomes of a connection whose request is given up before the head has come."""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.gateway.connections.connections import ServerConnection
from pistachiowell.gateway.requests.late_heads import LateHeads
from pistachiowell.platform import headers

pytestmark = pytest.mark.anyio

SERVER = SimpleNamespace(id="s1")
# From the moment at which the server has the request.
GIVEN_UP_AFTER_S = 0.1
# A server may be at work on a given-up request for so long.
MAX_WORK_S = 0.5
UPGRADE = b"HTTP/1.1 101 Odd\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def given_up():
    """Gives a request up and returns the pauses that were read, and the server's times.

    The times are seconds from the moment of giving up to the end of the request and to
    the end of the connection, as the server sees them.
    """

    async def give_up(parts, first_after_s, record=None):
        pauses, ends = [], []
        caller = anyio.CancelScope()

        async def serve(stream):
            async with stream, anyio.create_task_group() as group:
                await stream.receive()
                # Not before: a late loop would give up a request that was never sent.
                caller.deadline = anyio.current_time() + GIVEN_UP_AFTER_S
                group.start_soon(answer, stream)
                try:
                    await stream.receive()
                except anyio.EndOfStream:
                    ends.append(anyio.current_time())

        async def answer(stream):
            await anyio.sleep(first_after_s)
            try:
                for part in parts:
                    await stream.send(part)
                while True:
                    await anyio.sleep(0.01)
                    await stream.send(b"x")
            except anyio.BrokenResourceError:
                ends.append(anyio.current_time())

        late_heads = LateHeads(
            headers,
            record or (lambda server, head, told: pauses.append((head.pause_s, told))),
        )
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            group.start_soon(late_heads.run)
            await anyio.sleep(0.02)
            connection = ServerConnection("127.0.0.1", port)
            connection.on_given_up = lambda stream: late_heads.take(
                SERVER, "request-1", stream
            )
            with caller:
                await connection.open()
                await connection.request("GET", b"/", [(b"Host", b"desk")], b"")
            await connection.aclose()
            given_up_at = anyio.current_time()
            await anyio.sleep(first_after_s + MAX_WORK_S)
            group.cancel_scope.cancel()
        return pauses, [end - given_up_at for end in ends]

    return give_up


async def test_head_that_comes_after_its_caller_has_left_is_read(given_up):
    pauses, ends = await given_up([REFUSAL], 0.2)
    assert pauses == [(3.0, "request-1")]
    assert max(ends) < MAX_WORK_S


async def test_server_is_told_at_once_and_cut_off_soon(given_up):
    pauses, ends = await given_up([REFUSAL], 0.7)
    assert pauses == []
    assert min(ends) < 0.1


@pytest.mark.parametrize(
    ("parts", "pauses"),
    [
        ([b"HTTP/1.1 100 Continue\r\nRetry-After: 9\r\n\r\n", REFUSAL], [3.0]),
        ([REFUSAL[:20], REFUSAL[20:]], [3.0]),
        ([REFUSAL + REFUSAL.replace(b": 3", b": 7")], [3.0]),
        ([b"\x00 no answer \r\n\r\n"], []),
        ([REFUSAL[:20]], []),
        ([UPGRADE + REFUSAL], []),
    ],
    ids=["informational", "in-parts", "two-answers", "garbage", "cut", "upgrade"],
)
async def test_late_bytes_are_read_as_heads_only(given_up, parts, pauses):
    read, _ = await given_up(parts, 0.15)
    assert [pause_s for pause_s, _ in read] == pauses


async def test_error_in_a_late_head_ends_the_gateway(given_up):
    def fail(server, head, told):
        raise ValueError("a fault")

    # An error that went on would leave the fixture's task group.
    await given_up([REFUSAL], 0.15, fail)


async def test_request_given_up_while_the_gateway_stops_closes_its_connection():
    late_heads = LateHeads(headers, lambda server, head, told: None)
    is_sent, is_closed = anyio.Event(), anyio.Event()

    async def serve(stream):
        async with stream:
            await stream.receive()
            is_sent.set()
            with pytest.raises(anyio.EndOfStream):
                await stream.receive()
            is_closed.set()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    connection = ServerConnection("127.0.0.1", port)
    connection.on_given_up = lambda stream: late_heads.take(SERVER, "request-1", stream)

    async def send():
        await connection.open()
        await connection.request("GET", b"/", [(b"Host", b"desk")], b"")

    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        async with anyio.create_task_group() as gateway:
            gateway.start_soon(late_heads.run)
            gateway.start_soon(send)
            await is_sent.wait()
            gateway.cancel_scope.cancel()
        await connection.aclose()
        with anyio.fail_after(MAX_WORK_S):
            await is_closed.wait()
        group.cancel_scope.cancel()
