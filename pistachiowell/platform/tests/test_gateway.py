"""Tests of the gateway against stand-ins of the platform's store and servers."""

import zlib
from contextlib import asynccontextmanager, suppress

import anyio
import httpcore
import pytest

from pistachiowell.core.errors import StoreUnavailable
from pistachiowell.gateway.feeds import store_fallback
from pistachiowell.gateway.load.gateway_count import MIN_GATEWAYS
from pistachiowell.platform.objects import ObjectStore
from pistachiowell.platform.standins import (
    SIGNATURE,
    answer_of_another,
    answer_whole,
    chunk,
    close_without_answer,
    event,
    refuse,
    refuse_another,
    repeat_without_end,
    stream_events,
)
from pistachiowell.platform.tests.conftest import configuration
from pistachiowell.router.fleet import ROUTERS

pytestmark = pytest.mark.anyio


@pytest.fixture
def small_rig(start_rig):
    """Returns a context manager with a server of each service, an agent and a gateway.

    With ``spare``, each service has a second server with that script.
    """

    @asynccontextmanager
    async def start(desk=answer_whole, pool=None, *, spare=None):
        async with start_rig() as rig:
            await rig.add_server("desk-1", "desk", desk)
            await rig.add_server("pool-1", "pool", pool or stream_events(1, 4))
            if spare is not None:
                await rig.add_server("desk-2", "desk", spare)
                await rig.add_server("pool-2", "pool", spare)
            await rig.add_agent("agent-1")
            await rig.add_gateway()
            yield rig

    return start


async def test_request_reaches_the_server_with_the_account_and_without_the_key(
    small_rig,
):
    async with small_rig() as rig:
        status, headers, body = await rig.send(
            "/read/a?b=c", Pistachiowell_Tenant="forged", X_Other="kept"
        )
    request = rig.servers["desk-1"].requests[0]
    assert (status, body) == (200, b"ok")
    assert headers[b"pistachiowell-server-signature"] == SIGNATURE.encode()
    assert request.target == "/read/a?b=c"
    assert request.headers["pistachiowell-tenant"] == "acme"
    assert request.headers["pistachiowell-expected-instance"] == "desk-1"
    assert request.headers["x-other"] == "kept"
    assert 1000 < int(request.headers["pistachiowell-deadline-ms"]) <= 1500
    assert "api-key" not in request.headers


@pytest.mark.parametrize(
    "name",
    ["Pistachiowell-Kv-Hold", "Pistachiowell-Pin-Ms", "Kv-From", "Kv-Fetch"],
)
async def test_headers_that_routers_set_are_not_accepted_from_callers(small_rig, name):
    async with small_rig() as rig:
        await rig.send_chat(**{name.replace("-", "_"): "1"})
    assert name.lower() not in rig.servers["pool-1"].requests[0].headers


async def test_stream_is_forwarded_and_charged(small_rig):
    async with small_rig() as rig:
        status, _, body = await rig.send_chat()
        assert (status, body) == (200, b"".join(map(event, range(1, 5))))
        rig.gateways[0].begin_leaving()
        await rig.until(lambda: rig.budget().get("grants"))


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/read/a", "wrong", 401), ("/nowhere/a", "k-one", 404)],
)
async def test_improper_requests_are_refused(small_rig, path, key, status):
    async with small_rig() as rig:
        answer = await rig.send(path, key=key)
    assert answer[0] == status
    assert not rig.servers["desk-1"].requests


async def test_large_body_is_refused(small_rig):
    async with small_rig() as rig:
        status, _, _ = await rig.send("/book/a", "POST", b"x" * 20_000)
    assert status == 413


async def test_without_a_configuration_the_gateway_is_not_ready(start_rig):
    async with start_rig() as rig:
        rig.store.delete("config", "main")
        await rig.add_gateway(ready=False)
        await rig.until(lambda: rig.gateways[0].state.has_servers)
        status, headers, _ = await rig.send("/read/a")
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"http://{rig.ready_address}/pistachiowell/readyz"
            ready = await pool.request("GET", url)
    assert (status, ready.status) == (503, 503)
    assert float(headers[b"retry-after"]) > 0


async def test_non_idempotent_request_is_not_sent_again_after_a_lost_connection(
    small_rig,
):
    async with small_rig(desk=close_without_answer, spare=answer_whole) as rig:
        rig.store.delete("servers", "desk-2")
        await rig.until(lambda: "desk-2" not in rig.gateways[0].state.servers.known)
        rig.register("desk-2", "desk", Zone="west")
        status, headers, _ = await rig.send("/book/a", "POST", b"x")
    assert status == 502
    assert b"retry-after" not in headers
    assert (
        len(rig.servers["desk-1"].requests) + len(rig.servers["desk-2"].requests) == 1
    )


async def test_idempotent_request_is_sent_again_after_a_lost_connection(small_rig):
    async with small_rig(desk=close_without_answer, spare=answer_whole) as rig:
        answers = [await rig.send("/read/a") for _ in range(6)]
    assert [status for status, _, _ in answers] == [200] * 6


async def test_retries_of_a_split_route_use_the_share_of_the_service_they_go_to(
    start_rig,
):
    async with start_rig() as rig:
        for name in ("spare-1", "spare-2"):
            await rig.add_server(name, "spare", close_without_answer)
        await rig.add_agent("agent-1")
        await rig.add_gateway(retry_ratio=0.0, retry_fixed=24)
        for number in range(12):
            await rig.send(f"/other/{number}")
            await rig.send(f"/split/{number}")
    arrivals = sum(len(server.requests) for server in rig.servers.values())
    assert arrivals - 24 <= 24 / MIN_GATEWAYS


async def test_gateway_that_has_not_counted_the_others_repeats_as_one_of_three(
    start_rig, monkeypatch
):
    list_collection = ObjectStore.list

    async def list_no_routers(store, collection):
        if collection == ROUTERS:
            raise StoreUnavailable("No answer.")
        return await list_collection(store, collection)

    monkeypatch.setattr(ObjectStore, "list", list_no_routers)
    async with start_rig() as rig:
        for name in ("desk-1", "desk-2"):
            await rig.add_server(name, "desk", close_without_answer)
        await rig.add_agent("agent-1")
        await rig.add_gateway(retry_ratio=0.0, retry_fixed=24)
        for number in range(12):
            await rig.send(f"/read/{number}")
    arrivals = sum(len(server.requests) for server in rig.servers.values())
    assert arrivals == 12


async def test_refused_request_goes_to_another_server(small_rig):
    async with small_rig(desk=refuse, spare=answer_whole) as rig:
        answers = [await rig.send("/book/a", "POST", b"x") for _ in range(6)]
    assert [status for status, _, _ in answers] == [200] * 6


async def test_refusal_by_all_servers_says_when_to_retry(small_rig):
    async with small_rig(desk=refuse) as rig:
        status, headers, _ = await rig.send("/book/a", "POST", b"x")
    assert status == 503
    assert 0 < float(headers[b"retry-after"]) < 5


async def test_answer_to_another_request_is_never_forwarded(small_rig):
    async with small_rig(desk=answer_of_another) as rig:
        status, _, body = await rig.send("/book/a", "POST", b"x")
    assert status == 502
    assert b"nope" not in body


async def test_refusal_of_another_request_does_not_let_a_request_run_twice(small_rig):
    async with small_rig(desk=refuse_another, spare=refuse_another) as rig:
        status, _, _ = await rig.send("/book/a", "POST", b"x")
    sends = sum(len(rig.servers[name].requests) for name in ("desk-1", "desk-2"))
    assert (status, sends) == (502, 1)


CHUNKED = {"Transfer_Encoding": "chunked"}
BLOCK = b"a" * 10_000
ENDLESS = {
    "no answer": repeat_without_end(b"", BLOCK),
    "no answer, slowly": repeat_without_end(b"", b"a", interval_s=0.05),
    "header": repeat_without_end(b"HTTP/1.1 200 OK\r\nX: ", BLOCK),
    "header, slowly": repeat_without_end(
        b"HTTP/1.1 200 OK\r\nX: ", b"a", interval_s=0.05
    ),
    "headers": repeat_without_end(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 1_000),
    "informational": repeat_without_end(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 400),
    "body": repeat_without_end(b"", chunk(BLOCK), headers=CHUNKED),
    "body without length": repeat_without_end(b"", BLOCK, headers={}),
    "body without length, slowly": repeat_without_end(
        b"", b"a", interval_s=0.05, headers={}
    ),
    "chunk without end": repeat_without_end(b"fffffff0\r\n", BLOCK, headers=CHUNKED),
    "blank lines": repeat_without_end(b"", chunk(b"\n\n" * 400), headers=CHUNKED),
    "events without ids": repeat_without_end(
        b"", chunk(b"data: aaaa\n\n" * 400), headers=CHUNKED
    ),
    "one event again": repeat_without_end(
        chunk(event(1)), chunk(event(1) * 400), headers=CHUNKED
    ),
}
# A whole body that is read before it is sent, and what socket buffers hold.
MAX_ENDLESS_BYTES = 25_000_000


@pytest.mark.parametrize("name", ENDLESS)
@pytest.mark.parametrize("path", ["/book/a", "/long/a"])
async def test_bytes_without_end_are_cut_off_and_do_not_reach_the_caller(
    small_rig, name, path
):
    async with small_rig(desk=ENDLESS[name], pool=ENDLESS[name]) as rig:
        started_at = anyio.current_time()
        try:
            if path == "/book/a":
                status, _, body = await rig.send(path, "POST", b"x")
            else:
                status, _, body = await rig.send_chat(path)
        except httpcore.RemoteProtocolError:
            status, body = 502, b""
        assert anyio.current_time() - started_at < 1.9
        assert status in (502, 504)
        assert b"aaaa" not in body
        server = rig.servers["desk-1" if path == "/book/a" else "pool-1"]
        request = server.requests[0]
        await rig.until(lambda: request.caller_left)
        assert request.sent_bytes < MAX_ENDLESS_BYTES
        assert rig.gateways[0].failures(server.server_id) >= 1


async def test_event_before_bytes_that_are_no_event_is_not_lost(small_rig):
    garbled = repeat_without_end(
        chunk(event(1) + event(2) + BLOCK + b"\n\n"), BLOCK, headers=CHUNKED
    )
    async with small_rig(pool=garbled, spare=stream_events(1, 6)) as rig:
        answers = [
            await rig.send_chat(f"/chat/{n}", Pistachiowell_Prefix_Hash=f"{n:x}:100")
            for n in range(12)
        ]
    whole = b"".join(map(event, range(1, 7)))
    assert rig.servers["pool-1"].requests
    assert [body for _, _, body in answers] == [whole] * 12


async def test_resumable_stream_goes_on_at_another_server(small_rig):
    truncated = stream_events(1, 3, truncated=True)
    async with small_rig(pool=truncated, spare=stream_events(1, 6)) as rig:
        answers = [await rig.send_chat() for _ in range(4)]
    whole = b"".join(map(event, range(1, 7)))
    assert [body for _, _, body in answers] == [whole] * 4


async def test_truncated_stream_that_may_not_be_resumed_does_not_look_complete(
    small_rig,
):
    async with small_rig(pool=stream_events(1, 3, truncated=True)) as rig:
        with pytest.raises(httpcore.RemoteProtocolError):
            await rig.send_chat("/long/x")


async def test_connections_are_used_again(small_rig):
    async with small_rig() as rig:
        for _ in range(5):
            await rig.send("/read/a")
        assert rig.gateways[0].opened_connections == 1


async def test_leaving_server_gets_no_work(small_rig):
    async with small_rig(spare=answer_whole) as rig:
        rig.register("desk-1", "desk", state="draining")
        registry = rig.gateways[0].state.servers
        await rig.until(lambda: registry.known["desk-1"].is_leaving)
        for _ in range(5):
            await rig.send("/read/a")
    assert not rig.servers["desk-1"].requests


async def test_foreign_registrations_name_no_server(small_rig):
    async with small_rig() as rig:
        rig.store.put("servers", "odd-1", {"Service": "desk", "State": 3})
        rig.store.put("servers", "odd-2", "bytes")
        rig.store.put("servers", "odd-3", {"Service": "desk", "State": "lost"})
        await anyio.sleep(0.1)
        answers = [await rig.send("/read/a") for _ in range(5)]
    assert [status for status, _, _ in answers] == [200] * 5


async def test_removed_key_is_refused_and_an_older_configuration_is_not_applied(
    small_rig,
):
    async with small_rig() as rig:
        state = rig.gateways[0].state
        rig.store.put("config", "main", configuration(5, keys=("k-two",)))
        await rig.until_revision(state, 5)
        assert (await rig.send("/read/a"))[0] == 401
        rig.store.put("config", "main", configuration(4))
        await anyio.sleep(0.1)
        assert state.catalog.revision == 5


async def test_history_that_is_gone_is_listed_again(small_rig):
    async with small_rig() as rig:
        rig.store.discard_history()
        rig.store.put("config", "main", configuration(9))
        await rig.until_revision(rig.gateways[0].state, 9)


async def test_gateway_without_the_store_gets_the_configuration_from_an_agent(
    start_rig,
):
    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk")
        await rig.add_agent("agent-1")
        gateway = await rig.add_gateway()
        agent_state = rig.agent_state("agent-1")
        gateway.state.catalog = None
        rig.store.put("config", "main", configuration(7))
        await rig.until_revision(agent_state, 7)
        await rig.until_revision(gateway.state, 7)


async def test_unreadable_configuration_of_an_agent_harms_nothing(
    start_rig, monkeypatch
):
    monkeypatch.setattr(zlib, "compress", lambda raw, level: raw)
    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk")
        await rig.add_agent("agent-1")
        gateway = await rig.add_gateway()
        gateway.state.catalog = None
        # The next heartbeat makes the gateway fetch the configuration of the agent.
        await anyio.sleep(0.8)
        rig.store.put("config", "main", configuration(7))
        await rig.until(lambda: gateway.state.catalog is not None)
        assert (await rig.send("/read/a"))[0] == 200


async def test_caller_who_leaves_ends_the_work_at_the_server(small_rig):
    arrived, disconnected = anyio.Event(), anyio.Event()

    async def wait_for_disconnect(request, stream):
        arrived.set()
        try:
            await stream.receive()
        except anyio.EndOfStream:
            disconnected.set()
        return False

    async with small_rig(desk=wait_for_disconnect) as rig:
        async with anyio.create_task_group() as caller:
            caller.start_soon(rig.send, "/read/a")
            # Not before: a late loop would leave a request that was never sent.
            await arrived.wait()
            caller.cancel_scope.cancel()
        with anyio.fail_after(1.0):
            await disconnected.wait()


@pytest.mark.parametrize(
    ("last", "truncated", "is_whole"),
    [(3, False, True), (3, True, False), (0, True, False), (0, False, False)],
)
async def test_stream_that_ends_with_its_connection_looks_whole(
    small_rig, last, truncated, is_whole
):
    script = stream_events(1, last, truncated=truncated, framed=False)
    async with small_rig(pool=script) as rig:
        status, body = 0, b""
        with suppress(httpcore.RemoteProtocolError):
            status, _, body = await rig.send_chat("/long/x")
        assert (status == 200) is is_whole
        assert not is_whole or body == b"".join(map(event, range(1, last + 1)))


async def test_stream_that_ends_with_its_connection_is_continued_within_an_event(
    small_rig,
):
    script = stream_events(1, 2, truncated=True, framed=False)
    async with small_rig(pool=script, spare=stream_events(1, 4)) as rig:
        for _ in range(4):
            status, _, body = await rig.send_chat()
            assert (status, body) == (200, b"".join(map(event, range(1, 5))))


async def test_request_ends_at_its_deadline(small_rig):
    async def never_answer(request, stream):
        await anyio.sleep_forever()

    async with small_rig(desk=never_answer) as rig:
        started = anyio.current_time()
        status, _, _ = await rig.send("/book/a", Pistachiowell_Deadline_Ms="300")
        assert status == 504
        assert 0.25 < anyio.current_time() - started < 0.8


async def test_request_whose_body_stalls_has_no_answer_at_its_timeout(small_rig):
    async with small_rig() as rig:
        host, _, port = rig.address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            started = anyio.current_time()
            await stream.send(
                b"POST /book/a HTTP/1.1\r\nHost: shop.example\r\nApi-Key: k-one\r\n"
                b"Pistachiowell-Attempt-Id: stalled\r\nContent-Length: 10\r\n\r\nhalf"
            )
            with anyio.fail_after(3.0):
                answer = await stream.receive()
            # The timeout of the route is 2 s.
            assert 1.9 < anyio.current_time() - started < 2.5
            assert answer.startswith(b"HTTP/1.1 408 ")
            assert b'"body_timeout"' in answer
            with anyio.fail_after(1.0), pytest.raises(anyio.EndOfStream):
                while True:
                    await stream.receive()
    assert not rig.servers["desk-1"].requests


async def test_answers_of_a_leaving_gateway_close_their_connections(small_rig):
    async with small_rig() as rig:
        rig.gateways[0].begin_leaving()
        assert not rig.gateways[0].state.is_ready
        status, headers, _ = await rig.send("/read/a")
    assert (status, headers[b"connection"]) == (200, b"close")


async def test_gateway_leaves_the_configuration_to_agents_while_enough_follow_it(
    small_rig, monkeypatch
):
    monkeypatch.setattr(store_fallback, "MIN_AGENTS_STABLE_S", 0.3)
    async with small_rig() as rig:
        gateway = rig.gateways[0]
        for name in ("agent-2", "agent-3"):
            await rig.add_agent(name)
        await rig.until(lambda: not gateway.follows_store)
        rig.store.put("config", "main", configuration(5))
        await rig.until_revision(gateway.state, 5)
        rig.kill("agent-2")
        await rig.until(lambda: gateway.follows_store)
        rig.store.put("config", "main", configuration(6))
        await rig.until_revision(gateway.state, 6)
