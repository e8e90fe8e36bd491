"""A stream has events whose ids cannot be told to the server that continues it.

Guards against streams that end for the caller, and against failures of sound servers,
because of what another server has said.
"""

import pytest
from loguru import logger

from pistachiowell.platform.standins import event, head, stream_events

pytestmark = pytest.mark.anyio

ODD_IDS = {
    "control": b"a\x01",
    "inner return": b"a\rb",
    "nul": b"a\x00",
    "too many digits": b"9" * 5000,
    "too long": b"a" * 60_000,
}


def odd_event(event_id):
    """Returns an event as bytes."""
    return b"id: " + event_id + b"\ndata: odd\n\n"


def break_off_after(event_id):
    """Returns a script that sends events, one with an odd id, and breaks off."""

    async def script(request, stream):
        text = head(request, Content_Type="text/event-stream", Content_Length="99999")
        await stream.send((text + "\r\n").encode() + event(1) + odd_event(event_id))
        return False

    return script


@pytest.mark.parametrize("event_id", ODD_IDS.values(), ids=ODD_IDS)
async def test_stream_is_not_continued_after_an_odd_id(start_rig, event_id):
    scripts, records = [break_off_after(event_id)], []

    async def play(request, stream):
        own = scripts.pop() if scripts else stream_events(1, 3)
        return await own(request, stream)

    sink = logger.add(lambda message: records.append(message.record), level="ERROR")
    async with start_rig() as rig:
        for number in range(2):
            await rig.add_server(f"pool-{number}", "pool", play)
        await rig.add_agent("agent-1")
        gateway = await rig.add_gateway()
        status, _, body = await rig.send_chat()
        failures = sorted(gateway.failures(f"pool-{number}") for number in range(2))
    logger.remove(sink)
    assert (status, body) == (200, event(1) + event(2) + event(3))
    assert failures[0] == 0 < failures[1]
    assert not records


async def test_stream_with_superscripts_as_ids_fails(start_rig):
    body = event(1) + odd_event(b"\xb2") + odd_event(b"\xb3")

    async def script(request, stream):
        length = str(len(body))
        text = head(request, Content_Type="text/event-stream", Content_Length=length)
        await stream.send((text + "\r\n").encode() + body)
        return True

    async with start_rig() as rig:
        await rig.add_server("pool-1", "pool", script)
        await rig.add_agent("agent-1")
        await rig.add_gateway()
        status, _, received = await rig.send_chat()
    assert (status, received) == (200, body)
