"""The watch of a server that may have crashed, and bytes that nobody has asked for.

Guards against a gateway that reads all that the server sends while it is watched.
"""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.bench.endless import EndlessPeer
from pistachiowell.gateway.servers.server_crashes import _refuses_connections

MAX_SENT_BYTES = 32_000_000


@pytest.mark.anyio
async def test_bytes_without_end_of_a_watched_server_are_read():
    peer = EndlessPeer(b"", b"a")
    async with anyio.create_task_group() as group:
        await group.start(peer.serve)
        server = SimpleNamespace(host="127.0.0.1", port=peer.port)
        assert not await _refuses_connections(server)
        group.cancel_scope.cancel()
    assert peer.connections > 1
    assert peer.sent_bytes < MAX_SENT_BYTES
