"""Servers that name a limit of their requests a second, before several real gateways.

Guards against a server in need that gets more requests than it takes, as each gateway
sends what it would send without the limit, or keeps the limit for itself alone.
"""

import itertools
import signal
import time

import anyio
import pytest

from pistachiowell.soak.plan import Fault
from pistachiowell.soak.tests.crashing_fleet import (
    DOWN_S,
    not_served,
    running_fleet,
    wait_until_served,
)

pytestmark = pytest.mark.anyio

SERVERS = 3
REQUESTS_PER_S = 40.0
WINDOW_S = 4.0
# From this long after a server has first named its limit, the limit holds.
STABLE_S = 3.0
ALLOWED_FACTOR = 1.5
ALLOWED_MORE = 5
MIN_SHARE_OF_LIMIT = 0.9
LIMIT = "2.5"


def arrival_times(servers, name, since, until):
    """Returns the wall times at which requests reached a server, in order."""
    return [
        line["at"]
        for line in servers.arrivals()
        if f"{line['server']}.".startswith(f"{name}.") and since <= line["at"] < until
    ]


def most_in_a_window(times):
    """Returns the largest number of times within ``WINDOW_S``."""
    return max(
        (sum(start <= t < start + WINDOW_S for t in times) for start in times),
        default=0,
    )


def allowed(limit):
    """Returns the number of requests in ``WINDOW_S`` that break no promise."""
    return ALLOWED_FACTOR * float(limit) * WINDOW_S + ALLOWED_MORE


async def _send(callers, kind, gateways, length_s, rate=REQUESTS_PER_S):
    """Sends requests to the gateways in turn, half of them to the first."""
    others = itertools.cycle(gateways[1:] or gateways)
    end = anyio.current_time() + length_s
    async with anyio.create_task_group() as group:
        for number in itertools.count():
            if anyio.current_time() >= end:
                return
            gateway = gateways[0] if number % 2 else next(others)
            parts = ("a1", f"b{number % 12:02}", f"c{number:04}")
            parts = parts if kind == "chat" else ()
            group.start_soon(callers.send, kind, kind, gateway, parts)
            await anyio.sleep(1.0 / rate)


async def _wait_until_all_serve(fleet, callers):
    for gateway in fleet.addresses:
        await wait_until_served(callers, gateway)


@pytest.mark.parametrize("gateways", [2, 8])
@pytest.mark.parametrize("kind", ["read", "chat"])
async def test_limited_server_gets_more_than_its_limit(tmp_path, kind, gateways):
    sizes = (SERVERS, 1) if kind == "chat" else (0, SERVERS)
    name = "pool-1" if kind == "chat" else "desk-1"
    async with running_fleet(tmp_path, gateways, 3, *sizes) as parts:
        fleet, servers, callers = parts
        await _wait_until_all_serve(fleet, callers)
        async with anyio.create_task_group() as group:
            group.start_soon(_send, callers, kind, list(fleet.addresses), 16.0)
            await anyio.sleep(1.0)
            servers.name_limit(name, LIMIT)
            since = time.time() + STABLE_S
        times = arrival_times(servers, name, since, time.time())
    length_s = time.time() - since
    assert most_in_a_window(times) <= allowed(LIMIT)
    assert len(times) >= MIN_SHARE_OF_LIMIT * float(LIMIT) * (length_s - 1.0)
    # The other servers have room for all that this one does not take.
    assert not not_served(callers)


async def test_limit_that_changes_and_ends_is_not_kept_to(tmp_path):
    async with running_fleet(tmp_path, 4, 3, 0, SERVERS) as parts:
        fleet, servers, callers = parts
        await _wait_until_all_serve(fleet, callers)
        marks = []
        async with anyio.create_task_group() as group:
            group.start_soon(_send, callers, "read", list(fleet.addresses), 24.0)
            for texts in (("1.5",), ("5",), ()):
                servers.name_limit("desk-1", *texts)
                marks.append(time.time())
                await anyio.sleep(8.0)
        first, second, third = marks
    times = arrival_times(servers, "desk-1", first + STABLE_S, second)
    assert most_in_a_window(times) <= allowed("1.5")
    times = arrival_times(servers, "desk-1", second + STABLE_S, third)
    assert most_in_a_window(times) <= allowed("5")
    assert len(times) >= MIN_SHARE_OF_LIMIT * 5 * 4.0
    times = arrival_times(servers, "desk-1", third + STABLE_S, third + STABLE_S + 4.0)
    # A server without a limit gets its part of the requests again.
    assert len(times) >= 0.5 * 4.0 * REQUESTS_PER_S / SERVERS


@pytest.mark.parametrize("absence", ["killed", "pause", "late", "store"])
async def test_limit_is_kept_while_an_agent_or_a_gateway_is_missing(tmp_path, absence):
    async with running_fleet(tmp_path, 4, 3, 0, SERVERS) as parts:
        fleet, servers, callers = parts
        await _wait_until_all_serve(fleet, callers)
        async with anyio.create_task_group() as group:
            gateways = list(fleet.addresses)
            group.start_soon(_send, callers, "read", gateways, 15.0)
            servers.name_limit("desk-1", LIMIT)
            since = time.time() + STABLE_S
            await anyio.sleep(STABLE_S)
            if absence == "late":
                await fleet.add_gateway("gate-9")
                await wait_until_served(callers, "gate-9")
                group.start_soon(_send, callers, "read", ["gate-9"], 7.0, 20.0)
            elif absence == "store":
                fleet.store.mode = "silent"
            else:
                for number in range(3):
                    kind = "kill" if absence == "killed" else absence
                    fault = Fault(0.0, kind, f"agent-{number}", 2.5)
                    group.start_soon(fleet.inject, fault)
                    await anyio.sleep(3.0)
        times = arrival_times(servers, "desk-1", since, time.time())
    assert most_in_a_window(times) <= allowed(LIMIT)


@pytest.mark.parametrize("keeps_ids", [False, True])
async def test_server_that_starts_again_without_its_limit_stays_limited(
    tmp_path, keeps_ids
):
    fleet_of = running_fleet(tmp_path, 4, 3, 0, SERVERS, keeps_ids=keeps_ids)
    async with fleet_of as (fleet, servers, callers):
        await _wait_until_all_serve(fleet, callers)
        async with anyio.create_task_group() as group:
            group.start_soon(_send, callers, "read", list(fleet.addresses), 18.0)
            servers.name_limit("desk-1", LIMIT)
            limited_since = time.time() + STABLE_S
            await anyio.sleep(STABLE_S + 4.0)
            servers.name_limit("desk-1")
            servers.send_signal("desk-1", signal.SIGKILL)
            ended_at = time.time()
            await anyio.sleep(10.0)
        free_since = ended_at + DOWN_S + STABLE_S
        before = arrival_times(servers, "desk-1", limited_since, ended_at)
        after = arrival_times(servers, "desk-1", free_since, free_since + 4.0)
    assert most_in_a_window(before) <= allowed(LIMIT)
    assert len(after) >= 0.5 * 4.0 * REQUESTS_PER_S / SERVERS


async def test_requests_beyond_the_limits_of_all_servers_are_refused_at_once(tmp_path):
    async with running_fleet(tmp_path, 4, 3, 0, SERVERS) as parts:
        fleet, servers, callers = parts
        await _wait_until_all_serve(fleet, callers)
        names = [f"desk-{number}" for number in range(SERVERS)]
        for name in names:
            servers.name_limit(name, LIMIT)
        await _send(callers, "read", list(fleet.addresses), STABLE_S)
        since, callers.ends = time.time(), {}
        started = anyio.current_time()
        await _send(callers, "read", list(fleet.addresses), 8.0)
        length_s = anyio.current_time() - started
        for name in names:
            times = arrival_times(servers, name, since, time.time())
            assert most_in_a_window(times) <= allowed(LIMIT)
    statuses = [status for _, status in callers.ends.values()]
    limits = SERVERS * float(LIMIT) * length_s
    assert statuses.count(200) >= MIN_SHARE_OF_LIMIT * limits
    assert set(statuses) <= {200, 503}
    # A caller who waits for room would still be there at the end of the sending.
    assert length_s < 8.5


@pytest.mark.parametrize(
    "texts",
    [("0",), ("-3",), ("nan",), ("inf",), ("1e999",), ("many",), ("2.5", "9"), ("",)],
    ids=str,
)
async def test_value_of_a_limit_that_is_no_rate_stops_no_service(tmp_path, texts):
    async with running_fleet(tmp_path, 2, 3, 0, SERVERS) as parts:
        fleet, servers, callers = parts
        await _wait_until_all_serve(fleet, callers)
        servers.name_limit("desk-1", *texts)
        await _send(callers, "read", list(fleet.addresses), 5.0)
    assert not not_served(callers)
