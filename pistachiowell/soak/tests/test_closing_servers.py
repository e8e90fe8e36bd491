"""Servers that leave or want a pause, before several real gateways.

Guards against gateways that go on sending what a server has said that it does not want:
in a burst, beside a store that is away, after a freeze, or as they come late.
"""

import itertools
import time
from collections import defaultdict

import anyio
import pytest

from pistachiowell.soak.closing import ALLOWED_IN_PAUSE, DRAIN_S, PAUSE_SLACK_S
from pistachiowell.soak.plan import Fault
from pistachiowell.soak.tests.crashing_fleet import (
    not_served,
    running_fleet,
    wait_until_served,
)

pytestmark = pytest.mark.anyio

SERVERS = 4
BURST_PER_S = 100.0
PAUSE_S = 3.0


async def send_burst(callers, gateways, length_s, kind="read"):
    """Sends requests to the gateways in turn."""
    names, end = itertools.cycle(gateways), anyio.current_time() + length_s
    async with anyio.create_task_group() as group:
        for number in itertools.count():
            if anyio.current_time() >= end:
                return
            group.start_soon(callers.send, kind, f"{kind}{number}", next(names))
            await anyio.sleep(1.0 / BURST_PER_S)


def sent_in_pauses(servers, callers):
    """Returns the requests in the first pause by pair of server and gateway."""
    told, late = {}, defaultdict(list)
    for line in servers.arrivals():
        pair = line["server"], callers.gateway_of[line["request"]]
        if pair not in told:
            if line["paused_until"] > line["at"]:
                told[pair] = line
        elif told[pair]["at"] + PAUSE_SLACK_S < line["at"] < told[pair]["paused_until"]:
            late[pair].append(line["request"])
    return told, late


def sent_to_leaving(servers, callers, drain_s=DRAIN_S):
    """Returns the requests that were sent to leaving servers later than allowed."""
    told, late = {}, defaultdict(list)
    for line in servers.arrivals():
        request = line["request"]
        pair = line["server"], callers.gateway_of[request]
        if pair in told and callers.started_at[request] > told[pair] + drain_s:
            late[pair].append(request)
        elif line["is_leaving"] and request in callers.ends:
            told.setdefault(pair, callers.ends[request][0])
    return told, late


async def start(fleet, callers):
    for gateway in fleet.addresses:
        await wait_until_served(callers, gateway)
    return list(fleet.addresses)


@pytest.mark.parametrize("gateways", [2, 8])
async def test_half_of_the_servers_want_a_pause_in_a_burst(tmp_path, gateways):
    async with running_fleet(tmp_path, gateways, 2, 0, SERVERS) as parts:
        fleet, servers, callers = parts
        names = await start(fleet, callers)
        async with anyio.create_task_group() as group:
            group.start_soon(send_burst, callers, names, 2.0 + PAUSE_S)
            await anyio.sleep(1.0)
            callers.ends.clear()
            callers.answers.clear()
            for number in range(SERVERS // 2):
                until = time.time() + PAUSE_S
                servers.set_state(f"desk-{number}", paused_until=until)
    told, late = sent_in_pauses(servers, callers)
    assert len(told) >= gateways
    assert all(len(requests) <= ALLOWED_IN_PAUSE for requests in late.values())
    # The other half has room for all of them.
    statuses = [status for _, status in callers.ends.values()]
    assert statuses.count(200) == len(statuses), not_served(callers)


@pytest.mark.parametrize("trouble", ["none", "store", "agents", "frozen", "late"])
async def test_leaving_told_in_answers_only_is_not_kept_to(tmp_path, trouble):
    async with running_fleet(tmp_path, 4, 2, 0, SERVERS) as parts:
        fleet, servers, callers = parts
        names = await start(fleet, callers)
        async with anyio.create_task_group() as group:
            group.start_soon(send_burst, callers, names, 6.0)
            await anyio.sleep(0.5)
            if trouble == "store":
                fleet.store.mode = "silent"
            servers.set_state("desk-0", is_leaving=True)
            await anyio.sleep(0.5)
            if trouble == "agents":
                for name in ("agent-0", "agent-1"):
                    group.start_soon(fleet.inject, Fault(0.0, "kill", name, 0.0))
            elif trouble == "frozen":
                group.start_soon(fleet.inject, Fault(0.0, "pause", names[0], 1.5))
            elif trouble == "late":
                await fleet.add_gateway("gate-9")
                await wait_until_served(callers, "gate-9")
                group.start_soon(send_burst, callers, ["gate-9"], 2.0)
    told, late = sent_to_leaving(servers, callers)
    assert told
    assert not late
    if trouble == "late":
        assert all(gateway != "gate-9" for _, gateway in told)


async def test_frozen_gateway_forgets_the_pause_of_a_server(tmp_path):
    async with running_fleet(tmp_path, 2, 2, 0, 2) as (fleet, servers, callers):
        names = await start(fleet, callers)
        async with anyio.create_task_group() as group:
            group.start_soon(send_burst, callers, names, 5.0)
            await anyio.sleep(0.5)
            servers.set_state("desk-0", paused_until=time.time() + 4.0)
            await anyio.sleep(0.5)
            group.start_soon(fleet.inject, Fault(0.0, "pause", names[0], 1.5))
    told, late = sent_in_pauses(servers, callers)
    assert told
    assert all(len(requests) <= ALLOWED_IN_PAUSE for requests in late.values())


async def test_pause_of_all_servers_is_told_and_ends(tmp_path):
    async with running_fleet(tmp_path, 2, 2, 0, 2) as (fleet, servers, callers):
        names = await start(fleet, callers)
        until = time.time() + 2.0
        for number in range(2):
            servers.set_state(f"desk-{number}", paused_until=until)
        await send_burst(callers, names, 1.5)
        statuses = [status for _, status in callers.ends.values()]
        assert statuses.count(503) >= 0.9 * (len(statuses) - len(names))
        _, late = sent_in_pauses(servers, callers)
        assert not late
        await anyio.sleep(max(0.0, until - time.time()) + 0.2)
        callers.ends.clear()
        callers.answers.clear()
        await send_burst(callers, names, 1.0)
        statuses = [status for _, status in callers.ends.values()]
    assert statuses.count(200) == len(statuses), not_served(callers)
