"""A server that stops reading and answering, before several real gateways.

Guards against requests that gateways send to a silent server one after the other: they
reach it when it goes on, long after their callers have left, and these callers could
have been served by the other servers.
"""

import itertools
import signal

import anyio
import pytest

from pistachiowell.soak.tests.crashing_fleet import running_fleet, wait_until_served

pytestmark = pytest.mark.anyio

SERVERS = 4
REQUESTS_PER_S = 40.0
CALM_S = 3.0
SILENT_S = 5.0
AFTER_S = 2.0
CALLER_WAIT_S = 0.6
# A request is late if it reaches a server this long after its caller has left.
LATE_S = 0.5
MAX_LATE_ARRIVALS = 3
SESSIONS = 12


def late_arrivals(servers, callers):
    """Returns the ids of the requests that reached a server late."""
    return [
        line["request"]
        for line in servers.arrivals()
        if line["at"] > callers.ends[line["request"]][0] + LATE_S
    ]


def unserved(callers, kinds):
    """Returns the ids of the requests of some kinds that were not served."""
    return [
        request_id
        for request_id, (_, status) in callers.ends.items()
        if request_id.partition("-")[0] in kinds and status != 200
    ]


async def _send_steadily(callers, kinds, gateways, length_s):
    """Sends the kinds of requests in turn to the gateways in turn."""
    names = itertools.cycle(gateways)
    kinds = itertools.cycle(kinds)
    numbers = itertools.count()
    end = anyio.current_time() + length_s
    async with anyio.create_task_group() as group:
        while anyio.current_time() < end:
            kind = next(kinds)
            if kind == "book":
                # Each gateway gets requests of each kind.
                next(names)
            parts = _parts(next(numbers)) if kind in ("chat", "long") else ()
            group.start_soon(
                callers.send, kind, kind, next(names), parts, CALLER_WAIT_S
            )
            await anyio.sleep(1.0 / REQUESTS_PER_S)


def _parts(number):
    """Returns the parts of a prompt: one of all, one of a session, one of its own."""
    return ("a1", f"b{number % SESSIONS:02}", f"c{number:04}")


async def _silence(servers, name, length_s):
    servers.send_signal(name, signal.SIGSTOP)
    await anyio.sleep(length_s)
    servers.send_signal(name, signal.SIGCONT)


async def _play(fleet, servers, callers, silent, kinds):
    """Sends requests before, during and after the silence of a server."""
    gateways = list(fleet.addresses)
    for gateway in gateways:
        await wait_until_served(callers, gateway)
    length_s = CALM_S + SILENT_S + AFTER_S
    async with anyio.create_task_group() as group:
        group.start_soon(_send_steadily, callers, kinds, gateways, length_s)
        await anyio.sleep(CALM_S)
        await _silence(servers, silent, SILENT_S)
    await anyio.sleep(LATE_S)


@pytest.mark.parametrize("gateways", [2, 8])
async def test_silent_service_gets_requests_without_end(tmp_path, gateways):
    kinds = ("book", "read")
    async with running_fleet(tmp_path, gateways, 3, 0, SERVERS) as parts:
        fleet, servers, callers = parts
        await _play(fleet, servers, callers, "desk-1", kinds)
    assert len(late_arrivals(servers, callers)) <= MAX_LATE_ARRIVALS
    assert not unserved(callers, ("read",))
    assert len(unserved(callers, ("book",))) <= MAX_LATE_ARRIVALS


@pytest.mark.parametrize("gateways", [2, 8])
async def test_silent_engine_gets_requests_without_end(tmp_path, gateways):
    kinds = ("chat",)
    async with running_fleet(tmp_path, gateways, 3, SERVERS, 1) as parts:
        fleet, servers, callers = parts
        await _play(fleet, servers, callers, "pool-1", kinds)
    assert len(late_arrivals(servers, callers)) <= MAX_LATE_ARRIVALS
    assert not unserved(callers, ("chat",))
