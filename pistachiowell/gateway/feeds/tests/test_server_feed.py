"""Watches of the servers: long while agents confirm them, and never silent for long.

Guards against calls to the store that grow with the number of gateways, and against a
gateway that sends to a server that has left because its own watch has gone silent.
"""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.gateway.feeds import store_fallback
from pistachiowell.gateway.feeds.server_feed import (
    LONG_WAIT_S,
    MAX_DIFFERENCE_S,
    ServerFeed,
)

pytestmark = pytest.mark.anyio

AGENT = "agent-1"


class FakeWatcher:
    """Records how often and with which waits the watch is started."""

    def __init__(self):
        self.waits = []
        self.digest = 1

    async def run(self, wait_s=None):
        """Waits like a watch without changes."""
        self.waits.append(wait_s)
        await anyio.sleep_forever()


class Play:
    """A feed with one agent that follows the store."""

    def __init__(self):
        self.watcher = FakeWatcher()
        self.has_agents = True
        self.outage_ends = []
        registry = SimpleNamespace(record_outage_end=self.outage_ends.append)
        agents = {AGENT: SimpleNamespace(usable=True)}
        self.feed = ServerFeed(
            self.watcher,
            registry,
            SimpleNamespace(agents=agents),
            lambda: self.has_agents,
            anyio.current_time,
        )

    async def run_for(self, seconds):
        """Runs the feed for some time, or until a cancelled scope."""
        with anyio.move_on_after(seconds):
            await self.feed.run()


@pytest.fixture
def play(monkeypatch):
    """Returns a feed whose agents count as stable at once."""
    monkeypatch.setattr(store_fallback, "MIN_AGENTS_STABLE_S", 0.0)
    return Play()


async def test_watch_that_agrees_with_the_agents_waits_for_long(play):
    play.feed.check.record(AGENT, play.watcher.digest)
    await play.run_for(2 * MAX_DIFFERENCE_S)
    assert play.watcher.waits == [None, LONG_WAIT_S]


async def test_silent_watch_is_started_again(play):
    play.feed.check.record(AGENT, play.watcher.digest + 1)
    await play.run_for(MAX_DIFFERENCE_S + 1.0)
    assert play.watcher.waits == [None, LONG_WAIT_S, LONG_WAIT_S]
    assert not play.outage_ends


async def test_loss_of_the_agents_ends_the_long_wait(play, monkeypatch):
    async with anyio.create_task_group() as group:
        group.start_soon(play.feed.run)
        await anyio.sleep(0.1)
        play.has_agents = False
        monkeypatch.setattr(store_fallback, "MIN_AGENTS_STABLE_S", 60.0)
        await anyio.sleep(0.5)
        group.cancel_scope.cancel()
    assert play.watcher.waits == [None, LONG_WAIT_S, None]
    assert len(play.outage_ends) == 1


async def test_agents_that_read_nothing_do_not_end_the_watch(play):
    play.feed.check.record(AGENT, 0)
    await play.run_for(2 * MAX_DIFFERENCE_S)
    assert play.watcher.waits == [None, LONG_WAIT_S]
