"""Spread of the table from few watchers to all processes."""

import types

import anyio
import pytest

from pistachiowell.core.events import EventKind
from pistachiowell.router.rows import Rows
from pistachiowell.store.memory import MemoryStore
from pistachiowell.store.table_writer import TableWriter
from pistachiowell.tables import Change, is_watcher
from pistachiowell.wire import Handlers

DATA_CENTRES = 3
ROUTERS_EACH = 8


class LoopLink:
    """A link whose peer is in the same process."""

    closed = False

    def __init__(self, handlers, group):
        self.handlers, self.group, self.back = handlers, group, None

    def send(self, message):
        if not self.closed:
            self.group.start_soon(self.handlers.find(message), self.back, message)

    async def call(self, message, timeout_s):
        return await self.handlers.find(message)(self.back, message)


class Process:
    def __init__(self, store, router_id, neighbours):
        self.links, self.store, self.handlers = [], store, Handlers()
        self.events = types.SimpleNamespace(add=self.note)
        self.metrics = types.SimpleNamespace(gauge=lambda *args: None)
        self.revisions = []
        self.rows = Rows(
            self,
            self.handlers,
            links=lambda: self.links,
            watches=lambda: is_watcher(router_id, neighbours),
        )

    def note(self, kind, **fields):
        assert kind is EventKind.rows_applied
        self.revisions.append(fields["table_revision"])


def connect(left, right, group):
    there, back = LoopLink(right.handlers, group), LoopLink(left.handlers, group)
    there.back, back.back = back, there
    left.links.append(there)
    right.links.append(back)


def make_fleet(store, cut_store, group):
    """Three data centres; the first lacks the store; a ring of single links."""
    processes = []
    for centre in range(DATA_CENTRES):
        names = [f"r{centre}-{n}" for n in range(ROUTERS_EACH)]
        for name in names:
            used = cut_store if centre == 0 else store
            processes.append(Process(used, name, names))
    for left, right in zip(processes, processes[1:], strict=False):
        connect(left, right, group)
    return processes


def change(number):
    row = {"kind": "version", "name": f"v{number}"}
    return Change(f"change-{number}", "ama", "", [row])


@pytest.mark.anyio
async def test_all_processes_follow_few_watchers():
    store, cut_store = MemoryStore(), MemoryStore()
    writer = TableWriter(store, 1.0)
    await writer.commit(change(1))
    cut_store.table = store.table
    async with anyio.create_task_group() as group:
        processes = make_fleet(store, cut_store, group)
        for process in processes:
            group.start_soon(process.rows.run)
        await wait_for(processes, 1)
        with anyio.fail_after(20):
            while store.calls["watch"] < 2 * (DATA_CENTRES - 1):
                await anyio.sleep(0.01)
        lists = store.calls["list"]
        cut_store.set_down(True)
        for number in range(2, 6):
            await writer.commit(change(number))
            await wait_for(processes, number)
        group.cancel_scope.cancel()
    for process in processes:
        assert process.revisions == sorted(process.revisions)
        assert process.rows.table.version("v5") is not None
    assert store.calls["watch"] == 2 * (DATA_CENTRES - 1)
    assert store.calls["list"] - lists == len(range(2, 6))


async def wait_for(processes, revision):
    with anyio.fail_after(20):
        while any(p.rows.table.revision < revision for p in processes):
            await anyio.sleep(0.01)
