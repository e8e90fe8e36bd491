"""Calls to the store by a fleet in which little happens.

Guards against calls that grow with the number of gateways, each of which watched the
servers and listed the others by itself, and with each server that starts.
"""

import math
import re
from collections import Counter

import anyio
import pytest

from pistachiowell.gateway.feeds import store_fallback

pytestmark = pytest.mark.anyio

AGENTS = 3
# A little less than three waits of 2.5 s, so that one watcher too many is seen.
IDLE_S = 7.4
SHORT_WAIT, LONG_WAIT = "2500", "10000"
WATCH = re.compile(r"GET /pistachiowell/objects/(\w+)\?Watch=\d+&WaitMs=(\d+)")
REGISTERED = 30
REGISTERING_S = 3.0
MAX_CALLS_PER_S = 2.0


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
        calls = rig.store.call_log[before:]
    # A watch is called again when its wait is over, which may be once more than it
    # fits in. Gateways follow the configuration through agents only.
    watchers = {
        ("config", SHORT_WAIT): AGENTS,
        ("servers", SHORT_WAIT): AGENTS,
        ("agents", LONG_WAIT): gateways,
        ("rollouts", LONG_WAIT): AGENTS + gateways,
    }
    watches = Counter(match.groups() for match in map(WATCH.fullmatch, calls) if match)
    assert watches.total() == len(calls), calls
    for watch, count in watches.items():
        wait_s = int(watch[1]) / 1000
        calls_each = math.floor(IDLE_S / wait_s) + 1
        assert count <= watchers.get(watch, 0) * calls_each, watches


async def test_servers_that_register_one_after_the_other_are_read_a_few_at_a_time(
    start_rig,
):
    async with start_rig() as rig:
        await rig.add_server("desk-0", "desk")
        await rig.add_agent("agent-1")
        await rig.add_gateway()
        await anyio.sleep(1.0)
        before = rig.store.calls
        for number in range(REGISTERED):
            rig.servers[f"desk-{number}"] = rig.servers["desk-0"]
            rig.register(f"desk-{number}", "desk", Address=f"127.0.0.1:{2000 + number}")
            await anyio.sleep(REGISTERING_S / REGISTERED)
        calls = rig.store.calls - before
        registry = rig.gateways[0].state.servers
        await rig.until(lambda: len(registry.known) == REGISTERED, timeout_s=1.0)
    # The gateway and the agent read them, and the configuration now and then.
    assert calls <= 2 * MAX_CALLS_PER_S * REGISTERING_S + 4
