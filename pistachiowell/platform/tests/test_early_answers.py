"""A server answers a long upload at once and ends while the upload is on its way.

Guards against a part of a body that a caller takes for a whole answer.
"""

from functools import partial

import anyio
import httpcore
import httptools
import pytest

from pistachiowell.platform.standins import (
    HEALTHY_ANSWER,
    ReceivedRequest,
    answer_whole,
    event,
    head,
    stream_events,
)
from pistachiowell.platform.tests.conftest import configuration
from pistachiowell.standins.early import (
    EarlyServer,
    close_unread,
    read_after_end,
    read_on,
    reset,
    reset_after_end,
    reset_later,
    reset_soon_after_end,
)

pytestmark = pytest.mark.anyio

PART = b"a" * 3_000
EVENTS = event(1) + event(2)
RESETS = [reset, reset_later, close_unread, reset_after_end]
UPLOAD = b"u" * 200_000
# The server's kernel has all of it before the answer begins.
SHORT_UPLOAD = b"u" * 1_000
ATTEMPTS = 6
PLAY_LIMIT_S = 20.0


def unframed(body, **headers):
    """Returns the answer of an ``EarlyServer``, which ends with its connection."""

    def answer(data):
        request = ReceivedRequest()
        httptools.HttpRequestParser(request).feed_data(data)
        if "pistachiowell-attempt-id" not in request.headers:
            return HEALTHY_ANSWER
        return f"{head(request, **headers)}\r\n".encode() + body

    return answer


async def start_early(rig, service, server):
    """Starts a server that answers early, and a gateway that takes long uploads."""
    document = configuration(2)
    document["Limits"]["MaxBodyBytes"] = 4_000_000
    rig.store.put("config", "main", document)
    await rig.start_server("early-1", service, server)
    await rig.add_agent("agent-1")
    gateway = await rig.add_gateway()
    await rig.until_revision(gateway.state, 2)


async def read_stream(rig, path, prompt=UPLOAD):
    """Returns the stream that a caller gets for a prompt, and how it ended."""
    data, error = b"", None
    try:
        async with rig.open(path, "POST", prompt) as response:
            async for part in response.aiter_stream():
                data += part
    except httpcore.RemoteProtocolError as caught:
        error = caught
    return data, error


async def until_received(server, send):
    """Returns the answers to requests, until an early server has had one of them."""
    answers = []
    with anyio.fail_after(PLAY_LIMIT_S):
        while len(answers) < ATTEMPTS or not server.received:
            answers.append(await send())
    return answers


@pytest.mark.parametrize("end", RESETS)
@pytest.mark.parametrize("size", [20_000, 200_000, 2_000_000])
@pytest.mark.parametrize("path", ["/read/a", "/book/a"])
async def test_part_of_an_answer_is_passed_on_as_whole(start_rig, path, size, end):
    server = EarlyServer(unframed(PART), end)
    async with start_rig() as rig:
        await start_early(rig, "desk", server)
        status, _, _ = await rig.send(path, "POST", b"u" * size)
    assert server.received
    assert status == 502


@pytest.mark.parametrize("end", RESETS)
async def test_part_of_an_answer_is_kept_though_another_server_has_a_whole_one(
    start_rig, end
):
    server = EarlyServer(unframed(PART), end)
    async with start_rig() as rig:
        await rig.add_server("desk-2", "desk", answer_whole)
        await start_early(rig, "desk", server)
        answers = await until_received(
            server, lambda: rig.send("/read/a", "POST", UPLOAD)
        )
    assert {(status, body) for status, _, body in answers} == {(200, b"ok")}


@pytest.mark.parametrize("end", RESETS)
async def test_begun_stream_looks_complete(start_rig, end):
    server = EarlyServer(unframed(EVENTS, Content_Type="text/event-stream"), end)
    async with start_rig() as rig:
        await start_early(rig, "pool", server)
        data, error = await read_stream(rig, "/long/a")
    assert server.received
    assert error is not None
    assert EVENTS.startswith(data)


@pytest.mark.parametrize("end", RESETS)
async def test_begun_stream_is_not_continued(start_rig, end):
    server = EarlyServer(unframed(EVENTS, Content_Type="text/event-stream"), end)
    async with start_rig() as rig:
        await rig.add_server("pool-2", "pool", stream_events(1, 4))
        await start_early(rig, "pool", server)
        streams = await until_received(server, lambda: read_stream(rig, "/chat/a"))
    assert set(streams) == {(b"".join(map(event, range(1, 5))), None)}


@pytest.mark.parametrize("path", ["/read/a", "/book/a"])
async def test_part_of_an_answer_to_an_unread_request_is_passed_on(start_rig, path):
    server = EarlyServer(unframed(PART), reset_soon_after_end)
    async with start_rig() as rig:
        await start_early(rig, "desk", server)
        status, _, _ = await rig.send(path, "POST", SHORT_UPLOAD)
    assert server.received
    assert status == 502


async def test_begun_stream_of_an_unread_request_looks_complete(start_rig):
    server = EarlyServer(
        unframed(EVENTS, Content_Type="text/event-stream"), reset_soon_after_end
    )
    async with start_rig() as rig:
        await start_early(rig, "pool", server)
        data, error = await read_stream(rig, "/long/a", SHORT_UPLOAD)
    assert server.received
    assert error is not None
    assert EVENTS.startswith(data)


async def test_whole_answer_fails_as_its_server_reads_the_upload_later(start_rig):
    server = EarlyServer(unframed(PART), read_after_end)
    async with start_rig() as rig:
        await start_early(rig, "desk", server)
        status, _, body = await rig.send("/book/a", "POST", UPLOAD)
        await rig.until(lambda: server.uploads)
    assert (status, body, server.uploads) == (200, PART, [UPLOAD])


@pytest.mark.parametrize("size", [200_000, 3_900_000])
async def test_next_request_is_sent_into_an_upload(start_rig, size):
    whole, upload = unframed(b"ok", Content_Length="2"), b"u" * size
    server = EarlyServer(whole, partial(read_on, whole, size))
    async with start_rig() as rig:
        await start_early(rig, "desk", server)
        first = await rig.send("/book/a", "POST", upload)
        second = await rig.send("/book/b", "POST", b"x")
        await rig.until(lambda: server.uploads)
    assert [first[0], second[0]] == [200, 200]
    assert server.uploads[0][0] == upload
    assert server.uploads[0][1].startswith(b"POST /book/b ")
