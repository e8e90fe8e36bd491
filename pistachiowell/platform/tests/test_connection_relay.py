"""Connections that an overloaded gateway relays to another one of its data centre.

Guards against requests that are lost, run twice, or go on without their callers when
one of the two gateways cannot be reached, dies or stops.
"""

import socket
from contextlib import asynccontextmanager, suppress

import anyio
import httpcore
import pytest

from pistachiowell.admission import PeerRooms, RelayShare
from pistachiowell.gateway.load import room_owner
from pistachiowell.platform.standins import answer_whole, head
from pistachiowell.platform.tests.conftest import HOST, KEY
from pistachiowell.platform.tests.test_refused_uploads import connect, send_body

pytestmark = pytest.mark.anyio


async def never_answer(request, stream):
    """Takes a request and sends nothing."""
    del request, stream
    await anyio.sleep_forever()


async def answer_late(request, stream):
    """Answers after some time."""
    await anyio.sleep(0.4)
    return await answer_whole(request, stream)


LARGE_BYTES = 300_000


async def answer_much(request, stream):
    """Sends a whole answer that takes a while to be read."""
    text = head(request, Content_Length=str(LARGE_BYTES))
    await stream.send((text + "\r\n").encode() + b"x" * LARGE_BYTES)
    return True


@pytest.fixture
def relaying_rig(start_rig, free_port, monkeypatch):
    """Returns a context manager with a gateway that relays each connection."""
    # The tests put no load on the gateway.
    monkeypatch.setattr(RelayShare, "takes_next", lambda share, now: True)
    monkeypatch.setattr(room_owner, "TOLD_BUSY", 0.0)

    @asynccontextmanager
    async def start(script=answer_whole):
        async with start_rig() as rig:
            await rig.add_server("desk-1", "desk", script)
            await rig.add_agent("agent-1")
            await rig.add_agent("agent-2")
            settings = {"shutdown_timeout_s": 1.5}
            await rig.add_gateway("receiver", relay_port=free_port(), **settings)
            await rig.add_gateway("front", relay_port=free_port(), **settings)
            await rig.until(lambda: values(rig, 1)["load.peer_room_per_s"] > 0)
            yield rig

    return start


def values(rig, number):
    """Returns the metrics of the receiving gateway (0) or of the relaying one (1)."""
    return rig.gateways[number].metrics.values


async def test_relayed_request_is_served_by_the_other_gateway_alone(relaying_rig):
    async with relaying_rig() as rig:
        status, headers, _ = await rig.send("/book/a", "POST", b"x")
        relayed = values(rig, 1)["relay.connections"]
    assert (status, headers[b"connection"], relayed) == (200, b"close", 1)
    assert len(rig.servers["desk-1"].requests) == 1


async def test_relayed_caller_gets_no_refusal_of_its_upload(relaying_rig):
    size = 2_000_000
    async with relaying_rig() as rig:
        reader, writer = await connect(rig, length=size, connection="keep-alive")
        await send_body(writer, size)
        answer = await reader.read()
        writer.close()
        assert values(rig, 1)["relay.connections"] == 1
    assert answer.startswith(b"HTTP/1.1 404 ")


async def test_connection_is_served_here_if_the_other_cannot_be_reached(
    relaying_rig, free_port, monkeypatch
):
    address = f"127.0.0.1:{free_port()}"
    async with relaying_rig() as rig:
        monkeypatch.setattr(PeerRooms, "choose", lambda *args: address)
        status, _, _ = await rig.send("/book/a", "POST", b"x")
        assert values(rig, 1)["relay.unreachable"] == 1
    assert status == 200
    assert len(rig.servers["desk-1"].requests) == 1


async def test_connection_ends_without_an_answer_if_the_other_gateway_dies(
    relaying_rig, monkeypatch
):
    async def die(stream):
        await stream.receive()
        await stream.aclose()

    async with (
        relaying_rig() as rig,
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as group,
    ):
        group.start_soon(listener.serve, die)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        monkeypatch.setattr(PeerRooms, "choose", lambda *args: f"127.0.0.1:{port}")
        with pytest.raises((httpcore.RemoteProtocolError, httpcore.ReadError)):
            await rig.send("/book/a", "POST", b"x")
        group.cancel_scope.cancel()
    assert not rig.servers["desk-1"].requests


async def test_request_ends_when_its_relayed_caller_leaves(relaying_rig):
    async with relaying_rig(never_answer) as rig, anyio.create_task_group() as group:
        group.start_soon(rig.send, "/read/a")
        await rig.until(lambda: rig.servers["desk-1"].requests)
        assert values(rig, 0)["requests.in_progress"] == 1
        assert values(rig, 1)["requests.in_progress"] == 0
        group.cancel_scope.cancel()
        with anyio.CancelScope(shield=True):
            await rig.until(lambda: values(rig, 0).get("callers.left") == 1, 0.5)


async def test_drain_waits_for_what_was_relayed_and_relays_nothing_more(relaying_rig):
    answers = []

    async def send():
        answers.append(await rig.send("/read/a"))

    async with relaying_rig(answer_late) as rig, anyio.create_task_group() as group:
        group.start_soon(send)
        await rig.until(lambda: rig.servers["desk-1"].requests)
        group.start_soon(rig.gateways[1].leave)
        await rig.until(lambda: rig.gateways[1].state.is_leaving)
        await rig.send("/read/b")
        await rig.until(lambda: answers)
        assert values(rig, 1)["relay.connections"] == 1
    assert answers[0][0] == 200


async def test_gateway_that_leaves_gets_nothing_more(relaying_rig):
    async with relaying_rig() as rig, anyio.create_task_group() as group:
        group.start_soon(rig.gateways[0].leave)
        await rig.until(lambda: values(rig, 1)["load.peer_room_per_s"] == 0, 0.2)


async def test_drain_closes_relayed_connections_without_a_request(relaying_rig):
    async with relaying_rig() as rig, anyio.create_task_group() as group:
        host, _, port = rig.address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await rig.until(lambda: values(rig, 1).get("relay.connections"))
            group.start_soon(rig.gateways[1].leave)
            with anyio.fail_after(1.0), pytest.raises(anyio.EndOfStream):
                await stream.receive()


async def test_relayed_answer_is_lost_as_its_caller_sends_the_next_request(
    relaying_rig,
):
    pairs = [b"Host: " + HOST.encode(), b"Pistachiowell-Attempt-Id: a"]
    pairs.append(b"Api-Key: " + KEY.encode())
    request = b"\r\n".join([b"GET /read/a HTTP/1.1", *pairs, b"", b""])
    async with relaying_rig(answer_much) as rig:
        host, _, port = rig.address.rpartition(":")
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            await anyio.to_thread.run_sync(caller.connect, (host, int(port)))
            caller.sendall(request)
            await anyio.sleep(0.5)
            caller.sendall(request)
            await anyio.sleep(0.1)
            size = await anyio.to_thread.run_sync(bytes_to_end, caller)
        assert values(rig, 1)["relay.connections"] == 1
    assert size > LARGE_BYTES


def bytes_to_end(caller):
    """Returns the number of bytes up to the end, or the reset, of a connection."""
    size = 0
    with suppress(ConnectionError):
        while data := caller.recv(50_000):
            size += len(data)
    return size
