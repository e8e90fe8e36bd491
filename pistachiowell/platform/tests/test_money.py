"""Prepaid budgets over gateways, agents and a failing store."""

import contextlib
from contextlib import asynccontextmanager

import anyio
import httpcore
import pytest

from pistachiowell.gateway import home
from pistachiowell.platform.standins import close_without_answer, refuse, stream_events
from pistachiowell.platform.tests.conftest import configuration

pytestmark = pytest.mark.anyio

PREPAID = 2_000
EVENTS = 4
TOKENS = 100 + EVENTS * 5


@pytest.fixture
def paid(start_rig):
    """Returns a context with small budgets, two agents and a gateway."""

    @asynccontextmanager
    async def start(script=None, **agent_settings):
        async with start_rig() as rig:
            rig.store.put("config", "main", configuration(2, prepaid=PREPAID))
            await rig.add_server("pool-1", "pool", script or stream_events(1, EVENTS))
            await rig.add_agent("agent-1", **agent_settings)
            await rig.add_agent("agent-2", **agent_settings)
            await rig.add_gateway()
            yield rig

    return start


async def spend(rig, times):
    """Returns how many of some requests were served."""
    answers = [await rig.chat() for _ in range(times)]
    return sum(status == 200 for status, _, _ in answers)


async def test_account_gets_what_was_paid_for_and_not_more(paid):
    async with paid() as rig:
        served = await spend(rig, 25)
        # Until the last request is settled its upper bound is only set aside.
        await anyio.sleep(0.5)
        served += await spend(rig, 2)
        await anyio.sleep(0.5)
        status, _, _ = await rig.chat()
    assert (PREPAID - 2 * 150) // TOKENS <= served <= PREPAID // TOKENS
    assert status == 402


async def test_request_that_did_not_run_costs_nothing(paid):
    async with paid(refuse) as rig:
        assert await spend(rig, 20) == 0
        rig.servers["pool-1"].script = stream_events(1, EVENTS)
        assert await spend(rig, 25) >= (PREPAID - 2 * 150) // TOKENS


async def test_prompt_whose_answer_never_began_costs_nothing(paid):
    async with paid(close_without_answer) as rig:
        assert await spend(rig, 20) == 0
        rig.servers["pool-1"].script = stream_events(1, EVENTS)
        await anyio.sleep(2.5)
        assert await spend(rig, 25) >= (PREPAID - 2 * 150) // TOKENS


async def test_prompt_whose_answer_broke_off_is_paid_for(paid):
    async with paid(stream_events(1, EVENTS, torn=True)) as rig:
        for _ in range(PREPAID // 100):
            with contextlib.suppress(httpcore.RemoteProtocolError):
                await rig.chat()
        await anyio.sleep(0.5)
        rig.servers["pool-1"].script = stream_events(1, EVENTS)
        assert await spend(rig, 2) == 0


async def test_top_up_takes_effect(paid):
    async with paid() as rig:
        await spend(rig, 20)
        rig.store.put("config", "main", configuration(3, prepaid=2 * PREPAID))
        await rig.until(lambda: rig.gateways[0].state.catalog.revision == 3)
        await rig.until(lambda: rig.agent_state("agent-1").catalog.revision == 3)
        await rig.until(lambda: rig.agent_state("agent-2").catalog.revision == 3)
        assert await spend(rig, 20) >= 10


async def test_killed_home_is_replaced_and_nothing_is_spent_twice(paid):
    async with paid() as rig:
        served = await spend(rig, 4)
        holder = next(iter(rig.budget()["grants"].values()))["holder"]
        dead = next(n for n in ("agent-1", "agent-2") if rig.incarnation(n) == holder)
        rig.kill(dead)
        agents = rig.gateways[0].fleet.agents
        await rig.until(lambda: not agents[dead].usable)
        served += await spend(rig, 25)
    assert 4 < served <= PREPAID // TOKENS


async def test_without_the_store_the_grants_last_and_then_requests_are_told_so(paid):
    async with paid(budget_horizon_s=8.0) as rig:
        await spend(rig, 3)
        rig.store.mode = "busy"
        answers = [await rig.chat() for _ in range(20)]
    refused = [headers for status, headers, _ in answers if status == 503]
    assert refused
    assert all(float(headers[b"retry-after"]) > 0 for headers in refused)
    assert {status for status, _, _ in answers} <= {200, 503}


async def test_lost_answer_of_a_write_spends_nothing_twice(paid):
    async with paid() as rig:
        rig.store.lost_answers = 2
        served = await spend(rig, 10)
        await anyio.sleep(2.5)
        served += await spend(rig, 30)
    assert 4 < served <= PREPAID // TOKENS


async def test_spent_budget_is_told_as_spent_also_by_the_next_home(paid, monkeypatch):
    monkeypatch.setattr(home, "CLOSE_IDLE_AFTER_S", 0.4)
    monkeypatch.setattr(home, "RETIRE_INTERVAL_S", 0.2)
    async with paid() as rig:
        await spend(rig, 1)
        holder = next(iter(rig.budget()["grants"].values()))["holder"]
        dead = "agent-2" if rig.incarnation("agent-2") == holder else "agent-1"
        await spend(rig, 25)
        await anyio.sleep(0.5)
        await spend(rig, 2)
        await anyio.sleep(1.5)
        rig.kill(dead)
        agents = rig.gateways[0].fleet.agents
        await rig.until(lambda: not agents[dead].usable)
        status, _, _ = await rig.chat()
    assert status == 402
