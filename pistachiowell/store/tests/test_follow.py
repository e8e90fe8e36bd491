"""Tests of following a collection across store outages."""

import anyio
import pytest

from pistachiowell.store.follow import follow_collection
from pistachiowell.store.memory import MemoryStore
from pistachiowell.store.store import ABSENT


def values(objects):
    """Returns the values of objects by name."""
    return {name: item.value for name, item in objects.items()}


@pytest.mark.anyio
async def test_changes_and_outages_are_followed():
    store = MemoryStore()
    version = await store.put("agents", "a", b"1", ABSENT)
    follower = follow_collection(store, "agents")
    with anyio.fail_after(10):
        assert values(await anext(follower)) == {"a": b"1"}
        version = await store.put("agents", "a", b"2", version)
        assert values(await anext(follower)) == {"a": b"2"}
        await store.delete("agents", "a", version)
        assert values(await anext(follower)) == {}
        store.faults.down = True
        async with anyio.create_task_group() as group:
            seen = []

            async def follow():
                seen.append(values(await anext(follower)))

            group.start_soon(follow)
            await anyio.sleep(0)
            store.faults.down = False
            await store.put("agents", "b", b"3", ABSENT)
        assert seen == [{"b": b"3"}]
