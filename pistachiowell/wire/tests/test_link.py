"""Tests of calls over a link on the loopback interface."""

import contextlib

import anyio
import pytest

from pistachiowell.core.clock import HybridClock
from pistachiowell.core.errors import LinkLost, LinkTimeout, Overloaded
from pistachiowell.schema.generated.messages_requests import Failure, Hello, Ping, Pong
from pistachiowell.wire import Handlers, connect, serve
from pistachiowell.wire import link as link_module
from pistachiowell.wire.codec import encode_frame


@pytest.fixture
def clock():
    return HybridClock(lambda: 1)


def hello(name):
    return Hello(role="router", id=name, incarnation=name, data_centre="osu")


@pytest.mark.anyio
async def test_call_gets_reply_failure_timeout_or_loss(clock, free_port):
    port = free_port()
    handlers = Handlers()
    links = []

    @handlers.on(Ping)
    async def answer(link, message):
        if message.table_revision == 1:
            return Pong(table_revision=7)
        if message.table_revision == 2:
            raise Overloaded("Full.")
        if message.table_revision == 5:
            raise ValueError("a fault")
        if message.table_revision == 3:
            link.close()
        await anyio.sleep_forever()

    async with anyio.create_task_group() as group:

        async def listen(task_status):
            await serve(
                "127.0.0.1",
                port,
                hello("b"),
                handlers,
                clock,
                on_link=links.append,
                task_status=task_status,
            )

        await group.start(lambda *, task_status: listen(task_status))
        async with connect("127.0.0.1", port, hello("a"), Handlers(), clock) as link:
            assert (await link.call(Ping(1), 5)).table_revision == 7
            assert await link.call(Ping(2), 5) == Failure("overloaded", "Full.", 1.0)
            assert (await link.call(Ping(5), 5)).code == "internal_fault"
            with pytest.raises(LinkTimeout):
                await link.call(Ping(4), 0.01)
            with pytest.raises(LinkLost):
                await link.call(Ping(3), 5)
            assert links[0].hello.id == "a"
            assert link.hello.id == "b"
        with pytest.raises(LinkLost):
            link.send(Ping())
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_peer_that_reads_no_replies_ends_the_links_of_others(
    clock, free_port, monkeypatch
):
    port, handlers = free_port(), Handlers()
    monkeypatch.setattr(link_module, "MAX_QUEUED_BYTES", 1_000)

    @handlers.on(Ping)
    async def answer(link, message):
        return Pong(table_revision=7)

    async with anyio.create_task_group() as group:

        async def listen(task_status):
            await serve(
                "127.0.0.1", port, hello("b"), handlers, clock, task_status=task_status
            )

        await group.start(lambda *, task_status: listen(task_status))
        ping = encode_frame(Ping(1), 1, clock.tick())
        slow = await anyio.connect_tcp("127.0.0.1", port)
        # The replies to what arrives in one part are queued before any is written.
        with contextlib.suppress(anyio.BrokenResourceError):
            for _ in range(20):
                await slow.send(ping * 200)
                await anyio.sleep(0.01)
        async with connect("127.0.0.1", port, hello("a"), Handlers(), clock) as link:
            assert (await link.call(Ping(1), 5)).table_revision == 7
        await slow.aclose()
        group.cancel_scope.cancel()
