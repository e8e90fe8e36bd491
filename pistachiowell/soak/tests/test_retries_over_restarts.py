"""Retries of several real gateways that are started again and again.

Guards against gateways that together send more retries than the fleet may, as none
knows what its earlier run has sent: then servers that refuse get all the more requests.
"""

import itertools
import signal
import time

import anyio
import pytest

from pistachiowell.bench.ports import free_port
from pistachiowell.platform.standin_documents import soak_configuration
from pistachiowell.platform.standins import answer_whole, refuse
from pistachiowell.soak.fleet import Fleet
from pistachiowell.soak.tests.crashing_fleet import Callers

pytestmark = pytest.mark.anyio

GATEWAYS, AGENTS, SERVERS = 3, 2, 4
REQUESTS_PER_S = 30.0
SOUND_S, KILLS = 4.0, 6
RUN_S, RESTART_DELAY_S = 0.7, 0.1
RATIO, FIXED, WINDOW_S = 0.05, 60.0, 10.0
SETTINGS = {"retry_ratio": RATIO, "retry_fixed": FIXED, "retry_window_s": WINDOW_S}


class Servers:
    """Answer all requests, then refuse all; record when requests arrive.

    Attributes:
        are_refusing: Whether they refuse.
        arrivals: Pairs of the wall time in seconds and of the id of the request.
        refused: Number of requests that were refused.
    """

    def __init__(self):
        self.are_refusing = False
        self.arrivals = []
        self.refused = 0

    async def answer(self, request, stream):
        request_id = request.headers["pistachiowell-attempt-id"]
        self.arrivals.append((time.time(), request_id))
        if not self.are_refusing:
            return await answer_whole(request, stream)
        self.refused += 1
        return await refuse(request, stream)

    def retries(self):
        """Returns the times of the arrivals beyond the first of each request."""
        seen, times = set(), []
        for at, request_id in self.arrivals:
            if request_id in seen:
                times.append(at)
            seen.add(request_id)
        return times


def count_within(times, begin):
    return sum(begin < at <= begin + WINDOW_S for at in times)


def worst_share(requests, retries):
    """Returns the largest share of the allowed retries that a window holds."""

    def share(end):
        begins = [end - WINDOW_S * back for back in (1.0, 1.5, 2.0)]
        received = max(count_within(requests, begin) for begin in begins)
        return count_within(retries, begins[0]) / (RATIO * received + FIXED)

    return max(map(share, retries), default=0.0)


async def send_requests(callers, names):
    """Sends requests to the gateways in turn until cancelled."""
    gateways = itertools.cycle(names)
    async with anyio.create_task_group() as group:
        for number in itertools.count():
            group.start_soon(callers.send, "read", f"r{number}", next(gateways))
            await anyio.sleep(1.0 / REQUESTS_PER_S)


async def wait_until_serving(name, servers, callers):
    """Waits until a gateway has passed on a request that arrives from now on."""
    first = len(servers.arrivals)
    while not any(
        callers.gateway_of[request_id] == name
        for _, request_id in servers.arrivals[first:]
    ):
        await anyio.sleep(0.05)


async def kill_often(fleet, name, servers, callers):
    """Kills a gateway and starts it again, each time after it has served."""
    for _ in range(KILLS):
        await fleet.processes.terminate(name, signal.SIGKILL)
        await anyio.sleep(RESTART_DELAY_S)
        fleet.processes.start_if_exited(name)
        await wait_until_serving(name, servers, callers)
        await anyio.sleep(RUN_S)


async def play(tmp_path):
    """Returns the servers and the callers after an outage with restarts."""
    servers, names = Servers(), [f"gate-{number}" for number in range(GATEWAYS)]
    async with anyio.create_task_group() as group:
        fleet = Fleet(group, tmp_path, free_port, SETTINGS)
        callers = Callers(fleet)
        try:
            await fleet.start_store()
            fleet.store.put("config", "main", soak_configuration(None))
            for number in range(SERVERS):
                await fleet.add_server(f"desk-{number}", "desk", servers.answer)
            for number in range(AGENTS):
                await fleet.add_agent(f"agent-{number}")
            for name in names:
                await fleet.add_gateway(name)
            await fleet.wait_until_registered(AGENTS + GATEWAYS)
            group.start_soon(send_requests, callers, names)
            await anyio.sleep(SOUND_S)
            servers.are_refusing = True
            async with anyio.create_task_group() as killers:
                for name in names:
                    killers.start_soon(kill_often, fleet, name, servers, callers)
        finally:
            fleet.stop()
            group.cancel_scope.cancel()
    return servers, callers


async def test_each_restart_gives_gateways_their_retries_anew(tmp_path):
    servers, callers = await play(tmp_path)
    requests, retries = list(callers.started_at.values()), servers.retries()
    assert servers.refused > FIXED
    assert worst_share(requests, retries) <= 1.0
