"""Registrations of processes that are killed or stop in order.

Guards against a process that takes a killed run of its own for a stopped one, or its
own registration for that of an earlier run.
"""

import pytest

from pistachiowell.schema.generated.objects_membership import RouterRecord
from pistachiowell.store import registration
from pistachiowell.store.memory import MemoryStore
from pistachiowell.store.registration import register_process, unregister_process

pytestmark = pytest.mark.anyio


def record(run, name="r"):
    return RouterRecord(name, run, "osu", "127.0.0.1", 1, "127.0.0.1", 2)


@pytest.mark.parametrize("lost_answers", [0, 1])
async def test_killed_run_is_taken_for_a_stopped_one(lost_answers, monkeypatch):
    monkeypatch.setattr(registration, "RETRY_DELAY_S", 0.0)
    store = MemoryStore()
    for run, follows_run in (("first", False), ("after-kill", True)):
        store.faults.lose_answers = lost_answers
        assert await register_process(store, "routers", record(run)) is follows_run
    await unregister_process(store, "routers", record("after-kill"))
    assert await register_process(store, "routers", record("after-stop")) is False


async def test_run_that_stopped_beside_others_is_forgotten():
    store = MemoryStore()
    await register_process(store, "routers", record("other", "s"))
    await register_process(store, "routers", record("first"))
    await unregister_process(store, "routers", record("first"))
    assert await register_process(store, "routers", record("after-stop")) is True
