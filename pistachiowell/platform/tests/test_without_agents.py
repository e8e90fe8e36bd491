"""Gateways without a single agent: none from the start, all lost, all back.

Guards against fleets that refuse each paid request, "No agent answers for the budget",
while their store and servers are well, and against tokens that agents and deputies
give twice.
"""

from contextlib import asynccontextmanager

import anyio
import pytest

from pistachiowell.gateway import agent, deputy
from pistachiowell.membership import DeputySettings
from pistachiowell.platform.standins import event, stream_events
from pistachiowell.platform.tests.conftest import configuration

pytestmark = pytest.mark.anyio

WHOLE = b"".join(map(event, range(1, 5)))
# The prompt and four events of up to five tokens.
TOKENS = 120
PREPAID = 3_000


@pytest.fixture
def fleet(start_rig, monkeypatch):
    """Returns a context manager with two gateways and so many agents."""
    settings = DeputySettings(patience_s=0.5, step_s=0.5, return_s=0.5)
    monkeypatch.setattr(deputy, "DeputySettings", lambda: settings)

    @asynccontextmanager
    async def start(agents=0):
        async with start_rig() as rig:
            rig.store.put("config", "main", configuration(2, prepaid=PREPAID))
            await rig.add_server("pool-1", "pool", stream_events(1, 4))
            for number in range(agents):
                await rig.add_agent(f"agent-{number}")
            await rig.add_gateway("gate-1")
            await rig.add_gateway("gate-2")
            yield rig

    return start


async def send_until_served(rig, timeout_s=6.0):
    """Sends requests until one is served and returns the statuses before."""
    refused = []
    with anyio.fail_after(timeout_s):
        while True:
            status, headers, body = await rig.send_chat()
            if status == 200:
                assert body == WHOLE
                return refused
            refused.append((status, float(headers[b"retry-after"]) > 0))
            await anyio.sleep(0.05)


async def test_gateways_without_agents_serve_paid_requests(fleet):
    async with fleet() as rig:
        refused = await send_until_served(rig)
        assert set(refused) <= {(503, True)}
        assert any(gateway.is_deputy for gateway in rig.gateways)


async def test_loss_of_all_agents_is_bridged_and_handed_back(fleet):
    async with fleet(agents=3) as rig:
        await send_until_served(rig)
        for number in range(3):
            rig.kill(f"agent-{number}")
        await send_until_served(rig)
        await rig.add_agent("agent-9")
        await rig.until(lambda: not any(g.is_deputy for g in rig.gateways), 10.0)
        await send_until_served(rig)
        await rig.until(
            lambda: not [n for n in rig.store.names("agents") if "deputy" in n], 10.0
        )


async def test_loss_of_the_deputies_is_bridged(fleet):
    async with fleet() as rig:
        await send_until_served(rig)
        await rig.until(lambda: all(g.is_deputy for g in rig.gateways))
        rig.kill("gate-1")
        await send_until_served(rig)


async def test_agents_and_deputies_together_give_no_token_twice(fleet):
    async with fleet(agents=1) as rig:
        served = 0
        for step in range(60):
            if step == 10:
                rig.kill("agent-0")
            if step == 30:
                await rig.add_agent("agent-1")
            status, _, _ = await rig.send_chat()
            served += status == 200
            await anyio.sleep(0.05)
    answered = sum(len(s.requests) for s in rig.servers.values())
    assert served
    assert answered * TOKENS <= PREPAID


async def test_deputy_whose_port_is_taken_does_not_end_its_gateway(
    start_rig, monkeypatch
):
    settings = DeputySettings(patience_s=0.1)
    monkeypatch.setattr(deputy, "DeputySettings", lambda: settings)

    async def fail(*args, **options):
        raise OSError("The port is in use.")

    monkeypatch.setattr(agent, "serve", fail)
    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk")
        await rig.add_gateway()
        await anyio.sleep(1.0)
        assert (await rig.send("/read/a"))[0] == 200


async def test_deputy_that_stops_settles_and_unregisters(fleet):
    async with fleet() as rig:
        await send_until_served(rig)
        first = rig.gateways[0]
        await rig.until(lambda: first.is_deputy)
        await first.leave()
        await rig.until(lambda: "gate-1-deputy" not in rig.store.names("agents"), 2.0)
        assert not first.is_deputy
