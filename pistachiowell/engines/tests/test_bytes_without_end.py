"""Answers about a server itself, without end.

Guards against LOST: an agent kept the whole answer to a question of load or to an
order, and its timeout was one of each read.
"""

import time

import anyio
import pytest

from pistachiowell.bench.endless import EndlessPeer
from pistachiowell.core.errors import ServerFailed
from pistachiowell.engines import HttpBackend
from pistachiowell.engines.http import CONTROL_TIMEOUT_S

pytestmark = pytest.mark.anyio

ANSWER = b"HTTP/1.1 200 OK\r\n\r\n"
# What buffers of the network hold beside the bytes that are read.
MAX_SENT_BYTES = 8_000_000
SLACK_S = 0.5


@pytest.mark.parametrize("question", ["load", "order"])
@pytest.mark.parametrize("start", [ANSWER, b"HTTP/1.1 200 OK\r\nx: "], ids=len)
async def test_answer_without_end_is_kept(question, start):
    peer = EndlessPeer(start, b"a")
    async with anyio.create_task_group() as group:
        await group.start(peer.serve)
        backend = HttpBackend(f"http://127.0.0.1:{peer.port}")
        arguments = ("load", "v1", 1) if question == "order" else ()
        with pytest.raises(ServerFailed), anyio.fail_after(5.0):
            await getattr(backend, question)(*arguments)
        await backend.aclose()
        group.cancel_scope.cancel()
    assert peer.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize("start", [ANSWER, b""], ids=["body", "informational"])
async def test_answer_that_goes_on_slowly_is_waited_for_without_end(start):
    unit = b"a" if start else b"HTTP/1.1 102 Processing\r\n\r\n"
    peer = EndlessPeer(start, unit, interval_s=0.1)
    async with anyio.create_task_group() as group:
        await group.start(peer.serve)
        backend = HttpBackend(f"http://127.0.0.1:{peer.port}")
        started_at = time.monotonic()
        with pytest.raises(ServerFailed), anyio.fail_after(3 * CONTROL_TIMEOUT_S):
            await backend.load()
        assert time.monotonic() - started_at < CONTROL_TIMEOUT_S + SLACK_S
        await backend.aclose()
        group.cancel_scope.cancel()
