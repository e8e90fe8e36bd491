"""A gateway that leaves by a signal, as a process of its own."""

import signal

import anyio
import httpcore
import pytest

from pistachiowell.platform.standin_documents import (
    caller_headers,
    soak_configuration,
)
from pistachiowell.platform.standins import chunk, event, head
from pistachiowell.soak.fleet import Fleet

pytestmark = pytest.mark.anyio

TAKEN_AT_S = 2.0
REFUSED_AT_S = 2.95
WORK_S = 4.5
GRACE_S = 8.0


async def work_long(seen, stream):
    """Streams a first event at once and the last one after a long time."""
    text = head(seen, Content_Type="text/event-stream", Transfer_Encoding="chunked")
    await stream.send((text + "\r\n").encode() + chunk(event(1)))
    await anyio.sleep(WORK_S)
    await stream.send(chunk(event(2)) + b"0\r\n\r\n")
    return True


async def ask(address):
    """Returns the body of a long stream."""
    headers = caller_headers("chat-1", 9.0, 10, 10)
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"http://{address}/chat/x"
        answer = await pool.request("POST", url, headers=headers)
    return answer.content


async def test_request_in_the_notice_ends_whole_and_none_is_taken_after_it(
    tmp_path, free_port
):
    bodies = []

    async def keep_body(address):
        bodies.append(await ask(address))

    async with anyio.create_task_group() as group:
        fleet = Fleet(group, tmp_path, free_port, {"leaving_notice_s": None})
        try:
            await fleet.start_store()
            fleet.store.put("config", "main", soak_configuration(10_000, 9_000))
            await fleet.add_server("pool-1", "pool", work_long)
            await fleet.add_agent("agent-1")
            await fleet.add_gateway("gate-1")
            await fleet.until_registered(2)
            started = anyio.current_time()
            fleet.signal("gate-1", signal.SIGTERM)
            async with anyio.create_task_group() as callers:
                await anyio.sleep(TAKEN_AT_S)
                callers.start_soon(keep_body, fleet.addresses["gate-1"])
                await anyio.sleep(REFUSED_AT_S - TAKEN_AT_S)
                with pytest.raises(httpcore.ConnectError):
                    await ask(fleet.addresses["gate-1"])
            await fleet.until_ended("gate-1")
            assert anyio.current_time() - started < GRACE_S
        finally:
            fleet.stop()
            group.cancel_scope.cancel()
    assert bodies == [event(1) + event(2)]
