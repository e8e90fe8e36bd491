"""The store returns from a copy that lacks the registrations of living programs."""

import pytest

pytestmark = pytest.mark.anyio


async def test_program_stays_unregistered_after_a_return(start_rig):
    async with start_rig() as rig:
        rig.store.era = 1
        await rig.add_server("desk-1", "desk")
        taken = rig.store.take_copy()
        await rig.add_agent("agent-1")
        gateway = await rig.add_gateway()
        rig.store.return_from_copy(taken)
        await rig.until(lambda: "agent-1" in rig.store.names("agents"))
        await rig.until(lambda: "gate-1" in rig.store.names("routers"))
        # The gateway reads the registration a moment after the store has it.
        await rig.until(lambda: "agent-1" in gateway.fleet.agents)
        await rig.until(lambda: gateway.fleet.agents["agent-1"].usable)
