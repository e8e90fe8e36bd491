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


MESSAGES = 200
# Together 4 MB, more than a new connection takes at once.
PADDING = "x" * 20_000
# Bounds a hang only.
HANG_S = 30.0


async def until(condition):
    """Waits until a condition holds, or for a second."""
    with anyio.move_on_after(1.0):
        while not condition():
            await anyio.sleep(0.01)


@pytest.fixture
def listen(clock, free_port):
    """Returns a function that starts to serve and returns the port and the scope."""

    async def start(group, handlers, on_link):
        port, scope = free_port(), anyio.CancelScope()

        async def run(*, task_status):
            with scope:
                await serve(
                    "127.0.0.1",
                    port,
                    hello("b"),
                    handlers,
                    clock,
                    on_link=on_link,
                    task_status=task_status,
                )

        await group.start(run)
        return port, scope

    return start


@pytest.fixture
def counted():
    """Returns handlers that count padded messages, and the list of their numbers."""
    handlers, received = Handlers(), []

    @handlers.on(Failure)
    async def record(link, message):
        received.append(message.retry_after_s)

    return handlers, received


def send_all(link):
    """Queues ``MESSAGES`` padded messages."""
    for number in range(MESSAGES):
        link.send(Failure("overloaded", PADDING, float(number)))


@pytest.mark.anyio
@pytest.mark.parametrize("peer_sends", [False, True])
async def test_messages_queued_at_a_close_are_lost(clock, listen, counted, peer_sends):
    handlers, received = counted
    links = []
    async with anyio.create_task_group() as group:
        port, _ = await listen(group, handlers, links.append)
        async with connect("127.0.0.1", port, hello("a"), Handlers(), clock) as link:
            await until(lambda: links)
            if peer_sends:
                send_all(links[0])
            send_all(link)
        await until(lambda: len(received) == MESSAGES)
        group.cancel_scope.cancel()
    assert received == [float(number) for number in range(MESSAGES)]


@pytest.mark.anyio
async def test_messages_queued_as_a_process_ends_are_lost(clock, listen, counted):
    handlers, received = counted
    links = []
    async with anyio.create_task_group() as group:
        port, process = await listen(group, Handlers(), links.append)
        async with connect("127.0.0.1", port, hello("a"), handlers, clock):
            await until(lambda: links)
            send_all(links[0])
            process.cancel()
            await until(lambda: len(received) == MESSAGES)
    assert received == [float(number) for number in range(MESSAGES)]


@pytest.mark.anyio
async def test_peer_that_reads_nothing_holds_a_close_up(clock, free_port):
    port = free_port()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    async with listener:
        async with connect("127.0.0.1", port, hello("a"), Handlers(), clock) as link:
            send_all(link)
            await anyio.sleep(0.05)
            begun_at = anyio.current_time()
        took_s = anyio.current_time() - begun_at
    assert took_s < 3 * link_module.CLOSE_S


@pytest.mark.anyio
async def test_peer_that_sends_without_end_holds_a_close_up(clock, free_port):
    async def chatter(stream):
        async with stream:
            with contextlib.suppress(anyio.BrokenResourceError):
                while True:
                    await stream.send(encode_frame(Ping(1), 0, clock.tick()))
                    await anyio.sleep(0.01)

    port = free_port()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, chatter)
        with anyio.fail_after(HANG_S):
            async with connect("127.0.0.1", port, hello("a"), Handlers(), clock):
                await anyio.sleep(0.05)
                begun_at = anyio.current_time()
        took_s = anyio.current_time() - begun_at
        group.cancel_scope.cancel()
    assert took_s < 2 * link_module.MAX_CLOSE_S


@pytest.mark.anyio
@pytest.mark.parametrize("peer_sends", [False, True])
async def test_peer_that_answers_slowly_loses_the_end_of_a_closed_link(
    clock, listen, peer_sends
):
    handlers, received, links = Handlers(), [], []

    @handlers.on(Failure)
    async def answer_slowly(link, message):
        await anyio.sleep(0.005)
        received.append(message.retry_after_s)
        with contextlib.suppress(LinkLost):
            link.send(Ping(1))

    ends = (Handlers(), handlers) if peer_sends else (handlers, Handlers())
    async with anyio.create_task_group() as group:
        port, _ = await listen(group, ends[0], links.append)
        async with connect("127.0.0.1", port, hello("a"), ends[1], clock) as link:
            await until(lambda: links)
            sender = links[0] if peer_sends else link
            for number in range(40):
                sender.send(Failure("overloaded", PADDING, float(number)))
            if peer_sends:
                sender.close()
                await until(lambda: len(received) == 40)
        await until(lambda: len(received) == 40)
        group.cancel_scope.cancel()
    assert received == [float(number) for number in range(40)]


@pytest.mark.anyio
async def test_messages_that_have_arrived_are_dropped_as_their_sender_leaves(
    clock, listen
):
    handlers, received, links = Handlers(), [], []

    @handlers.on(Failure)
    async def answer_slowly(link, message):
        received.append(message.retry_after_s)
        with contextlib.suppress(LinkLost):
            link.send(Ping(1))
        await anyio.sleep(0.01)

    async with anyio.create_task_group() as group:
        port, _ = await listen(group, handlers, links.append)
        async with connect("127.0.0.1", port, hello("a"), Handlers(), clock) as link:
            for number in range(50):
                link.send(Failure("overloaded", "", float(number)))
        await until(lambda: len(received) == 50)
        group.cancel_scope.cancel()
    assert received == [float(number) for number in range(50)]


class ClientList:
    """Takes the place of the ``Clients`` of a process, and closes nothing itself.

    Attributes:
        connections: The connections that are open.
    """

    def __init__(self):
        self.connections = []

    def add(self, connection):
        self.connections.append(connection)

    def update(self, connection, stage, held_bytes):
        pass

    def remove(self, connection):
        self.connections.remove(connection)


@pytest.mark.anyio
@pytest.mark.parametrize("is_known", [False, True])
async def test_connection_that_gives_way_stays_open(
    clock, free_port, monkeypatch, is_known
):
    port, clients, links = free_port(), ClientList(), []
    monkeypatch.setattr(link_module, "CLOSE_S", 30.0)

    async def listen(*, task_status):
        await serve(
            "127.0.0.1",
            port,
            hello("b"),
            Handlers(),
            clock,
            clients=clients,
            on_link=links.append,
            task_status=task_status,
        )

    async with anyio.create_task_group() as group:
        await group.start(listen)
        async with await anyio.connect_tcp("127.0.0.1", port) as peer:
            if is_known:
                await peer.send(encode_frame(hello("a"), 0, clock.tick()))
            await until(lambda: clients.connections and len(links) == is_known)
            clients.connections[0].give_way("memory")
            await until(lambda: not clients.connections)
            assert not clients.connections
        group.cancel_scope.cancel()
