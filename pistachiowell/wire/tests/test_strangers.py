"""Peers that do not say who they are.

Guards against links that hold a process's memory or descriptors before their Hello.
"""

import anyio
import pytest

from pistachiowell.core.client_budget import ClientLimits
from pistachiowell.core.clients import Clients
from pistachiowell.core.clock import HybridClock, Stamp
from pistachiowell.core.metrics import Metrics
from pistachiowell.schema.generated.messages_requests import Hello, Ping, Role
from pistachiowell.wire import Handlers, serve
from pistachiowell.wire.codec import MAX_FIRST_FRAME_BYTES, encode_frame

pytestmark = pytest.mark.anyio

HELLO = Hello(role=Role.agent, id="a", incarnation="a-1", data_centre="east")
TOO_LARGE = (MAX_FIRST_FRAME_BYTES + 1).to_bytes(4)


@pytest.mark.parametrize(
    "data",
    [b"", encode_frame(Ping(), 1, Stamp(1, 0)), TOO_LARGE, b"GET / HTTP/1.1\r\n\r\n"],
    ids=["nothing", "another-message", "large-frame", "http"],
)
async def test_peer_without_a_hello_is_sent_away_and_not_used(data, free_port):
    port, links = free_port(), []
    clients = Clients(ClientLimits(connections=9, held_bytes=100_000), Metrics())
    clients.header_timeout_s = 0.2
    clock = HybridClock(lambda: 1)

    async def serve_links(*, task_status):
        await serve(
            "127.0.0.1",
            port,
            HELLO,
            Handlers(),
            clock,
            clients=clients,
            on_link=links.append,
            task_status=task_status,
        )

    async with anyio.create_task_group() as group:
        await group.start(serve_links)
        with anyio.fail_after(10):
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(data)
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    while True:
                        await stream.receive()
        group.cancel_scope.cancel()
    assert links == []
