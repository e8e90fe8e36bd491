"""Tests that a gateway watches the configuration only while agents are too few."""

import anyio
import pytest

from pistachiowell.gateway.feeds import store_fallback
from pistachiowell.gateway.feeds.store_fallback import StoreFallback

pytestmark = pytest.mark.anyio


class FakeWatcher:
    """Watcher that counts its runs."""

    def __init__(self):
        self.running = self.starts = 0

    async def run(self):
        self.running += 1
        self.starts += 1
        try:
            await anyio.sleep_forever()
        finally:
            self.running -= 1

    def mark_stopped(self):
        assert not self.running


@pytest.fixture
async def source(monkeypatch):
    """Yields a watcher and a mapping whose ``enough`` says if agents are enough."""
    monkeypatch.setattr(store_fallback, "MIN_AGENTS_STABLE_S", 0.2)
    monkeypatch.setattr(store_fallback, "CHECK_INTERVAL_S", 0.02)
    watcher, agents = FakeWatcher(), {"enough": False}
    running = StoreFallback(watcher, lambda: agents["enough"], anyio.current_time)
    async with anyio.create_task_group() as group:
        group.start_soon(running.run)
        yield watcher, agents
        group.cancel_scope.cancel()


async def test_store_is_followed_without_agents(source):
    watcher, _ = source
    await anyio.sleep(0.4)
    assert (watcher.running, watcher.starts) == (1, 1)


async def test_agents_take_over_and_the_store_is_followed_once_they_are_lost(source):
    watcher, agents = source
    agents["enough"] = True
    await anyio.sleep(0.4)
    assert watcher.running == 0
    agents["enough"] = False
    await anyio.sleep(0.1)
    assert (watcher.running, watcher.starts) == (1, 2)


async def test_agents_that_come_and_go_are_not_relied_on(source):
    watcher, agents = source
    for _ in range(4):
        agents["enough"] = True
        await anyio.sleep(0.1)
        agents["enough"] = False
        await anyio.sleep(0.06)
    assert (watcher.running, watcher.starts) == (1, 1)
