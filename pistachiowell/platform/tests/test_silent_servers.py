"""A sound server that sends nothing for a second and goes on.

Guards against answers that are ended because of it though no other server can go on
with them.
"""

import anyio
import httpcore
import pytest

from pistachiowell.gateway.servers.server_crashes import ServerCrashes
from pistachiowell.platform.standins import chunk, event, head, refuse
from pistachiowell.platform.tests.conftest import configuration

pytestmark = pytest.mark.anyio

LAST = 46
STREAMS = 6
# Its patience between two events is a quarter of a second, after some quick ones.
SILENCE_S = 0.9


def stream_with_silence(after, **more):
    """Returns a script that streams events and is silent after one of them."""

    async def script(request, stream):
        fields = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
        text = head(request, **fields, **more)
        await stream.send((text + "\r\n").encode())
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, LAST + 1):
            await stream.send(chunk(event(number)))
            await anyio.sleep(SILENCE_S if number == after else 0.005)
        await stream.send(b"0\r\n\r\n")
        return True

    return script


async def read_chat(rig, answers):
    """Sends a request for a stream and stores what came of it, if it ended whole."""
    received, is_whole = b"", True
    headers = {
        "Pistachiowell_Model": "m",
        "Pistachiowell_Token_Usage": "100,300",
        "Pistachiowell_Deadline_Ms": "1900",
    }
    try:
        async with rig.open("/chat/x", "POST", b"prompt", **headers) as response:
            async for data in response.aiter_stream():
                received += data
    except httpcore.RemoteProtocolError:
        is_whole = False
    answers.append((is_whole, received.count(b"\n\n")))


def refuse_rests(count):
    """Returns a script as above that refuses the first rests of streams."""
    streams, refused = stream_with_silence(40), []

    async def script(request, stream):
        is_refused = "last-event-id" in request.headers and len(refused) < count
        if is_refused:
            refused.append(request)
        return await (refuse if is_refused else streams)(request, stream)

    return script


@pytest.fixture
def forbid_repeats(monkeypatch):
    """Lets each request have a part that has crashed servers."""
    monkeypatch.setattr(ServerCrashes, "may_send_again", lambda self, request: False)


async def play_silence(start_rig, headers=None, **settings):
    """Returns what came of streams whose server is silent for a while.

    Args:
        start_rig: The fixture.
        headers: More headers of the answers of this server and of another one, which
            comes later.
        **settings: Settings of the gateway.
    """
    answers, headers = [], headers or {}
    async with start_rig() as rig:
        await rig.add_server("pool-1", "pool", stream_with_silence(40, **headers))
        # Without agents nobody probes the server and finds that it still answers.
        rig.store.put("config", "main", configuration(2, prepaid=None))
        gateway = await rig.add_gateway(retry_fixed=0.0, **settings)
        async with anyio.create_task_group() as group:
            for _ in range(STREAMS):
                group.start_soon(read_chat, rig, answers)
            await rig.until(lambda: len(rig.servers["pool-1"].requests) == STREAMS)
            other = stream_with_silence(0, **headers)
            await rig.add_server("pool-2", "pool", other)
            servers = gateway.state.servers
            await rig.until(lambda: "pool-2" in servers.known)
            # Its answer tells what the other server says of itself.
            group.start_soon(read_chat, rig, answers)
            await rig.until(lambda: len(answers) == STREAMS + 1)
    return answers


async def test_streams_given_up_together_exceed_the_retry_share(start_rig):
    # The gateway may send one of the streams again.
    answers = await play_silence(start_rig, retry_ratio=0.3)
    assert answers == [(True, LAST)] * (STREAMS + 1)


async def test_streams_are_given_up_for_a_server_that_does_not_admit_them(start_rig):
    answers = await play_silence(start_rig, {"Server_Limit": "1"}, retry_ratio=2.0)
    assert answers == [(True, LAST)] * (STREAMS + 1)


async def test_stream_is_given_up_that_must_not_be_sent_again(
    start_rig, forbid_repeats
):
    answers = await play_silence(start_rig, retry_ratio=2.0)
    assert answers == [(True, LAST)] * (STREAMS + 1)


def stop_within_head(seconds):
    """Returns a script whose answer has a pause within its head."""

    async def script(request, stream):
        data = (head(request, Content_Length="2") + "\r\nok").encode()
        await stream.send(data[:30])
        await anyio.sleep(seconds)
        await stream.send(data[30:])
        return True

    return script


@pytest.mark.parametrize("path", ["/read/a", "/book/a"])
async def test_answer_is_ended_as_its_server_pauses_within_the_head(start_rig, path):
    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk", stop_within_head(1.2))
        await rig.add_gateway()
        status, _, body = await rig.send(path)
    assert (status, body) == (200, b"ok")


async def test_stream_given_up_goes_to_a_service_that_cannot_continue_it(start_rig):
    answers = []
    document = configuration(2, prepaid=None)
    chat = next(r for r in document["Routes"] if r["Name"] == "chat")
    chat["Split"] = [{"Service": s, "Weight": 1} for s in ("pool", "desk")]
    async with start_rig() as rig:
        await rig.add_server("pool-1", "pool", stream_with_silence(40))
        await rig.add_server("pool-2", "pool", stream_with_silence(0))
        await rig.add_server("desk-1", "desk", refuse)
        rig.store.put("config", "main", document)
        await rig.add_gateway(retry_ratio=2.0, retry_fixed=0.0)
        async with anyio.create_task_group() as group:
            for _ in range(STREAMS):
                group.start_soon(read_chat, rig, answers)
            await rig.until(lambda: len(answers) == STREAMS)
    assert {answer for answer in answers if answer[1]} == {(True, LAST)}


# The gateway may send 9, 9, 3 and 18 requests again.
@pytest.mark.parametrize(
    "attempts, ratio, refused", [(2, 2.0, 0), (3, 2.0, 0), (2, 0.7, 0), (2, 4.0, 3)]
)
async def test_stream_is_cut_as_its_replacement_refuses(
    start_rig, attempts, ratio, refused
):
    answers, document = [], configuration(2, prepaid=None)
    chat = next(r for r in document["Routes"] if r["Name"] == "chat")
    chat["MaxAttempts"] = attempts
    async with start_rig() as rig:
        await rig.add_server("pool-1", "pool", refuse_rests(refused))
        rig.store.put("config", "main", document)
        await rig.add_gateway(retry_ratio=ratio, retry_fixed=0.0)
        async with anyio.create_task_group() as group:
            for _ in range(STREAMS):
                group.start_soon(read_chat, rig, answers)
            await rig.until(lambda: len(rig.servers["pool-1"].requests) == STREAMS)
            await rig.add_server("pool-2", "pool", refuse)
            await rig.until(lambda: len(answers) == STREAMS)
    arrivals = sum(len(server.requests) for server in rig.servers.values())
    assert arrivals - STREAMS <= ratio * STREAMS
    assert answers == [(True, LAST)] * STREAMS


@pytest.mark.parametrize("end", ["deadline", "caller", "stop"])
async def test_refused_stream_is_sent_on_after_its_end(start_rig, end):
    answers = []
    async with start_rig() as rig:
        await rig.add_server("pool-1", "pool", refuse_rests(99))
        rig.store.put("config", "main", configuration(2, prepaid=None))
        gateway = await rig.add_gateway(retry_ratio=40.0, retry_fixed=0.0)
        stop, servers = gateway._parts.stop, rig.servers
        async with anyio.create_task_group() as group:
            began_at = anyio.current_time()
            group.start_soon(read_chat, rig, answers)
            await rig.until(lambda: servers["pool-1"].requests)
            await rig.add_server("pool-2", "pool", refuse)
            # It is refused by both, and waits.
            await rig.until(lambda: len(servers["pool-1"].requests) == 2)
            if end == "caller":
                group.cancel_scope.cancel()
            elif end == "stop":
                stop.end_requests()
            else:
                await rig.until(lambda: answers)
                assert anyio.current_time() - began_at >= 1.7
        await rig.until(lambda: not stop.in_progress, timeout_s=0.3)
        arrivals = [len(server.requests) for server in servers.values()]
        assert 3 <= sum(arrivals) <= 10
        await anyio.sleep(0.5)
        assert arrivals == [len(server.requests) for server in servers.values()]
    assert answers == ([] if end == "caller" else [(False, 40)])
