"""Signals that reach a gateway or an agent after its first SIGTERM.

Guards against LOST: a SIGHUP, or a second signal to stop, ended a gateway at once, with
all requests in progress; an agent ended so does not give its tokens back.
"""

import signal
from signal import SIGHUP, SIGINT, SIGTERM

import anyio
import httpcore
import pytest

from pistachiowell.platform.standin_documents import (
    caller_headers,
    soak_configuration,
)
from pistachiowell.soak.tests.slow_streams import WHOLE_STREAM, stream_slowly

pytestmark = pytest.mark.anyio

CALLERS = 6
TIMEOUT_S = 6.0
PREPAID_TOKENS = 10_000
STREAM_S = 2.5
SIGNAL_INTERVAL_S = 0.3
SERIES = [
    (SIGTERM, SIGHUP),
    (SIGTERM, SIGTERM),
    (SIGTERM, SIGINT),
    (SIGHUP, SIGTERM, SIGHUP, SIGINT, SIGHUP, SIGTERM),
    (SIGINT, SIGHUP),
]


def name_of(series):
    """Returns the name of a case."""
    return "-".join(signal.Signals(number).name for number in series)


async def request_streams(address, bodies):
    """Sends requests at the same time and records their bodies; None if cut off."""

    async def send(number):
        headers = caller_headers(f"chat-{number}", TIMEOUT_S, 10, 10)
        bodies[number] = None
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{address}/chat/x"
                answer = await pool.request("POST", url, headers=headers)
                bodies[number] = answer.content
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return

    async with anyio.create_task_group() as group:
        for number in range(CALLERS):
            group.start_soon(send, number)


@pytest.mark.parametrize("target", ["gate-1", "agent-1"])
@pytest.mark.parametrize("series", SERIES, ids=name_of)
async def test_signal_after_the_first_cuts_requests_off(start_fleet, target, series):
    bodies = {}
    configuration = soak_configuration(PREPAID_TOKENS, int(TIMEOUT_S * 1000))
    servers = [("pool-1", "pool", stream_slowly(STREAM_S))]
    async with start_fleet(configuration, servers) as fleet:
        address = fleet.addresses["gate-1"]
        async with anyio.create_task_group() as callers:
            callers.start_soon(request_streams, address, bodies)
            while len(fleet.servers[0].requests) < CALLERS:
                await anyio.sleep(0.02)
            for number in series:
                fleet.send_signal(target, number)
                await anyio.sleep(SIGNAL_INTERVAL_S)
        with anyio.fail_after(10.0):
            await fleet.wait_until_exited(target)
        exit_code = fleet.exit_code(target)
    assert list(bodies.values()) == [WHOLE_STREAM] * CALLERS
    assert exit_code == 0
