"""Tests of the events that record outages of the store."""

import pytest

from pistachiowell.core.clock import HybridClock
from pistachiowell.core.errors import StoreUnavailable
from pistachiowell.core.events import EventRing
from pistachiowell.store.memory import MemoryStore
from pistachiowell.store.observed import ObservedStore
from pistachiowell.store.store import ABSENT


@pytest.mark.anyio
async def test_outage_is_recorded_once_at_each_end():
    events = EventRing("r", HybridClock(lambda: 1), 10)
    inner = MemoryStore()
    store = ObservedStore(inner, events)
    version = await store.put("rows", "a", b"1", ABSENT)
    inner.faults.down = True
    for _ in range(2):
        with pytest.raises(StoreUnavailable):
            await store.get("rows", "a")
    inner.faults.down = False
    await store.delete("rows", "a", version)
    assert (await store.list("rows"))[0] == []
    assert [event.kind for event in events.latest(9)] == [
        "store_unavailable",
        "store_recovered",
    ]
