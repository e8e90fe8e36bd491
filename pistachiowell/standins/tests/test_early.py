"""A stand-in of an early server whose caller leaves before the head of a request.

Guards against a stand-in that reads the end of such a connection again and again, which
holds the event loop of its test for ever.
"""

import socket

import anyio
import pytest

from pistachiowell.standins.early import EarlyServer, close_unread

pytestmark = pytest.mark.anyio


async def test_caller_that_sends_nothing_holds_the_event_loop():
    server = EarlyServer(lambda head: b"", close_unread)
    async with anyio.create_task_group() as group:
        await group.start(server.serve)
        with socket.create_connection(("127.0.0.1", server.port)):
            pass
        await anyio.sleep(0.1)
        group.cancel_scope.cancel()
    assert not server.received
