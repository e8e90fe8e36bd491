"""Copying of bytes between a caller and another gateway.

Guards against memory that grows with what a slow caller does not read, against a
connection that stays open after the other has ended, and against relayed bytes that are
not counted for the network link.
"""

from types import SimpleNamespace

import anyio
import pytest
from anyio import move_on_after

from pistachiowell.core.metrics import Metrics
from pistachiowell.core.traffic import link_bytes
from pistachiowell.gateway.connections.link_load import LinkLoad
from pistachiowell.gateway.connections.relay import (
    CallerSide,
    ConnectionRelay,
    GatewaySide,
)


class FakeTransport:
    """Records what is written and whether it is read from."""

    def __init__(self):
        self.written = []
        self.is_reading = True
        self.end = None

    def write(self, data):
        """Records data."""
        self.written.append(data)

    def set_write_buffer_limits(self, high):
        """Takes a limit."""

    def get_write_buffer_size(self):
        """Returns that all was sent."""
        return 0

    def pause_reading(self):
        """Stops reading."""
        self.is_reading = False

    def resume_reading(self):
        """Reads again."""
        self.is_reading = True

    def set_protocol(self, protocol):
        """Accepts the protocol of the relay."""

    def is_closing(self):
        """Returns whether it has ended."""
        return self.end is not None

    def can_write_eof(self):
        """Returns that it cannot end one direction alone."""
        return False

    def close(self):
        """Records the end after what was written."""
        self.end = "close"

    def abort(self):
        """Records the immediate end."""
        self.end = "abort"


def expired(timeout_s):
    """Returns a cancel scope whose time is over at once."""
    del timeout_s
    return move_on_after(0.0)


def fake_runtime(now=lambda: 1.0):
    """Returns a runtime with a known network link."""
    settings = SimpleNamespace(link_mbps=5.0)
    return SimpleNamespace(metrics=Metrics(), settings=settings, now=now)


@pytest.fixture
def sides():
    """Returns the caller's side and the other gateway's side of a connection."""
    runtime = fake_runtime()
    relay = ConnectionRelay(
        runtime,
        move_on_after,
        400,
        lambda: None,
        lambda address: None,
        LinkLoad(runtime),
    )
    caller, gateway = CallerSide(relay, lambda transport: None), GatewaySide(relay)
    caller.other, gateway.other = gateway, caller
    for side in (caller, gateway):
        side.connection_made(FakeTransport())
    return caller, gateway


class Network:
    """Records the gateways that are left out, and what is served here after all.

    Args:
        addresses: The relay addresses, in the order in which they are chosen.
        deadline: Function that returns a cancel scope for a connection.
    """

    def __init__(self, addresses, deadline=move_on_after):
        runtime = fake_runtime(anyio.current_time)
        self.left_out = []
        self.served_here = 0
        self.relay = ConnectionRelay(
            runtime,
            deadline,
            400,
            lambda: addresses.pop(0),
            self.left_out.append,
            LinkLoad(runtime),
        )

    def connect(self):
        """Takes over a connection and returns its transport."""
        transport = FakeTransport()
        assert self.relay.take_over(transport, self.serve)
        return transport

    def serve(self, transport):
        """Serves a connection here after all."""
        del transport
        self.served_here += 1


@pytest.mark.anyio
async def test_gateway_that_does_not_answer_is_left_out():
    network = Network(["127.0.0.1:9"], expired)
    network.connect()
    await anyio.sleep(0.05)
    assert network.left_out == ["127.0.0.1:9"]
    assert network.served_here == 1


@pytest.mark.anyio
async def test_full_link_of_this_vm_leaves_out_no_other_gateway():
    # While the VM's own link was full, all other gateways were left out for seconds.
    addresses = ["127.0.0.1:9", "127.0.0.1:10", "127.0.0.1:11"]
    network = Network(addresses, expired)
    for _ in range(3):
        network.connect()
    await anyio.sleep(0.05)
    assert len(network.left_out) == 1
    assert network.served_here == 3


@pytest.mark.anyio
@pytest.mark.parametrize("state", ["connecting", "connected", "ended there"])
async def test_unread_request_of_a_relayed_connection_is_lost_at_a_stop(state):
    ended = anyio.Event()

    async def accept(stream):
        if state == "ended there":
            await stream.aclose()
        await ended.wait()

    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as group,
    ):
        group.start_soon(listener.serve, accept)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        network = Network([f"127.0.0.1:{port}"])
        transport = network.connect()
        if state != "connecting":
            await anyio.sleep(0.1)
        if state != "ended there":
            network.relay.close_idle()
        await anyio.sleep(0.1)
        assert (network.served_here, transport.end) == (1, None)
        assert transport.is_reading
        ended.set()
        group.cancel_scope.cancel()


def feed(side, data):
    """Lets a side read data."""
    side.get_buffer(-1)[: len(data)] = data
    side.buffer_updated(len(data))


def test_both_ways_are_written_through(sides):
    caller, gateway = sides
    feed(caller, b"request")
    feed(gateway, b"answer")
    assert gateway.transport.written == [b"request"]
    assert caller.transport.written == [b"answer"]


@pytest.mark.parametrize("number", [0, 1])
def test_nothing_is_read_for_a_peer_that_does_not_read(sides, number):
    slow, source = sides[number], sides[1 - number]
    slow.pause_writing()
    assert not source.transport.is_reading
    slow.resume_writing()
    assert source.transport.is_reading


def test_end_of_either_side_ends_the_other(sides):
    caller, gateway = sides
    caller.connection_lost(None)
    gateway.connection_lost(None)
    # What the other gateway has sent is delivered; for a caller that left, nothing is.
    assert (gateway.transport.end, caller.transport.end) == ("abort", "close")


@pytest.mark.anyio
@pytest.mark.parametrize("answer", [b"", b"half of an answer"])
async def test_end_of_a_stop_leaves_a_relayed_request_without_an_answer(answer):
    async def accept(stream):
        async with stream:
            await anyio.sleep_forever()

    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as group,
    ):
        group.start_soon(listener.serve, accept)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        network = Network([f"127.0.0.1:{port}"])
        transport = network.connect()
        await anyio.sleep(0.1)
        [caller] = network.relay._callers
        feed(caller, b"request")
        if answer:
            feed(caller.other, answer)
        network.relay.end()
        await anyio.sleep(0.05)
        [written] = transport.written
        if answer:
            assert (written, transport.end) == (answer, "abort")
        else:
            assert written.startswith(b"HTTP/1.1 502 ")
            assert transport.end == "close"
        group.cancel_scope.cancel()


def test_relayed_bytes_count_for_the_link_also_if_the_other_gateway_dies(sides):
    caller, gateway = sides
    link = caller._relay.link
    usual = link._meter.request_bytes
    feed(caller, b"request")
    feed(gateway, b"half of an answer")
    gateway.connection_lost(ConnectionResetError())
    caller.connection_lost(None)
    assert link.traffic.total_bytes == link_bytes(7) + link_bytes(17)
    assert link.load > 0.0
    assert link._meter.request_bytes < usual
