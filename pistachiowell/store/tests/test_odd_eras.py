"""A store names an era that is no number of eras.

Guards against exceptions that are no outage, and against a store whose answers all
count as those of an earlier era from then on.
"""

import anyio
import pytest

from pistachiowell.store.calls import StoreCalls

pytestmark = pytest.mark.anyio

ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nera: %s\r\nConnection: close\r\n\r\n{}"
)


@pytest.mark.parametrize(
    "era",
    [b"9" * 5000, b"9" * 16, b"\xb2", b"-1", b""],
    ids=["digits without end", "too large", "superscript", "negative", "empty"],
)
async def test_odd_era_is_read(era):
    async def answer(stream):
        async with stream:
            await stream.receive()
            await stream.send(ANSWER % era)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, answer)
        calls = StoreCalls(f"http://127.0.0.1:{port}", 2.0, era_header=b"era")
        assert await calls.read("a") == (200, b"{}")
        assert await calls.write("PUT", "a", b"{}") == b"{}"
        assert calls.era.number == 0
        await calls.aclose()
        group.cancel_scope.cancel()
