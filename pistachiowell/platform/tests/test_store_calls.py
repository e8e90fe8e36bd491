"""Calls to the store by a fleet in which nothing happens.

Guards against calls that grow with the number of gateways, each of which watched the
servers and listed the others by itself.
"""

import anyio
import pytest

from pistachiowell.gateway import store_fallback

pytestmark = pytest.mark.anyio

AGENTS = 3
IDLE_S = 6.0
# An agent watches the configuration and the servers for 2.5 s a call.
CALLS_OF_AN_AGENT = 5


@pytest.mark.parametrize("gateways", [1, 10])
async def test_idle_gateways_call_the_store_hardly_ever(
    start_rig, monkeypatch, gateways
):
    monkeypatch.setattr(store_fallback, "MIN_AGENTS_STABLE_S", 0.2)
    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk")
        for number in range(AGENTS):
            await rig.add_agent(f"agent-{number}")
        for number in range(gateways):
            await rig.add_gateway(f"gate-{number}")
        await anyio.sleep(3.0)
        before = rig.store.calls
        await anyio.sleep(IDLE_S)
        calls = rig.store.calls - before
    assert calls <= AGENTS * CALLS_OF_AN_AGENT
