"""An account whose tokens are in grants of a killed agent.

Guards against tokens that nobody gets back after the agent that owns a budget page was
killed, while the gateways that have used its grants live on.
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

AGENT = "agent-1"
SETTLED_S = 0.5
# Until a gateway that has ended is taken off the list.
UNLISTED_S = 4.5


@pytest.fixture
def lost_rig(start_rig):
    """Returns a context manager with a small budget, an agent and two gateways."""

    @asynccontextmanager
    async def start(era=1):
        async with start_rig() as rig:
            rig.store.era = era
            rig.store.put("config", "main", configuration(2, prepaid=PREPAID_TOKENS))
            await rig.add_server("pool-1", "pool", stream_events(1, EVENTS_PER_ANSWER))
            await rig.add_agent(AGENT)
            await rig.add_gateway("gate-2")
            await rig.add_gateway("gate-1")
            await anyio.sleep(2.0)
            yield rig

    return start


async def count_served(rig, times):
    """Sends requests in turn and returns how many were served."""
    answers = [await rig.send_chat() for _ in range(times)]
    return sum(status == 200 for status, _, _ in answers)


async def replace_agent(rig):
    """Kills the agent and starts its next run."""
    killed = rig.incarnation(AGENT)
    rig.kill(AGENT)
    await rig.add_agent(AGENT)
    for gateway in rig.gateways:
        peers = gateway.fleet.agents
        await rig.until(
            lambda peers=peers: (
                peers[AGENT].usable and peers[AGENT].record.incarnation != killed
            )
        )
    return killed


def holders(rig):
    """Returns the holders of the account's grants."""
    return {grant["holder"] for grant in rig.budget().get("grants", {}).values()}


@pytest.mark.parametrize("kills", [1, 2])
@pytest.mark.parametrize("era", [1, None])
async def test_next_run_recovers_what_the_killed_one_had_left(lost_rig, era, kills):
    async with lost_rig(era) as rig:
        served = await count_served(rig, 4)
        killed = {await replace_agent(rig) for _ in range(kills)}
        await rig.until(lambda: not holders(rig) & killed)
        served += await count_served(rig, 20)
        await anyio.sleep(SETTLED_S)
        served += await count_served(rig, 2)
    assert served * REQUEST_TOKENS <= PREPAID_TOKENS
    assert served * REQUEST_TOKENS > PREPAID_TOKENS - 2 * 150


async def send_through_other(rig, times):
    """Serves requests through a third gateway, which is then killed."""
    address = rig.address
    await rig.add_gateway("gate-3")
    served = await count_served(rig, times)
    await anyio.sleep(SETTLED_S)
    rig.kill("gate-3")
    rig.gateways.pop()
    rig.address = address
    return served


async def test_use_of_a_gateway_that_ended_before_is_known(lost_rig):
    async with lost_rig() as rig:
        served = await count_served(rig, 3)
        served += await send_through_other(rig, 3)
        await rig.add_gateway("gate-3")
        await anyio.sleep(UNLISTED_S)
        served += await count_served(rig, 2)
        killed = await replace_agent(rig)
        await rig.until(lambda: killed not in holders(rig))
        served += await count_served(rig, 20)
        await anyio.sleep(SETTLED_S)
        served += await count_served(rig, 2)
    assert served * REQUEST_TOKENS <= PREPAID_TOKENS
    assert served * REQUEST_TOKENS > PREPAID_TOKENS - 2 * 150


async def test_grants_stay_lost_if_a_gateway_ended_with_the_agent(lost_rig):
    async with lost_rig() as rig:
        served = await count_served(rig, 3)
        served += await send_through_other(rig, 3)
        killed = await replace_agent(rig)
        await anyio.sleep(UNLISTED_S)
        assert killed in holders(rig)
        served += await count_served(rig, 20)
    assert served * REQUEST_TOKENS <= PREPAID_TOKENS


async def test_return_of_the_store_proves_nothing(lost_rig):
    async with lost_rig() as rig:
        taken = rig.store.take_copy()
        served = await count_served(rig, 4)
        rig.store.return_from_copy(taken)
        killed = await replace_agent(rig)
        await anyio.sleep(UNLISTED_S)
        served += await count_served(rig, 25)
        assert killed in holders(rig)
    assert served * REQUEST_TOKENS <= PREPAID_TOKENS
