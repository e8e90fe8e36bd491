"""A gateway that gets no processor time as the time limit of a request passes.

Guards against answers that have come in time and are dropped, as the limit passes
before the gateway looks for them.
"""

import asyncio
import os
import time

import pytest
from anyio.abc import SocketAttribute

from pistachiowell.platform.standins import chunk, event, head

pytestmark = pytest.mark.anyio

LIMIT_S = 0.4
STILL_S = 0.5
EVENTS = [event(number) for number in range(1, 9)]


def stand_still(stream, data):
    """Lets the process stand still after the loop has looked for events once more.

    Args:
        stream: A connection.
        data: Bytes that come on it meanwhile.
    """
    selector = asyncio.get_running_loop()._selector
    select = selector.select

    def select_late(timeout=None):
        del timeout
        selector.select = select
        os.write(stream.extra(SocketAttribute.raw_socket).fileno(), data)
        time.sleep(STILL_S)
        return []

    selector.select = select_late


async def answer_in_time(request, stream):
    """Answers at once, while the process stands still past the time limit."""
    fields, body = {"Content_Length": "5"}, b"whole"
    if request.target.startswith("/chat"):
        fields = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
        body = b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n"
    stand_still(stream, (head(request, **fields) + "\r\n").encode() + body)
    return True


@pytest.mark.parametrize(
    ("path", "expected"),
    [("/read/x", b"whole"), ("/book/x", b"whole"), ("/chat/x", b"".join(EVENTS))],
)
async def test_answer_that_has_come_in_time_is_dropped(start_rig, path, expected):
    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk", answer_in_time)
        await rig.add_server("pool-1", "pool", answer_in_time)
        await rig.add_agent("agent-1")
        await rig.add_gateway()
        send = rig.send_chat if path.startswith("/chat") else rig.send
        limit = {"Pistachiowell-Deadline-Ms": f"{1000 * LIMIT_S:.0f}"}
        status, _, body = await send(path, **limit)
    assert (status, body) == (200, expected)
