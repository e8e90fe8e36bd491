"""A request is refused by its head while its body is still on its way.

Guards against LOST: the gateway closed the connection, the kernel reset it as the body
arrived, and the caller got neither an answer nor a refusal.
"""

import asyncio
import time

import anyio
import pytest

from pistachiowell.core.lingering import LINGER_S
from pistachiowell.platform.tests.conftest import HOST, KEY

pytestmark = pytest.mark.anyio

PART_BYTES = 16_384
BODY_DELAY_S = 0.05
# After the notice of the rig's gateways, which then close their connections.
LEAVING_S = 0.15
SLACK_S = 1.0


async def connect(rig, path="/none/a", key=KEY, length=0, connection="close"):
    """Returns reader and writer of a connection on which a head was sent."""
    host, _, port = rig.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {key}\r\n"
        f"Pistachiowell-Attempt-Id: q\r\nConnection: {connection}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    )
    writer.write(head.encode())
    return reader, writer


async def send_body(writer, size):
    """Sends a body in parts, as far as the connection lets it."""
    await anyio.sleep(BODY_DELAY_S)
    for _ in range(0, size, PART_BYTES):
        writer.write(b"u" * min(size, PART_BYTES))
        await writer.drain()


@pytest.mark.parametrize("size", [PART_BYTES, 128 * PART_BYTES])
@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/none/a", KEY, 404), ("/read/a", "bad", 401), ("/read/a", KEY, 413)],
)
async def test_caller_gets_no_refusal(start_rig, path, key, status, size):
    async with start_rig() as rig:
        await rig.add_gateway()
        reader, writer = await connect(rig, path, key, size)
        await send_body(writer, size)
        answer = await reader.read()
        writer.close()
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert b"connection: close" in answer


async def test_caller_gets_no_refusal_as_the_gateway_leaves(start_rig):
    async with start_rig() as rig, anyio.create_task_group() as group:
        gateway = await rig.add_gateway()
        size = 4 * PART_BYTES
        reader, writer = await connect(rig, length=size, connection="keep-alive")
        await rig.until(lambda: gateway.metrics.values.get("refused.not_found"))
        group.start_soon(gateway.leave)
        await anyio.sleep(LEAVING_S)
        await send_body(writer, size)
        answer = await reader.read()
        writer.close()
    assert answer.startswith(b"HTTP/1.1 404 ")


async def test_connection_is_kept_for_a_body_without_end(start_rig):
    async with start_rig() as rig:
        await rig.add_gateway()
        reader, writer = await connect(rig, length=10**9)
        started_at = time.monotonic()
        assert (await reader.read()).startswith(b"HTTP/1.1 404 ")
        assert time.monotonic() - started_at < SLACK_S
        with pytest.raises(OSError):
            while True:
                await send_body(writer, PART_BYTES)
        assert time.monotonic() - started_at < LINGER_S + SLACK_S
        writer.close()


async def test_end_of_a_refused_body_ends_its_connection_late(start_rig):
    async with start_rig() as rig:
        gateway = await rig.add_gateway()
        reader, writer = await connect(rig, length=PART_BYTES)
        await send_body(writer, PART_BYTES)
        await reader.read()
        await rig.until(lambda: not gateway.metrics.values["connections.open"], 1.0)
        writer.close()
