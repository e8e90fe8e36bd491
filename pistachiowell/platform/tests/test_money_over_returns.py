"""An account over returns of the store from an older copy, with kills.

Guards against tokens that are granted again after the page has lost their grant, and
against accounts that nobody can spend from any more.
"""

from contextlib import asynccontextmanager

import anyio
import pytest

from pistachiowell.platform.standins import stream_events
from pistachiowell.platform.tests.conftest import configuration
from pistachiowell.platform.tests.test_money import (
    EVENTS_PER_ANSWER,
    PREPAID_TOKENS,
    REQUEST_TOKENS,
)

pytestmark = pytest.mark.anyio

# A page is written again within two seconds, then its grants grow again.
SETTLED_S = 3.0
MAX_WAIT_S = 0.3
# Tokens that a killed owner had left, and what a request reserves beyond its use.
LOST_BY_A_KILL = 1_000
KILLS = [(), ("agent-1",), ("agent-2",), ("agent-1", "agent-2"), ("gate-1",)]


@pytest.fixture
def return_rig(start_rig):
    """Returns a context manager with a small budget, agents and two gateways."""

    @asynccontextmanager
    async def start():
        async with start_rig() as rig:
            rig.store.era = 1
            rig.store.put("config", "main", configuration(2, prepaid=PREPAID_TOKENS))
            await rig.add_server("pool-1", "pool", stream_events(1, EVENTS_PER_ANSWER))
            for name in ("agent-1", "agent-2"):
                await rig.add_agent(name)
            await rig.add_gateway("gate-2")
            await rig.add_gateway("gate-1")
            # Until then grants don't grow in an era that is new to their holders.
            await anyio.sleep(2.0)
            yield rig

    return start


async def count_served(rig, times):
    """Sends requests in turn; waits after a 503 as callers do, and returns the served.

    Requests that come at once after it are refused without a new look at the page.
    """
    served = 0
    for _ in range(times):
        status, headers, _ = await rig.send_chat()
        served += status == 200
        if status == 503:
            await anyio.sleep(min(MAX_WAIT_S, float(headers[b"retry-after"])))
    return served


async def kill(rig, names):
    """Kills programs; a killed gateway is replaced by a new one."""
    for name in names:
        rig.kill(name)
    if "gate-1" in names:
        await rig.add_gateway("gate-3")
    for name in names:
        if name.startswith("agent"):
            await rig.add_agent(name)
    agents = rig.gateways[-1].fleet.agents
    await rig.until(
        lambda: all(
            agents[n].usable and agents[n].record.incarnation == rig.incarnation(n)
            for n in ("agent-1", "agent-2")
        )
    )


@pytest.mark.parametrize("killed", KILLS, ids=lambda names: "+".join(names) or "none")
@pytest.mark.parametrize("before_copy", [0, 1, 5])
async def test_tokens_are_spent_again_or_by_nobody_after_a_return(
    return_rig, before_copy, killed
):
    async with return_rig() as rig:
        served = await count_served(rig, before_copy)
        taken = rig.store.take_copy()
        served += await count_served(rig, 9 - before_copy)
        rig.store.return_from_copy(taken)
        await kill(rig, killed)
        await anyio.sleep(SETTLED_S)
        served += await count_served(rig, 25)
        await anyio.sleep(0.5)
        served += await count_served(rig, 3)
        tokens = served * REQUEST_TOKENS
        assert tokens <= PREPAID_TOKENS
        lost = LOST_BY_A_KILL if killed else 2 * 150
        assert tokens >= PREPAID_TOKENS - lost
        rig.store.put("config", "main", configuration(3, prepaid=2 * PREPAID_TOKENS))
        await rig.until_revision(rig.gateways[-1].state, 3)
        await rig.until_revision(rig.agent_state("agent-1"), 3)
        await rig.until_revision(rig.agent_state("agent-2"), 3)
        assert await count_served(rig, 20) >= (PREPAID_TOKENS - lost) // REQUEST_TOKENS
