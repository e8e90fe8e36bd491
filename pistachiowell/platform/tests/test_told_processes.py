"""Servers that tell one part of the fleet that they want a pause, or leave.

Guards against parts that talk to servers and do not read what these say, or do not tell
it to the other parts of their VM, and against sends that were admitted before.
"""

import itertools
from contextlib import asynccontextmanager

import anyio
import pytest

from pistachiowell.gateway import deputy
from pistachiowell.gateway.connections.bounded_stream import BoundedBackend
from pistachiowell.membership import DeputySettings
from pistachiowell.platform.standins import answer_whole, head

pytestmark = pytest.mark.anyio

PAUSE_S = 2.5
SEND_INTERVAL_S = 0.05
# A pause may get as many requests, from this long after its answer on.
ALLOWED_IN_PAUSE = 2
SLACK_S = 0.5


async def hang(request, stream):
    """Never answers."""
    await anyio.sleep_forever()


def health_answer(status, *lines):
    """Returns the answer to a health check as bytes."""
    fields = "".join(f"{line}\r\n" for line in (*lines, "Content-Length: 0"))
    return f"HTTP/1.1 {status}\r\n{fields}\r\n".encode()


WANTS_PAUSE = health_answer("503 Busy", f"Retry-After: {PAUSE_S}")


@pytest.fixture
def told_rig(start_rig):
    """Returns a context manager with a server that hangs, another one and gateways."""

    @asynccontextmanager
    async def start(health, script=hang, agents=1, gateways=1):
        async with start_rig() as rig:
            server = await rig.add_server("desk-1", "desk", script)
            server.health_answer = health
            await rig.add_server("desk-2", "desk")
            for number in range(agents):
                await rig.add_agent(f"agent-{number}")
            rig.addresses = []
            for number in range(gateways):
                await rig.add_gateway(f"gate-{number}")
                rig.addresses.append(rig.address)
            yield rig, server

    return start


async def keep_sending(rig, length_s, wait_s=1.5):
    """Sends requests to all gateways in turn; their callers leave after some time."""

    async def send(address):
        rig.address = address
        with anyio.move_on_after(wait_s):
            await rig.send("/read/a")

    addresses, end = itertools.cycle(rig.addresses), anyio.current_time() + length_s
    async with anyio.create_task_group() as group:
        while anyio.current_time() < end:
            group.start_soon(send, next(addresses))
            await anyio.sleep(SEND_INTERVAL_S)


async def reach(server, rig, group):
    """Sends requests one after the other until one has reached a server."""
    ended = []

    async def send():
        ended.append((await rig.send("/read/a"))[0])

    for number in itertools.count(1):
        group.start_soon(send)
        while len(ended) < number:
            if server.requests:
                return
            await anyio.sleep(0.002)


def shortest_gap_s(times):
    """Returns the shortest time between two successive times."""
    return min(b - a for a, b in zip(times, times[1:], strict=False))


async def test_agent_probes_a_server_within_the_pause_that_its_probe_was_told(told_rig):
    async with told_rig(WANTS_PAUSE) as (rig, server):
        await keep_sending(rig, 2 * PAUSE_S)
    assert len(server.health_checks) >= 2
    assert shortest_gap_s(server.health_checks) >= PAUSE_S


async def test_hanging_server_that_wants_a_pause_gets_requests_after_each_probe(
    told_rig,
):
    wants_pause = health_answer("503 Busy", "Retry-After: 10")
    async with told_rig(wants_pause, gateways=4) as (rig, server):
        while not server.health_checks:
            await keep_sending(rig, 0.1)
        # Each gateway may try it once after the answer to the probe.
        await keep_sending(rig, 2.0)
        reached = len(server.requests)
        await keep_sending(rig, 2.0)
    assert len(server.health_checks) == 1
    assert len(server.requests) == reached


async def test_server_that_tells_a_probe_that_it_leaves_gets_requests(told_rig):
    leaves = health_answer("503 Draining", "Server-Leaving: 1")
    async with told_rig(leaves) as (rig, server):
        await keep_sending(rig, 0.5)
        reached = len(server.requests)
        await keep_sending(rig, 3.0)
    assert len(server.health_checks) == 1
    assert len(server.requests) == reached


async def test_pause_of_another_server_at_the_address_stops_the_probes(told_rig):
    other = health_answer(
        "503 Busy", "Retry-After: 60", "Pistachiowell-Instance-Id: other"
    )
    async with told_rig(other) as (rig, server):
        await keep_sending(rig, 4.0)
    assert len(server.health_checks) > 1


@pytest.mark.parametrize("value", ["soon", "-1", "1e3", ""])
async def test_unreadable_pause_stops_the_probes(told_rig, value):
    async with told_rig(health_answer("503 Busy", f"Retry-After: {value}")) as parts:
        rig, server = parts
        await keep_sending(rig, 4.0)
    assert len(server.health_checks) > 1


async def test_callers_that_leave_early_hide_the_pause_of_their_server(told_rig):
    answered_at = []

    async def refuse_late(request, stream):
        await anyio.sleep(0.25)
        if request.caller_left:
            return False
        text = head(request, "503 Busy", Content_Length="0", Retry_After=str(PAUSE_S))
        await stream.send((text + "Pistachiowell-Not-Executed: 1\r\n\r\n").encode())
        answered_at.append(anyio.current_time())
        return True

    arrivals = []

    async def record(request, stream):
        arrivals.append(anyio.current_time())
        return await refuse_late(request, stream)

    async with told_rig(b"", record) as (rig, _):
        await keep_sending(rig, PAUSE_S, wait_s=0.15)
    since = answered_at[0] + SLACK_S
    in_pause = [time for time in arrivals if since < time < answered_at[0] + PAUSE_S]
    assert len(in_pause) <= ALLOWED_IN_PAUSE


async def test_request_that_waits_for_its_connection_is_sent_into_a_pause(
    told_rig, monkeypatch
):
    async def refuse(request, stream):
        await anyio.sleep(0.15)
        text = head(request, "503 Busy", Content_Length="0", Retry_After=str(PAUSE_S))
        await stream.send((text + "Pistachiowell-Not-Executed: 1\r\n\r\n").encode())
        return True

    connect_tcp, delays = BoundedBackend.connect_tcp, [0.0]

    async def connect_late(*args, **options):
        await anyio.sleep(delays[0])
        return await connect_tcp(*args, **options)

    monkeypatch.setattr(BoundedBackend, "connect_tcp", connect_late)
    async with (
        told_rig(b"", refuse) as (rig, server),
        anyio.create_task_group() as group,
    ):
        await reach(server, rig, group)
        delays[0] = 0.3
        reached = len(server.requests)
        answers = []

        async def send():
            answers.append((await rig.send("/read/a"))[::2])

        for _ in range(20):
            group.start_soon(send)
        await anyio.sleep(1.0)
    assert len(server.requests) == reached
    assert {status for status, _ in answers} == {200}, answers


@pytest.mark.parametrize("told", ["deputy", "gateway"])
async def test_deputy_and_its_gateway_know_different_pauses(
    told_rig, told, monkeypatch
):
    settings = DeputySettings(patience_s=0.2, step_s=0.2, return_s=0.2)
    monkeypatch.setattr(deputy, "DeputySettings", lambda: settings)
    arrivals, told_at = [], []

    async def refuse_once(request, stream):
        arrivals.append(anyio.current_time())
        if told == "deputy" or len(arrivals) > 1:
            await anyio.sleep_forever()
        text = head(request, "503 Busy", Content_Length="0", Retry_After=str(PAUSE_S))
        await stream.send((text + "Pistachiowell-Not-Executed: 1\r\n\r\n").encode())
        told_at.append(anyio.current_time())
        return True

    async with told_rig(WANTS_PAUSE, refuse_once, agents=0) as (rig, server):
        await rig.until(lambda: rig.gateways[0].is_deputy)
        await anyio.sleep(0.5)
        await keep_sending(rig, PAUSE_S)
        times = arrivals + server.health_checks
        told_at += server.health_checks
    since = min(told_at) + SLACK_S
    in_pause = [time for time in times if since < time < min(told_at) + PAUSE_S]
    assert in_pause == []


async def test_server_that_pauses_is_used_after_it(told_rig):
    async with told_rig(WANTS_PAUSE) as (rig, server):
        await keep_sending(rig, 1.0)
        server.script = answer_whole
        server.health_answer = health_answer("200 OK")
        server.requests.clear()
        await keep_sending(rig, PAUSE_S + 1.5)
    assert server.requests
