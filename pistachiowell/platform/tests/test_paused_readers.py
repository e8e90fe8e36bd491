"""Callers that pause while they read an answer, for longer than the idle time.

Guards against answers that are cut as the idle time is short or has become so: on a
full link packets wait for as long.
"""

import socket

import anyio
import pytest
from anyio.abc import SocketAttribute

from pistachiowell.platform.standins import head
from pistachiowell.platform.tests.conftest import HOST, KEY, configuration

pytestmark = pytest.mark.anyio

LIMIT_S = 0.5
PAUSE_S = 2.0
# More than the kernel keeps.
BODY = b"x" * 4_000_000
REQUEST = (
    f"GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
    "Pistachiowell-Attempt-Id: r\r\n\r\n"
).encode()


async def answer_at_length(request, stream):
    """Answers with a large body."""
    text = head(request, Content_Length=str(len(BODY))) + "\r\n"
    await stream.send(text.encode() + BODY)
    return True


@pytest.mark.parametrize("is_changed", [False, True])
async def test_answer_is_cut_as_its_reader_pauses(start_rig, is_changed):
    document = configuration(2) | {"Limits": {"IdleTimeoutMs": 1000 * LIMIT_S}}
    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk", answer_at_length)
        if not is_changed:
            rig.store.put("config", "main", document)
        await rig.add_gateway()
        host, _, port = rig.address.partition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            sock = stream.extra(SocketAttribute.raw_socket)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            await stream.send(REQUEST)
            await anyio.sleep(PAUSE_S / 2)
            rig.store.put("config", "main", document)
            await anyio.sleep(PAUSE_S / 2)
            size = 0
            while size < len(BODY):
                size += len(await stream.receive())
