"""Registrations of processes that are killed or stop in order.

Guards against a process that takes a killed run of its own for a stopped one, or its
own registration for that of an earlier run.
"""

import pytest

from pistachiowell.schema.generated.objects_membership import RouterRecord
from pistachiowell.store import registration
from pistachiowell.store.memory import MemoryStore
from pistachiowell.store.registration import (
    find_fleet_start_ms,
    register_process,
    unregister_process,
)

pytestmark = pytest.mark.anyio


def record(run, name="r", fleet_started_ms=0):
    address = ("127.0.0.1", 1, "127.0.0.1", 2)
    return RouterRecord(name, run, "osu", *address, fleet_started_ms)


@pytest.mark.parametrize("lost_answers", [0, 1])
async def test_killed_run_is_taken_for_a_stopped_one(lost_answers, monkeypatch):
    monkeypatch.setattr(registration, "RETRY_DELAY_S", 0.0)
    store = MemoryStore()
    for run, follows_run in (("first", False), ("after-kill", True)):
        store.faults.lose_answers = lost_answers
        assert await register_process(store, "routers", record(run)) is follows_run
    await unregister_process(store, "routers", record("after-kill"))
    assert await register_process(store, "routers", record("after-stop")) is False


async def test_start_of_the_fleet_is_forgotten_as_its_first_routers_stop():
    store = MemoryStore()
    for number, now_ms in enumerate((1_000, 5_000, 9_000)):
        started_ms = await find_fleet_start_ms(store, "routers", now_ms)
        assert started_ms == 1_000
        new = record(f"run-{number}", f"r-{number}", started_ms)
        await register_process(store, "routers", new)
        if number:
            old = record(f"run-{number - 1}", f"r-{number - 1}")
            await unregister_process(store, "routers", old)
    await register_process(store, "routers", record("odd", "odd"))
    assert await find_fleet_start_ms(store, "routers", 9_000) == 0
