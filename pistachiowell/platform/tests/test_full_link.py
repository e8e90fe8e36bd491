"""A gateway whose network link is full while its event loop is on time.

Guards against bytes that the gateway does not count, and against refusals that wait for
a body or send callers away for long although another gateway has room.
"""

import time

import anyio
import pytest

from pistachiowell.platform.tests.conftest import HOST, KEY

pytestmark = pytest.mark.anyio

# Both gateways run in one event loop, and the idle one takes the work of the other for
# its own. At a higher rate it reports less room than the full one has to turn away.
INTERVAL_S = 0.1
HEAD = (
    f"POST /book/a HTTP/1.1\r\nhost: {HOST}\r\napi-key: {KEY}\r\n"
    "content-length: 500\r\n\r\n"
).encode()


async def refusal_of_head(address):
    """Returns what is answered to a head without its body; empty for nothing."""
    host, _, port = address.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(HEAD)
        with anyio.move_on_after(0.1):
            return await stream.receive()
    return b""


async def short_refusal(rig, group, length_s):
    """Sends requests until the head of one is refused for a short time.

    Returns:
        The refusal; empty if there is none within ``length_s``.
    """
    end = time.monotonic() + length_s
    while time.monotonic() < end:
        for _ in range(5):
            group.start_soon(rig.send, "/book/a", "POST", b"x")
            await anyio.sleep(INTERVAL_S)
        if b"\r\nretry-after: 0.0" in (answer := await refusal_of_head(rig.address)):
            return answer
    return b""


@pytest.mark.parametrize(("link_mbps", "length_s"), [(0.04, 8.0), (0, 2.0)])
async def test_head_is_refused_while_the_link_is_full(
    start_rig, free_port, link_mbps, length_s
):
    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk")
        await rig.add_agent("agent-1")
        await rig.add_agent("agent-2")
        await rig.add_gateway("idle", relay_port=free_port())
        gateway = await rig.add_gateway(
            "full", relay_port=free_port(), link_mbps=link_mbps
        )
        async with anyio.create_task_group() as group:
            answer = await short_refusal(rig, group, length_s)
            values = gateway.metrics.values
            group.cancel_scope.cancel()
    assert bool(answer) == (link_mbps > 0)
    if link_mbps:
        assert b"network link" in answer
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert values["link.refused"] >= 1
        assert values["link.load"] > 0
