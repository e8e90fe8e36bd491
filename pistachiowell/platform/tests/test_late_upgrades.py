"""A server answers a request whose caller has left with a change of the protocol.

Guards against gateways that end, with all their requests, because of what one server
says.
"""

import anyio
import pytest

from pistachiowell.platform.standins import answer_whole

pytestmark = pytest.mark.anyio

UPGRADE = b"HTTP/1.1 101 Odd\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"


async def test_late_change_of_the_protocol_ends_the_gateway(start_rig):
    has_answered = anyio.Event()

    async def script(request, stream):
        if request.target != "/read/left":
            return await answer_whole(request, stream)
        caller.cancel()
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()
        await stream.send(UPGRADE)
        has_answered.set()
        return False

    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk", script)
        await rig.add_gateway()
        with anyio.CancelScope() as caller:
            await rig.send("/read/left")
        with anyio.fail_after(2.0):
            await has_answered.wait()
        status, _, body = await rig.send("/read/a")
    assert (status, body) == (200, b"ok")
