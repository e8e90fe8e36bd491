"""Callers that use their idle connections almost as long as they may, over a long path.

Guards against requests that meet the end of an idle time on their way, and get neither
an answer nor a refusal.
"""

import anyio
import pytest

from pistachiowell.platform.tests.conftest import HOST, KEY, configuration

pytestmark = pytest.mark.anyio

LIMIT_S = 0.5
# Four fifths of the limit, and the way of the answer and of the next request.
PAUSE_S = 0.8 * LIMIT_S + 2 * 0.15
REQUEST = (
    f"GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
    "Pistachiowell-Attempt-Id: r\r\n\r\n"
).encode()


async def test_request_within_the_idle_time_meets_the_close(start_rig):
    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk")
        limits = {"Limits": {"IdleTimeoutMs": 1000 * LIMIT_S}}
        rig.store.put("config", "main", configuration(2) | limits)
        await rig.add_gateway()
        host, _, port = rig.address.partition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            for _ in range(3):
                await stream.send(REQUEST)
                assert b" 200 " in await stream.receive()
                await anyio.sleep(PAUSE_S)
