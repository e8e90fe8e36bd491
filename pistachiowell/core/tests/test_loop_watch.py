"""Deadlines and silence are not judged by a loop that is late itself.

Guards against a gateway short of processor time that takes its own delay for that of
the servers: "refused the connection" of servers that had accepted it, and false
suspicions, each of which costs a second attempt.
"""

import asyncio
import time
from contextlib import asynccontextmanager

import anyio
import httpcore
import pytest

from pistachiowell.core.loop_watch import LoopWatch
from pistachiowell.gateway.connections.bounded_stream import BoundedBackend, HeadLimit
from pistachiowell.routing import SILENCE_DETECTORS, SilenceSettings

pytestmark = pytest.mark.anyio

TIMEOUT_S = 0.1
BLOCKED_S = 0.05


@pytest.fixture
def late_loop():
    """Returns a context manager whose loop is blocked for most of the time."""

    async def block():
        while True:
            time.sleep(BLOCKED_S)
            await anyio.sleep(0)

    @asynccontextmanager
    async def start():
        watch = LoopWatch(lambda: True)
        async with anyio.create_task_group() as group:
            group.start_soon(watch.run)
            for _ in range(4):
                group.start_soon(block)
            await anyio.sleep(0)
            yield watch
            group.cancel_scope.cancel()

    return start


async def test_server_that_has_accepted_is_not_taken_for_one_that_refuses(
    late_loop, free_port
):
    port = free_port()
    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port),
        late_loop() as watch,
    ):
        backend = BoundedBackend(HeadLimit(anyio.current_time), watch.deadline)
        stream = await backend.connect_tcp("127.0.0.1", port, TIMEOUT_S)
        await stream.aclose()


async def test_deadline_ends_while_the_loop_is_on_time():
    watch = LoopWatch()
    async with anyio.create_task_group() as group:
        group.start_soon(watch.run)
        started_at = anyio.current_time()
        with watch.deadline(TIMEOUT_S) as scope:
            await anyio.sleep_forever()
        group.cancel_scope.cancel()
    assert scope.cancelled_caught
    assert anyio.current_time() - started_at < 10 * TIMEOUT_S


async def test_server_without_a_listener_still_refuses(late_loop, free_port):
    async with late_loop() as watch:
        backend = BoundedBackend(HeadLimit(anyio.current_time), watch.deadline)
        with pytest.raises(httpcore.ConnectError):
            await backend.connect_tcp("127.0.0.1", free_port(), TIMEOUT_S)


@pytest.mark.parametrize("late_s", [0.0, 0.08])
def test_server_is_not_suspected_for_the_time_that_the_loop_was_late(late_s):
    detector = SILENCE_DETECTORS.find("no_sign_of_life")(SilenceSettings())
    tick_s, now, ticks = 0.02, 0.0, 0
    detector.tick(now)
    detector.record_start("s1", 0.0, now)
    silent = []
    while not silent:
        now += tick_s + late_s
        ticks += 1
        silent = detector.tick(now, late_s)
    assert ticks == pytest.approx(SilenceSettings().first_patience_s / tick_s, abs=1)


@pytest.mark.parametrize("is_busy", [False, True])
async def test_transit_time_is_that_of_a_late_loop_only_while_requests_are_there(
    is_busy,
):
    transits = []
    watch = LoopWatch(lambda: is_busy)
    watch.add_transit_listener(lambda transit_s, now: transits.append(transit_s))

    async def block():
        while True:
            time.sleep(BLOCKED_S)
            await anyio.sleep(0)

    async with anyio.create_task_group() as group:
        group.start_soon(watch.run)
        group.start_soon(block)
        await anyio.sleep(1.0)
        group.cancel_scope.cancel()
    if is_busy:
        assert transits[-1] == pytest.approx(12 * BLOCKED_S, rel=0.5)
    else:
        assert set(transits) == {0.0}


async def test_error_in_a_listener_does_not_end_the_ticks():
    ticks = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)

    def fail(now, late_s):
        ticks.append(now)
        raise ValueError("A listener failed.")

    watch = LoopWatch()
    watch.add_listener(fail)
    with anyio.move_on_after(0.5):
        await watch.run()
    assert len(ticks) > 1
