"""Tests of following a collection across store outages."""

import anyio
import pytest

from pistachiowell.store.follow import follow_values
from pistachiowell.store.memory import MemoryStore
from pistachiowell.store.store import ABSENT


@pytest.mark.anyio
async def test_changes_and_outages_are_followed():
    store = MemoryStore()
    version = await store.put("agents", "a", b"1", ABSENT)
    follower = follow_values(store, "agents")
    with anyio.fail_after(10):
        assert dict(await anext(follower)) == {"a": b"1"}
        version = await store.put("agents", "a", b"2", version)
        assert dict(await anext(follower)) == {"a": b"2"}
        await store.delete("agents", "a", version)
        assert dict(await anext(follower)) == {}
        store.faults.down = True
        async with anyio.create_task_group() as group:
            seen = []

            async def follow():
                seen.append(dict(await anext(follower)))

            group.start_soon(follow)
            await anyio.sleep(0)
            store.faults.down = False
            await store.put("agents", "b", b"3", ABSENT)
        assert seen == [{"b": b"3"}]
