"""Tests of the receipts: which routers may spend, and what is reported of them."""

from types import SimpleNamespace

import msgspec
import pytest

from pistachiowell.agent.receipts import ReceiptRecorder
from pistachiowell.core.errors import RouterUnknown
from pistachiowell.schema.generated.messages_budgets import SealIncarnation
from pistachiowell.schema.generated.messages_requests import Hello, RunRequest
from pistachiowell.schema.generated.objects_membership import AgentRecord, RouterRecord
from pistachiowell.store.memory import MemoryStore
from pistachiowell.store.registration import register_process
from pistachiowell.wire import Handlers

ROUTER = RouterRecord("r", "router-1", "osu", "127.0.0.1", 1, "127.0.0.1", 2)
AGENT = AgentRecord("a", "agent-1", "osu", "127.0.0.1", 3, "engine-1")
REQUEST = RunRequest(
    "q",
    1,
    "shop",
    "chat",
    "v1",
    "POST",
    "/x",
    b"{}",
    grant_id="g",
    holder="router-1",
    reserved_tokens=9,
)


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def handlers():
    return Handlers()


@pytest.fixture
def receipts(store, handlers):
    runtime = SimpleNamespace(
        incarnation="agent-1",
        store=store,
        settings=SimpleNamespace(id="a"),
        metrics=SimpleNamespace(count=lambda name: None),
    )
    recorder = ReceiptRecorder(runtime, handlers)
    recorder.registered = True
    return recorder


@pytest.fixture
def run():
    hello = Hello(role="router", id="r", incarnation="router-1", data_centre="osu")
    return SimpleNamespace(
        request=REQUEST, key=("q", 1), link=SimpleNamespace(hello=hello)
    )


async def run_attempt(receipts, run):
    progress = SimpleNamespace(prompt_tokens=1, completion_tokens=2, sent=True)
    async with receipts.record_receipt(run, progress):
        pass


@pytest.mark.anyio
async def test_router_is_accepted_only_while_registered_and_not_fenced(
    store, handlers, receipts, run
):
    await store.put("agents", "a", msgspec.json.encode(AGENT), 0)
    with pytest.raises(RouterUnknown):
        await run_attempt(receipts, run)
    await register_process(store, "routers", ROUTER)
    await run_attempt(receipts, run)
    seal = SealIncarnation("router-1")
    report = await handlers.find(seal)(run.link, seal)
    assert [s.grant_id for s in report.sums] == ["g"]
    assert report.sums[0].used_tokens > 0
    with pytest.raises(RouterUnknown):
        await run_attempt(receipts, run)
