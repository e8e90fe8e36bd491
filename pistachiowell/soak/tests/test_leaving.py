"""A gateway process that is told to stop by a signal.

Guards against two failures: a request that arrives while the gateway still announces
that it is leaving is lost, or the gateway passes requests on after that and exits late.
"""

import signal

import anyio
import httpcore
import msgspec
import pytest

from pistachiowell.platform.standin_documents import (
    caller_headers,
    soak_configuration,
)
from pistachiowell.soak.tests.slow_streams import WHOLE_STREAM, stream_slowly

pytestmark = pytest.mark.anyio

# Seconds from the signal to stop.
ACCEPTED_AT_S = 2.0
REFUSED_AT_S = 2.95
STREAM_S = 4.5
EXIT_LIMIT_S = 8.0


async def request_stream(address):
    """Sends a request and returns the whole answer."""
    headers = caller_headers("chat-1", 9.0, 10, 10)
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"http://{address}/chat/x"
        return await pool.request("POST", url, headers=headers)


async def test_request_in_the_notice_ends_whole_and_none_is_taken_after_it(
    start_fleet,
):
    bodies = []

    async def record_body(address):
        bodies.append((await request_stream(address)).content)

    configuration = soak_configuration(10_000, 9_000)
    servers = [("pool-1", "pool", stream_slowly(STREAM_S))]
    settings = {"leaving_notice_s": None}
    async with start_fleet(configuration, servers, settings) as fleet:
        started = anyio.current_time()
        fleet.send_signal("gate-1", signal.SIGTERM)
        async with anyio.create_task_group() as callers:
            await anyio.sleep(ACCEPTED_AT_S)
            callers.start_soon(record_body, fleet.addresses["gate-1"])
            await anyio.sleep(REFUSED_AT_S - ACCEPTED_AT_S)
            late = await request_stream(fleet.addresses["gate-1"])
        await fleet.wait_until_exited("gate-1")
        assert anyio.current_time() - started < EXIT_LIMIT_S
    assert bodies == [WHOLE_STREAM]
    refusal = msgspec.json.decode(late.content)
    assert (late.status, refusal["error"], refusal["ran"]) == (503, "leaving", "no")
    assert len(fleet.servers[0].requests) == 1
