"""Probes of servers that a gateway has reported as silent."""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.core.metrics import Metrics
from pistachiowell.gateway.servers.closed_servers import ClosedServers
from pistachiowell.gateway.servers.silence_probes import SilenceProbes
from pistachiowell.platform import headers
from pistachiowell.schema.generated.messages_gateway import ServerDoubted, ServerSilent
from pistachiowell.wire import Handlers

pytestmark = pytest.mark.anyio

BLOCK = b"x" * 65_536
MAX_READ_BYTES = 16_000_000


class Links:
    """Records what is sent to all gateways."""

    def __init__(self):
        self.notices = []

    def broadcast(self, message):
        self.notices.append(message)


class Limits:
    async def wait_for_room(self, server_id):
        del server_id

    def may_send(self, server_id, admitted_at):
        return True


def make_probes(runtime, links, handlers, codec=headers):
    """Returns the probes of an agent without a configuration."""
    closed = ClosedServers(runtime)
    state = SimpleNamespace(catalog=None)
    leaving = SimpleNamespace(tell=links.broadcast)
    cold = SimpleNamespace(record_answer=lambda incarnation, head: None)
    places = SimpleNamespace(may_probe=lambda server_id: True)
    return SilenceProbes(
        runtime, state, codec, links, Limits(), closed, cold, leaving, places, handlers
    )


@pytest.fixture
async def probed():
    """Probes a server with a given script and returns the notices and bytes sent."""

    async def probe(script, until_s):
        links, handlers = Links(), Handlers()
        sent = []

        async def serve(stream):
            async with stream:
                await stream.receive()
                await script(stream, sent)

        runtime = SimpleNamespace(now=anyio.current_time)
        probes = make_probes(runtime, links, handlers)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        message = ServerSilent("s1", "desk", f"127.0.0.1:{port}")
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            group.start_soon(probes.run)
            await anyio.sleep(0.05)
            handler = handlers.find(message)
            await handler(None, message)
            await anyio.sleep(until_s)
            group.cancel_scope.cancel()
        return [notice.is_silent for notice in links.notices], sum(sent)

    return probe


async def send_without_end(stream, sent):
    await stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    try:
        while True:
            await stream.send(b"10000\r\n" + BLOCK + b"\r\n")
            sent.append(len(BLOCK))
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


async def stay_silent(stream, sent):
    await anyio.sleep_forever()


async def test_health_answer_without_end_fills_the_agents_memory(probed):
    notices, size = await probed(send_without_end, 1.0)
    assert notices == [True, False]
    assert size < MAX_READ_BYTES


async def test_silence_is_announced_again_until_the_server_answers(probed):
    notices, _ = await probed(stay_silent, 1.3)
    assert notices == [True, True, True]


async def test_doubts_of_many_gateways_are_passed_on_once():
    links, handlers, now = Links(), Handlers(), [0.0]
    runtime = SimpleNamespace(now=lambda: now[0])
    make_probes(runtime, links, handlers)
    doubts = [ServerDoubted("s1", 0.03), ServerDoubted("s1", 0.04)]
    for doubt in [*doubts, ServerDoubted("s2", 0.05)]:
        await handlers.find(doubt)(None, doubt)
    assert [notice.server for notice in links.notices] == ["s1", "s2"]
    now[0] = 0.2
    await handlers.find(doubts[0])(None, doubts[1])
    assert [notice.server for notice in links.notices] == ["s1", "s2", "s1"]


@pytest.mark.parametrize("address", ["nonsense", "", "127.0.0.1:", "127.0.0.1:99999"])
async def test_report_with_an_odd_address_ends_all_probes(address, free_port):
    links, handlers = Links(), Handlers()
    metrics = Metrics()
    runtime = SimpleNamespace(now=anyio.current_time, metrics=metrics)
    probes = make_probes(runtime, links, handlers)
    reports = [("s1", address), ("s2", f"127.0.0.1:{free_port()}")]
    async with anyio.create_task_group() as group:
        group.start_soon(probes.run)
        await anyio.sleep(0.02)
        for report in [ServerSilent(name, "desk", at) for name, at in reports]:
            await handlers.find(report)(None, report)
            await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert {notice.server for notice in links.notices} == {"s2"}
    assert metrics.values["silence.malformed_reports"] == 1


async def test_error_in_the_answer_to_a_probe_ends_all_probes():
    links, handlers, answers = Links(), Handlers(), []

    def fail(status, headers):
        answers.append(status)
        raise ValueError("a fault")

    async def answer(stream):
        async with stream:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    runtime = SimpleNamespace(now=anyio.current_time)
    codec = SimpleNamespace(read_answer_head=fail)
    probes = make_probes(runtime, links, handlers, codec)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, answer)
        group.start_soon(probes.run)
        await anyio.sleep(0.02)
        for name in ("s1", "s2"):
            report = ServerSilent(name, "desk", f"127.0.0.1:{port}")
            await handlers.find(report)(None, report)
            await anyio.sleep(0.1)
        group.cancel_scope.cancel()
    assert answers == [200, 200]
