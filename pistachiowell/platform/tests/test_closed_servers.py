"""Servers that say in their answers that they leave, or ask for a pause.

Guards against requests that go to a server after it has said so: they come back, use up
retries, or are cut off when it ends.
"""

from contextlib import asynccontextmanager

import anyio
import pytest

from pistachiowell.platform.headers import read_answer_head
from pistachiowell.platform.standins import answer_whole, head

pytestmark = pytest.mark.anyio

PAUSE_S = 0.8
# Messages between the gateways and the agents take some milliseconds.
SHARING_S = 0.3


async def answer_and_leave(request, stream):
    """Answers and says that the server leaves."""
    text = head(request, Content_Length="2", Server_Leaving="1")
    await stream.send((text + "\r\nok").encode())
    return True


def refuse_for(value):
    """Returns a script that refuses and names a pause."""

    async def script(request, stream):
        text = head(request, "503 Busy", Content_Length="0", Retry_After=value)
        await stream.send((text + "Pistachiowell-Not-Executed: 1\r\n\r\n").encode())
        return True

    return script


@pytest.fixture
def closing_rig(start_rig):
    """Returns a context manager with a closing server, another one and gateways."""

    @asynccontextmanager
    async def start(script, other=answer_whole, gateways=1):
        async with start_rig() as rig:
            await rig.add_server("desk-1", "desk", script)
            await rig.add_server("desk-2", "desk", other)
            for number in range(2):
                await rig.add_agent(f"agent-{number}")
            rig.addresses = []
            for number in range(gateways):
                await rig.add_gateway(f"gate-{number}")
                rig.addresses.append(rig.address)
            yield rig

    return start


async def send(rig, times):
    """Sends requests through all gateways and returns their statuses."""
    statuses = []
    for _ in range(times):
        for address in rig.addresses:
            rig.address = address
            statuses.append((await rig.send("/read/a"))[0])
    return statuses


async def send_until_reached(rig, server_id):
    """Sends requests through one gateway until a server has got one."""
    rig.address = rig.addresses[0]
    with anyio.fail_after(5.0):
        while not rig.servers[server_id].requests:
            await rig.send("/read/a")


@pytest.mark.parametrize("gateways", [2, 8])
async def test_server_that_leaves_gets_requests_of_no_gateway(closing_rig, gateways):
    async with closing_rig(answer_and_leave, gateways=gateways) as rig:
        rig.store.mode = "silent"
        await send_until_reached(rig, "desk-1")
        await anyio.sleep(SHARING_S)
        reached = len(rig.servers["desk-1"].requests)
        statuses = await send(rig, 10)
    assert set(statuses) == {200}
    assert len(rig.servers["desk-1"].requests) == reached


async def test_registration_that_says_ready_does_not_reopen_a_leaving_server(
    closing_rig,
):
    async with closing_rig(answer_and_leave) as rig:
        await send_until_reached(rig, "desk-1")
        reached = len(rig.servers["desk-1"].requests)
        rig.register("desk-1", "desk", Sequence=2)
        await anyio.sleep(SHARING_S)
        await send(rig, 10)
    assert len(rig.servers["desk-1"].requests) == reached


async def test_server_that_starts_again_is_used_again(closing_rig):
    async with closing_rig(answer_and_leave) as rig:
        await send_until_reached(rig, "desk-1")
        reached = len(rig.servers["desk-1"].requests)
        rig.register("desk-1", "desk", born=6)
        await anyio.sleep(SHARING_S)
        await send(rig, 10)
    assert len(rig.servers["desk-1"].requests) > reached


async def test_server_gets_nothing_in_the_pause_that_it_asked_for(closing_rig):
    async with closing_rig(refuse_for(str(PAUSE_S))) as rig:
        await send_until_reached(rig, "desk-1")
        paused_at = anyio.current_time()
        reached = len(rig.servers["desk-1"].requests)
        statuses = []
        while anyio.current_time() < paused_at + PAUSE_S - 0.1:
            statuses += await send(rig, 1)
        assert len(rig.servers["desk-1"].requests) == reached
        assert set(statuses) == {200}
        await anyio.sleep(0.2)
        await send(rig, 10)
    assert len(rig.servers["desk-1"].requests) > reached


async def test_pause_without_an_id_on_a_kept_connection_is_overlooked(closing_rig):
    refused = []

    async def refuse_second(request, stream):
        if len(refused) or len(rig.servers["desk-1"].requests) > 1:
            refused.append(request)
            text = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 5\r\n\r\n"
            await stream.send(text.encode())
            return True
        return await answer_whole(request, stream)

    async with closing_rig(refuse_second) as rig:
        await send(rig, 20)
    assert len(refused) == 1


async def test_pause_of_all_servers_is_told_at_once(closing_rig):
    busy = refuse_for(str(PAUSE_S))
    async with closing_rig(busy, busy) as rig:
        await send(rig, 3)
        reached = sum(len(server.requests) for server in rig.servers.values())
        started_at = anyio.current_time()
        status, headers, _ = await rig.send("/read/a")
        assert anyio.current_time() - started_at < 0.2
    assert status == 503
    # Callers are told to come back within a quarter of it after the pause.
    assert 0 < float(headers[b"retry-after"]) <= 1.25 * PAUSE_S
    assert sum(len(server.requests) for server in rig.servers.values()) == reached


async def test_all_callers_come_back_in_the_moment_in_which_a_pause_ends(closing_rig):
    busy, returns = refuse_for("2"), []
    async with closing_rig(busy, busy) as rig:
        await send(rig, 3)
        paused_at = anyio.current_time()
        for _ in range(50):
            status, headers, _ = await rig.send("/read/a")
            assert status == 503
            left_s = float(headers[b"retry-after"])
            returns.append(anyio.current_time() + left_s - paused_at)
    # No caller is told to come back within the pause.
    assert min(returns) > 2.0 - 0.2
    most = max(sum(a <= b < a + 0.05 for b in returns) for a in returns)
    assert most <= len(returns) / 2


@pytest.mark.parametrize(
    ("values", "pause_s"),
    [
        (["0.5"], 0.5),
        (["2", "7", "soon"], 7.0),
        (["soon"], None),
        (["-5"], None),
        (["1e3"], None),
        (["nan"], None),
        (["Wed, 21 Oct 2026 07:28:00 GMT"], None),
    ],
)
def test_pauses_are_read_and_unreadable_ones_told(values, pause_s):
    headers = [(b"Retry-After", value.encode()) for value in values]
    answer = read_answer_head(503, headers)
    assert answer.pause_s == pause_s
    assert answer.has_unreadable_pause == (pause_s is None)
    assert read_answer_head(200, headers).pause_s is None
