"""Processes that have not seen an evacuation, or know that there was none."""

import anyio
import pytest

from pistachiowell.admission import evacuation_knowledge
from pistachiowell.platform.tests.test_cold_servers import (
    COLD_S,
    SETTINGS,
    cold_rig,
)

pytestmark = pytest.mark.anyio


async def test_gateway_that_starts_alone_throttles_warm_servers(start_rig):
    async with cold_rig(start_rig, 1) as (rig, _, _):
        await anyio.sleep(COLD_S + 0.5)
        gateway = await rig.add_gateway("late", **SETTINGS)
        # A list of the servers and a heartbeat of an agent take a moment.
        await rig.until(lambda: gateway.state.servers.known, timeout_s=1.0)
        await rig.until(
            lambda: not gateway.metrics.values["servers.cold"], timeout_s=1.0
        )


@pytest.mark.parametrize("has_history", [True, False])
async def test_evacuation_within_an_outage_is_missed(
    start_rig, monkeypatch, has_history
):
    monkeypatch.setattr(evacuation_knowledge, "MAX_UNCONFIRMED_S", 0.3)
    async with cold_rig(start_rig, 1, agents=0) as (rig, _, _):
        evacuations = rig.gateways[0].state.evacuations
        since = evacuations.knowledge.since
        rig.store.put("evacuations", "west", {})
        await rig.until(lambda: evacuations.names)
        # The watch has ended with the change, and the next call fails.
        rig.store.missing_kinds = {"evacuations"}
        await anyio.sleep(0.8)
        rig.store.put("evacuations", "east", {})
        rig.store.delete("evacuations", "east")
        if not has_history:
            rig.store.discard_history()
        begin = anyio.current_time()
        rig.store.missing_kinds = set()
        if has_history:
            await rig.until(lambda: evacuations.ended_at("east", anyio.current_time()))
            await rig.until(lambda: evacuations.knowledge.since == since)
        else:
            await rig.until(lambda: evacuations.knowledge.since > begin)
        # Nothing that is heard later changes it.
        await anyio.sleep(0.2)
        assert (evacuations.knowledge.since == since) is has_history
        assert rig.gateways[0].metrics.values["servers.cold"] == 1
