"""Answers of the store without end.

Guards against LOST: answers of the store were kept whole, as much as came within the
timeout of the call.
"""

import anyio
import pytest

from pistachiowell.bench.endless import EndlessPeer
from pistachiowell.core.errors import StoreAnswerLost, StoreUnavailable
from pistachiowell.store import HttpStore
from pistachiowell.store.calls import MAX_ANSWER_BYTES, StoreCalls
from pistachiowell.store.http import MAX_CHANGE_BYTES

pytestmark = pytest.mark.anyio

ANSWER = b"HTTP/1.1 200 OK\r\n\r\n"
# What buffers of the network hold beside the bytes that are read.
BUFFERED_BYTES = 8_000_000
CALLERS = 4
CALL_TIMEOUT_S = 10.0


@pytest.fixture
async def endless_calls():
    """Returns calls to a store whose answers have no end, and the peer that sends."""
    peer = EndlessPeer(ANSWER, b"a")
    async with anyio.create_task_group() as group:
        await group.start(peer.serve)
        calls = StoreCalls(f"http://127.0.0.1:{peer.port}", CALL_TIMEOUT_S)
        yield calls, peer
        await calls.aclose()
        group.cancel_scope.cancel()


async def test_answers_without_end_are_kept(endless_calls):
    calls, peer = endless_calls

    async def call():
        with pytest.raises(StoreUnavailable):
            await calls.read("servers")

    async with anyio.create_task_group() as group:
        for _ in range(CALLERS):
            group.start_soon(call)
    # Each call that is given up leaves its share to the others.
    assert peer.sent_bytes < CALLERS * (MAX_ANSWER_BYTES + BUFFERED_BYTES)


async def test_write_with_an_answer_without_end_may_have_taken_effect(endless_calls):
    calls, peer = endless_calls
    with pytest.raises(StoreAnswerLost):
        await calls.write("POST", "servers", b"{}")
    assert peer.sent_bytes < MAX_ANSWER_BYTES + BUFFERED_BYTES


async def test_change_without_end_is_kept():
    peer = EndlessPeer(ANSWER, b"a")
    async with anyio.create_task_group() as group:
        await group.start(peer.serve)
        store = HttpStore(f"http://127.0.0.1:{peer.port}")
        with pytest.raises(StoreUnavailable), anyio.fail_after(5.0):
            async for _ in store.watch("rows", 0):
                pass
        await store.aclose()
        group.cancel_scope.cancel()
    assert peer.sent_bytes < MAX_CHANGE_BYTES + BUFFERED_BYTES
