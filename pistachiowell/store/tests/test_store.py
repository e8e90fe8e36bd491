"""Tests of ``HttpStore`` and ``MemoryStore`` against each other and under faults."""

import itertools

import anyio
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pistachiowell.core.errors import (
    BodyTooLarge,
    PistachiowellError,
    StoreAnswerLost,
    StoreConflict,
    StoreThrottled,
    StoreUnavailable,
)
from pistachiowell.store import ABSENT, HttpStore, MemoryStore
from pistachiowell.store.memory import ObjectTable
from pistachiowell.store.store import MAX_VALUE_BYTES

NAMES = ("a", "b")
OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["put", "delete", "get", "list"]),
        st.sampled_from(NAMES),
        st.sampled_from(["absent", "current", "stale"]),
        st.sampled_from([b"1", b'{"x":[true,null]}', b'"\\u00e9"']),
    ),
    max_size=12,
)
_collections = (f"test-{number}" for number in itertools.count())


async def apply_operation(store, collection, operation):
    method, name, expectation, value = operation
    entry = await store.get(collection, name)
    current = ABSENT if entry is None else entry.version
    version = {"absent": ABSENT, "current": current, "stale": current + 999}
    try:
        if method == "put":
            await store.put(collection, name, value, version[expectation])
        elif method == "delete":
            await store.delete(collection, name, version[expectation])
        elif method == "list":
            entries, _ = await store.list(collection)
            return sorted((entry.name, entry.value) for entry in entries)
        return entry and entry.value
    except PistachiowellError as error:
        return error.code


async def collect_changes(store, collection, count):
    changes = []
    if count:
        async for change in store.watch(collection, 0):
            changes.append((change.name, change.value))
            if len(changes) == count:
                break
    return changes


@settings(max_examples=40, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(operations=OPERATIONS)
def test_fake_and_http_pair_agree(standin, operations):
    async def run():
        http, memory = HttpStore(standin.url), MemoryStore()
        collection = next(_collections)
        for operation in operations:
            expected = await apply_operation(memory, collection, operation)
            assert await apply_operation(http, collection, operation) == expected
        count = len(memory.table.changes(collection, 0))
        changes = await collect_changes(memory, collection, count)
        assert await collect_changes(http, collection, count) == changes
        await http.aclose()

    anyio.run(run)


@pytest.mark.anyio
async def test_faults_become_typed_errors(standin, free_port):
    store = HttpStore(standin.url, call_timeout_s=5.0)
    standin.control(lose_answers=1)
    with pytest.raises(StoreAnswerLost):
        await store.put("rows", "a", b"1", ABSENT)
    entry = await store.get("rows", "a")
    assert entry.value == b"1"
    standin.control(drop_writes=1)
    with pytest.raises(StoreAnswerLost):
        await store.put("rows", "a", b"2", entry.version)
    assert await store.get("rows", "a") == entry
    with pytest.raises(BodyTooLarge):
        await store.put("rows", "b", b"1" * (MAX_VALUE_BYTES + 1), ABSENT)
    standin.control(reads_per_s=0.001)
    with pytest.raises(StoreThrottled):
        for _ in range(3):
            await store.list("rows")
    standin.control(reads_per_s=0, down=True)
    with pytest.raises(StoreUnavailable):
        await store.get("rows", "a")
    with pytest.raises(StoreAnswerLost):
        await store.put("rows", "a", b"3", entry.version)
    standin.control(down=False, slow_s=60.0)
    quick = HttpStore(standin.url, call_timeout_s=0.05)
    with pytest.raises(StoreAnswerLost):
        await quick.put("rows", "a", b"4", entry.version)
    with pytest.raises(StoreUnavailable):
        await quick.get("rows", "a")
    refused = HttpStore(f"http://127.0.0.1:{free_port()}")
    with pytest.raises(StoreUnavailable):
        await refused.put("rows", "a", b"4", entry.version)
    for each in (store, quick, refused):
        await each.aclose()


@pytest.mark.anyio
async def test_watch_follows_and_ends_with_the_store(standin):
    store = HttpStore(standin.url)
    first = await store.put("rows", "a", b"1", ABSENT)
    watch = store.watch("rows", first)
    second = await store.put("rows", "a", b"2", first)
    change = await anext(watch)
    assert (change.version, change.value) == (second, b"2")
    assert standin.control()["watches"] == 1
    await store.delete("rows", "a", second)
    assert (await anext(watch)).value is None
    standin.control(down=True)
    with pytest.raises(StoreUnavailable):
        await anext(watch)
    await store.aclose()


@pytest.mark.anyio
async def test_vm_list_lags(standin):
    store = HttpStore(standin.url)
    standin.control(list_lag_s={"vms": 3600.0})
    await store.put("vms", "vm-1", b'{"host":"10.0.0.1","leaving":true}', ABSENT)
    assert await store.vms() == []
    standin.control(list_lag_s={})
    assert [(vm.host, vm.leaving) for vm in await store.vms()] == [("10.0.0.1", True)]
    await store.aclose()


def test_discarded_history_is_rejected():
    table = ObjectTable(history_changes=2)
    version = ABSENT
    for value in (b"1", b"2", b"3"):
        version = table.put("rows", "a", value, version)
    assert [change.value for change in table.changes("rows", 1)] == [b"2", b"3"]
    with pytest.raises(StoreConflict):
        table.changes("rows", 0)


@pytest.mark.anyio
async def test_faults_of_the_fake():
    store = MemoryStore()
    store.faults.lose_answers = 1
    with pytest.raises(StoreAnswerLost):
        await store.put("rows", "a", b"1", ABSENT)
    entry = await store.get("rows", "a")
    store.faults.drop_writes = 1
    with pytest.raises(StoreAnswerLost):
        await store.delete("rows", "a", entry.version)
    store.faults.conflicts = 1
    with pytest.raises(StoreConflict):
        await store.put("rows", "a", b"2", entry.version)
    store.set_down(True)
    with pytest.raises(StoreUnavailable):
        await store.get("rows", "a")
