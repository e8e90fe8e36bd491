"""Planned stop of a gateway in calm, with requests to the last moment.

Guards against requests that are taken late in the grace, passed on and then cut off
without an answer, or with one that promises that they have not run; and against
connections that are reset although the process could still answer.
"""

import os
import signal
import time
from contextlib import asynccontextmanager, suppress
from functools import partial

import anyio
import httpcore
import msgspec
import pytest
from loguru import logger

from pistachiowell.platform.standins import answer_whole, refuse, stream_events

pytestmark = pytest.mark.anyio

GRACE = {"shutdown_timeout_s": 1.0}
NOTICE_S = 0.1
REQUESTS = 10


async def never_answer(request, stream):
    """Takes a request and sends nothing."""
    del request, stream
    await anyio.sleep_forever()


async def answer_after(request, stream, seconds=0.3):
    """Answers after some time."""
    await anyio.sleep(seconds)
    return await answer_whole(request, stream)


@pytest.fixture
def log_fields():
    """Returns the fields of each line that is logged, by the line's text."""
    lines = {}

    def keep(message):
        lines[message.record["message"]] = message.record["extra"]

    sink = logger.add(keep, level="INFO")
    yield lines
    logger.remove(sink)


@pytest.fixture
def stopping_rig(start_rig):
    """Returns a context manager with a gateway that gets SIGTERM by ``stop``."""

    @asynccontextmanager
    async def start(script):
        async with start_rig() as rig:
            await rig.add_server("desk-1", "desk", script)
            await rig.add_gateway(**GRACE)
            yield rig

    return start


async def stop(rig):
    """Sends SIGTERM, which the gateway in this process handles."""
    os.kill(os.getpid(), signal.SIGTERM)
    await rig.until(lambda: rig.gateways[0].state.is_leaving)


async def test_request_that_cannot_end_in_the_grace_is_refused_before_it_runs(
    stopping_rig,
):
    async with stopping_rig(never_answer) as rig:
        await stop(rig)
        status, headers, body = await rig.send("/book/a", "POST", b"x")
    answer = msgspec.json.decode(body)
    assert (status, answer["ran"], answer["error"]) == (503, "no", "leaving")
    assert float(headers[b"retry-after"]) > 0
    assert not rig.servers["desk-1"].requests


async def test_request_whose_body_comes_after_the_signal_runs_and_is_cut(stopping_rig):
    async with stopping_rig(never_answer) as rig:

        async def body():
            await rig.until(
                lambda: rig.gateways[0].metrics.values["requests.in_progress"]
            )
            await stop(rig)
            yield b"x"

        status, _, answer = await rig.send(
            "/book/a", "POST", body(), Transfer_Encoding="chunked"
        )
        assert not rig.servers["desk-1"].requests
    answer = msgspec.json.decode(answer)
    assert (status, answer["ran"], answer["error"]) == (503, "no", "leaving")


@pytest.mark.parametrize("path", ["/read/a", "/book/a"])
async def test_request_in_progress_at_the_end_gets_an_answer_of_the_gateway(
    stopping_rig, path
):
    answers = []

    async def send():
        answers.append(await rig.send(path))

    async with stopping_rig(never_answer) as rig, anyio.create_task_group() as group:
        group.start_soon(send)
        await rig.until(lambda: rig.servers["desk-1"].requests)
        await stop(rig)
        await rig.until(lambda: answers, timeout_s=NOTICE_S + 1.0)
    status, headers, body = answers[0]
    assert status == 502
    assert msgspec.json.decode(body)["ran"] == "unknown"
    assert b"retry-after" not in headers


async def test_request_that_can_end_in_the_grace_is_answered(stopping_rig):
    async with stopping_rig(answer_after) as rig:
        await stop(rig)
        status, headers, _ = await rig.send("/read/a")
        assert (status, headers[b"connection"]) == (200, b"close")


async def test_connection_that_comes_late_is_answered_and_not_reset(stopping_rig):
    async with stopping_rig(never_answer) as rig, anyio.create_task_group() as group:
        group.start_soon(rig.send, "/read/a")
        await rig.until(lambda: rig.servers["desk-1"].requests)
        await stop(rig)
        await anyio.sleep(NOTICE_S + 0.3)
        status, _, body = await rig.send("/read/b")
        answer = msgspec.json.decode(body)
    assert (status, answer["ran"], answer["error"]) == (503, "no", "leaving")
    assert len(rig.servers["desk-1"].requests) == 1


async def test_what_a_stop_ends_or_refuses_is_not_told_from_other_losses(
    stopping_rig, log_fields
):
    async with stopping_rig(never_answer) as rig, anyio.create_task_group() as group:
        group.start_soon(rig.send, "/read/a")
        await rig.until(lambda: rig.servers["desk-1"].requests)
        await stop(rig)
        await rig.send("/book/b")
        await rig.until(lambda: rig.gateways[0].metrics.values.get("stop.ended"))
        refused = log_fields["Request is refused."]
        ended = log_fields["Request is ended by the stop."]
        assert refused["bound_s"] > refused["left_s"] > 0
        assert ended["begun_after_s"] < 0
        assert (ended["bound_s"], ended["events"]) == (None, 0)
        assert rig.gateways[0].metrics.values["stop.refused"] == 1


async def test_long_stream_after_short_ones_is_cut(start_rig):
    async with start_rig() as rig:
        await rig.add_agent("agent-1")
        await rig.add_server("pool-1", "pool", stream_events(1, 10))
        await rig.add_gateway(**GRACE)
        for _ in range(REQUESTS):
            assert (await rig.send_chat())[0] == 200
        pool = rig.servers["pool-1"]
        pool.script = stream_events(1, 200)
        await stop(rig)
        status, _, body = await rig.send_chat(usage="100,1000")
        answer = msgspec.json.decode(body)
        assert (status, answer["ran"], answer["error"]) == (503, "no", "leaving")
        pool.script = stream_events(1, 10)
        assert (await rig.send_chat())[0] == 200
    assert len(pool.requests) == REQUESTS + 1


async def test_first_stream_of_a_started_gateway_is_cut(start_rig):
    async with start_rig() as rig:
        await rig.add_agent("agent-1")
        await rig.add_server("pool-1", "pool", stream_events(1, 200))
        await rig.add_gateway(**GRACE)
        await stop(rig)
        status, _, body = await rig.send_chat(usage="100,1000")
        answer = msgspec.json.decode(body)
        assert (status, answer["ran"], answer["error"]) == (503, "no", "leaving")
    assert not rig.servers["pool-1"].requests


async def test_stream_that_waits_for_a_server_begins_late_in_the_stop(start_rig):
    async def refuse_in_the_stop(request, stream):
        # The next attempt gets an answer that outlasts the stop.
        rig.servers["pool-1"].script = rig.servers["pool-2"].script = long_answer
        await stop(rig)
        return await refuse(request, stream)

    long_answer = stream_events(1, 200)
    async with start_rig() as rig:
        await rig.add_agent("agent-1")
        await rig.add_server("pool-1", "pool", refuse_in_the_stop)
        await rig.add_server("pool-2", "pool", refuse_in_the_stop)
        await rig.add_gateway(**GRACE)
        status, _, body = await rig.send_chat(usage="100,1000")
        answer = msgspec.json.decode(body)
        assert (status, answer["ran"], answer["error"]) == (503, "no", "leaving")
        assert sum(len(server.requests) for server in rig.servers.values()) == 1


async def test_request_that_is_known_to_fit_is_refused_after_the_notice(stopping_rig):
    async with stopping_rig(answer_whole) as rig, anyio.create_task_group() as group:
        server = rig.servers["desk-1"]
        for _ in range(REQUESTS):
            await rig.send("/read/a")
        server.script = never_answer
        group.start_soon(rig.send, "/read/a")
        await rig.until(lambda: len(server.requests) > REQUESTS)
        server.script = answer_whole
        await stop(rig)
        await anyio.sleep(NOTICE_S + 0.2)
        status, headers, _ = await rig.send("/read/b")
        assert (status, headers[b"connection"]) == (200, b"close")


async def test_requests_after_the_notice_prolong_the_stop(start_rig):
    async def send_on():
        with suppress(httpcore.NetworkError, httpcore.RemoteProtocolError):
            while True:
                await rig.send("/read/a")

    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk", answer_after)
        await rig.add_gateway(shutdown_timeout_s=4.0)
        for _ in range(REQUESTS):
            await rig.send("/read/a")
        async with anyio.create_task_group() as group:
            await stop(rig)
            stopped_at = time.monotonic()
            for _ in range(REQUESTS):
                group.start_soon(send_on)
                await anyio.sleep(0.03)
        assert time.monotonic() - stopped_at < 2.0


async def test_late_event_loop_moves_the_end_of_the_stop_past_the_grace(stopping_rig):
    async with stopping_rig(never_answer) as rig, anyio.create_task_group() as group:
        group.start_soon(rig.send, "/read/a")
        await rig.until(lambda: rig.servers["desk-1"].requests)
        await stop(rig)
        stopped_at = time.monotonic()
        await anyio.sleep(0.05)
        # The notice passes meanwhile.
        time.sleep(0.6)
        await rig.until(lambda: rig.gateways[0].metrics.values.get("stop.ended"))
        assert time.monotonic() - stopped_at < NOTICE_S + GRACE["shutdown_timeout_s"]


async def test_caller_that_keeps_to_its_idle_time_meets_the_close(start_rig):
    notice_s, told_s = 1.6, 1.0
    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk", answer_whole)
        await rig.add_gateway(leaving_notice_s=notice_s, **GRACE)
        async with rig.keep() as send:
            _, headers, _ = await send("/read/a")
            assert headers[b"keep-alive"] == b"timeout=%d" % told_s
            await stop(rig)
            await anyio.sleep(told_s)
            status, headers, _ = await send("/read/b")
            assert (status, headers[b"connection"]) == (200, b"close")
            assert b"keep-alive" not in headers


async def test_idle_connection_is_logged_as_an_answer_that_the_stop_ends(
    start_rig, log_fields
):
    async with start_rig() as rig:
        await rig.add_agent("agent-1")
        await rig.add_server("pool-1", "pool", stream_events(1, 100))
        await rig.add_gateway(leaving_notice_s=1.6, shutdown_timeout_s=0.6)
        async with rig.keep() as send, anyio.create_task_group() as group:
            group.start_soon(
                partial(
                    send,
                    "/chat/x",
                    "POST",
                    b"prompt",
                    Pistachiowell_Model="m",
                    Pistachiowell_Token_Usage="100,500",
                    Pistachiowell_Prefix_Hash="aa:60,bb:40",
                )
            )
            await rig.until(lambda: rig.servers["pool-1"].requests)
            # The stream has begun, and its answer has told the caller of an idle time.
            await anyio.sleep(0.1)
            await stop(rig)
            # The caller may send until after the end of the stop.
            await rig.until(lambda: "Gateway stops." in log_fields)
        assert "Request has ended." in log_fields
        assert "Requests are ended as the gateway stops." not in log_fields
