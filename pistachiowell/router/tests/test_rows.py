"""Tests that few watchers of the store keep all processes up to date."""

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
ROUTERS_PER_DATA_CENTRE = 8


class LocalLink:
    """Link between two processes of one test."""

    closed = False

    def __init__(self, handlers, group):
        self.handlers, self.group, self.backward = handlers, group, None

    def send(self, message):
        if not self.closed:
            self.group.start_soon(self.handlers.find(message), self.backward, message)

    async def call(self, message, timeout_s):
        return await self.handlers.find(message)(self.backward, message)


class Process:
    def __init__(self, store, router_id, router_names):
        self.links, self.store, self.handlers = [], store, Handlers()
        self.events = types.SimpleNamespace(add=self.record_event)
        self.metrics = types.SimpleNamespace(gauge=lambda *args: None)
        self.revisions = []
        self.rows = Rows(
            self,
            self.handlers,
            links=lambda: self.links,
            watches=lambda: is_watcher(router_id, router_names),
        )

    def record_event(self, kind, **fields):
        assert kind is EventKind.rows_applied
        self.revisions.append(fields["table_revision"])


def connect(left, right, group):
    forward, backward = (
        LocalLink(right.handlers, group),
        LocalLink(left.handlers, group),
    )
    forward.backward, backward.backward = backward, forward
    left.links.append(forward)
    right.links.append(backward)


def make_fleet(store, cut_store, group):
    """Returns the processes of three data centres, linked in a chain.

    The processes of the first data centre use ``cut_store``.
    """
    processes = []
    for centre in range(DATA_CENTRES):
        names = [f"r{centre}-{n}" for n in range(ROUTERS_PER_DATA_CENTRE)]
        for name in names:
            process_store = cut_store if centre == 0 else store
            processes.append(Process(process_store, name, names))
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
        await wait_for_revision(processes, 1)
        with anyio.fail_after(20):
            while store.calls["watch"] < 2 * (DATA_CENTRES - 1):
                await anyio.sleep(0.01)
        lists = store.calls["list"]
        cut_store.set_down(True)
        for number in range(2, 6):
            await writer.commit(change(number))
            await wait_for_revision(processes, number)
        group.cancel_scope.cancel()
    for process in processes:
        assert process.revisions == sorted(process.revisions)
        assert process.rows.table.version("v5") is not None
    assert store.calls["watch"] == 2 * (DATA_CENTRES - 1)
    assert store.calls["list"] - lists == len(range(2, 6))


async def wait_for_revision(processes, revision):
    with anyio.fail_after(20):
        while any(p.rows.table.revision < revision for p in processes):
            await anyio.sleep(0.01)
