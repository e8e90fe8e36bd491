"""A gateway's own feed of the configuration, run only while it is needed."""

import anyio
import pytest

from pistachiowell.gateway import catalog_source
from pistachiowell.gateway.catalog_source import CatalogSource

pytestmark = pytest.mark.anyio


class Feed:
    """A feed that counts its runs."""

    def __init__(self):
        self.running = self.starts = 0

    async def run(self):
        self.running += 1
        self.starts += 1
        try:
            await anyio.sleep_forever()
        finally:
            self.running -= 1

    def stopped(self):
        assert not self.running


@pytest.fixture
async def source(monkeypatch):
    """Returns a feed and a mapping whose ``enough`` says whether agents suffice."""
    monkeypatch.setattr(catalog_source, "MIN_AGENTS_STABLE_S", 0.2)
    monkeypatch.setattr(catalog_source, "CHECK_INTERVAL_S", 0.02)
    feed, agents = Feed(), {"enough": False}
    running = CatalogSource(feed, lambda: agents["enough"], anyio.current_time)
    async with anyio.create_task_group() as group:
        group.start_soon(running.run)
        yield feed, agents
        group.cancel_scope.cancel()


async def test_store_is_followed_without_agents(source):
    feed, _ = source
    await anyio.sleep(0.4)
    assert (feed.running, feed.starts) == (1, 1)


async def test_agents_take_over_and_the_store_is_followed_once_they_are_lost(source):
    feed, agents = source
    agents["enough"] = True
    await anyio.sleep(0.4)
    assert feed.running == 0
    agents["enough"] = False
    await anyio.sleep(0.1)
    assert (feed.running, feed.starts) == (1, 2)


async def test_agents_that_come_and_go_are_not_relied_on(source):
    feed, agents = source
    for _ in range(4):
        agents["enough"] = True
        await anyio.sleep(0.1)
        agents["enough"] = False
        await anyio.sleep(0.06)
    assert (feed.running, feed.starts) == (1, 1)
