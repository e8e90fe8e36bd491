"""Requests and probes that reach the servers of an evacuated data centre."""

import anyio
import httpcore
import pytest

from pistachiowell.gateway.connections import exchange
from pistachiowell.gateway.feeds import store_fallback
from pistachiowell.gateway.servers.silence_probes import PROBE_TIMEOUT_S
from pistachiowell.platform.standins import (
    answer_whole,
    close_without_answer,
    stream_events,
)

pytestmark = pytest.mark.anyio

SETTINGS = {"evacuation_ms": 5000, "regions": {"east": "south", "west": "south"}}
AGENTS = 3
# Requests without an answer have a server probed within this time.
MAX_PROBE_S = 15.0


async def add_servers(rig, service="desk", script=answer_whole):
    """Adds one server in each of two data centres; the first is near the gateway."""
    await rig.add_server("a-1", service, script, Zone="east")
    await rig.add_server("b-1", service, Zone="west")


async def add_linked_gateway(rig, *, has_entry=False):
    """Adds agents, of which one may be cut off, and a gateway that relies on them."""
    for number in range(AGENTS):
        is_cut = has_entry and not number
        await rig.add_agent(f"agent-{number}", has_entry=is_cut, **SETTINGS)
    return await rig.add_gateway(**SETTINGS)


def evacuated(gateway):
    """Returns the data centres that a gateway sends nothing to."""
    return gateway.state.evacuations.in_force(anyio.current_time())


async def test_evacuated_data_centre_gets_requests(start_rig):
    async with start_rig() as rig:
        await add_servers(rig)
        gateway = await add_linked_gateway(rig)
        rig.store.put("evacuations", "east", {})
        await rig.until(lambda: evacuated(gateway), timeout_s=2.0)
        for _ in range(5):
            assert (await rig.send("/read/x"))[0] == 200
        assert not rig.servers["a-1"].requests
        rig.store.delete("evacuations", "east")
        await rig.until(lambda: not evacuated(gateway), timeout_s=2.0)


@pytest.mark.parametrize("gateways", [1, 5])
async def test_evacuation_is_learned_from_the_store_only(
    start_rig, monkeypatch, gateways
):
    # Each gateway would watch the evacuations by itself, and calls grow with the fleet.
    monkeypatch.setattr(store_fallback, "MIN_AGENTS_STABLE_S", 0.2)
    async with start_rig() as rig:
        await add_servers(rig)
        await add_linked_gateway(rig)
        for number in range(1, gateways):
            await rig.add_gateway(f"other-{number}", **SETTINGS)
        await anyio.sleep(1.0)
        before = rig.store.calls
        rig.store.put("evacuations", "east", "no object")
        for gateway in rig.gateways:
            await rig.until(lambda g=gateway: evacuated(g), timeout_s=2.0)
        await anyio.sleep(0.5)
        calls = rig.store.call_log[before:]
    assert sum("evacuations" in call for call in calls) <= 2 * AGENTS


async def test_agent_that_is_cut_off_ends_an_evacuation(start_rig, monkeypatch):
    monkeypatch.setattr(store_fallback, "MIN_AGENTS_STABLE_S", 0.2)
    async with start_rig() as rig:
        await add_servers(rig)
        gateway = await add_linked_gateway(rig, has_entry=True)
        await anyio.sleep(1.0)
        rig.cut_from_store("agent-0")
        rig.store.put("evacuations", "east", {})
        await rig.until(lambda: evacuated(gateway), timeout_s=2.0)
        # Reports of the agent that is cut off go on meanwhile.
        for _ in range(20):
            await anyio.sleep(0.05)
            assert evacuated(gateway)


async def test_gateway_serves_before_it_knows_the_evacuations(start_rig):
    async with start_rig() as rig:
        await add_servers(rig)
        rig.store.put("evacuations", "east", {})
        rig.store.missing_kinds = {"evacuations"}
        gateway = await rig.add_gateway(ready=False, **SETTINGS)
        await rig.until(lambda: gateway.state.catalog and gateway.state.has_servers)
        assert not gateway.state.is_ready
        status, headers, _ = await rig.send("/read/x")
        assert status == 503
        assert 0 < float(headers[b"retry-after"]) <= 1.0
        rig.store.missing_kinds = set()
        await rig.until(lambda: gateway.state.is_ready)
        assert (await rig.send("/read/x"))[0] == 200
        assert not rig.servers["a-1"].requests


async def test_request_that_waited_for_its_connection_is_sent(start_rig, monkeypatch):
    async with start_rig() as rig:
        await add_servers(rig)
        gateway = await rig.add_gateway(**SETTINGS)
        opened, may_go_on = anyio.Event(), anyio.Event()
        opens = exchange.Exchange.open

        async def open_slowly(self):
            await opens(self)
            if self.server.id == "a-1":
                opened.set()
                await may_go_on.wait()

        monkeypatch.setattr(exchange.Exchange, "open", open_slowly)

        async def evacuate():
            await opened.wait()
            rig.store.put("evacuations", "east", {})
            await rig.until(lambda: evacuated(gateway))
            may_go_on.set()

        async with anyio.create_task_group() as group:
            group.start_soon(evacuate)
            assert (await rig.send("/book/x", "POST", b"seat"))[0] == 200
        assert not rig.servers["a-1"].requests
        assert len(rig.servers["b-1"].requests) == 1


async def test_retry_goes_to_the_evacuated_data_centre(start_rig):
    async with start_rig() as rig:
        gateway = None

        async def fail_after_evacuation(request, stream):
            rig.store.put("evacuations", "west", {})
            await rig.until(lambda: evacuated(gateway))
            return await close_without_answer(request, stream)

        await add_servers(rig, script=fail_after_evacuation)
        gateway = await rig.add_gateway(**SETTINGS)
        await rig.send("/read/x")
        assert rig.servers["a-1"].requests
        assert not rig.servers["b-1"].requests


async def test_stream_goes_on_in_the_evacuated_data_centre(start_rig):
    async with start_rig() as rig:
        gateway = None

        async def break_after_evacuation(request, stream):
            rig.store.put("evacuations", "west", {})
            await rig.until(lambda: evacuated(gateway))
            return await stream_events(1, 2, truncated=True)(request, stream)

        await rig.add_server("a-1", "pool", break_after_evacuation, Zone="east")
        await rig.add_server("b-1", "pool", stream_events(1, 4), Zone="west")
        await rig.add_agent("agent-1", **SETTINGS)
        gateway = await rig.add_gateway(**SETTINGS)
        with pytest.raises(httpcore.RemoteProtocolError):
            await rig.send_chat()
        assert rig.servers["a-1"].requests
        assert not rig.servers["b-1"].requests


async def test_refusal_tells_no_time_while_all_servers_are_evacuated(start_rig):
    async with start_rig() as rig:
        await rig.add_server("a-1", "desk", Zone="east")
        rig.store.put("evacuations", "east", {})
        await rig.add_gateway(**SETTINGS)
        status, headers, body = await rig.send("/read/x")
    assert status == 503
    assert float(headers[b"retry-after"]) > 0
    assert b"evacuation" in body


async def test_deployment_without_evacuations_asks_the_store_for_them(start_rig):
    async with start_rig() as rig:
        await rig.add_server("a-1", "desk")
        await rig.add_agent("agent-1", follows_moves=False)
        await rig.add_gateway(follows_moves=False)
        await anyio.sleep(0.5)
        assert (await rig.send("/read/x"))[0] == 200
        assert not [call for call in rig.store.call_log if "evacuations" in call]
        # Neither does one without version moves ask for their orders.
        assert not [call for call in rig.store.call_log if "rollouts" in call]


async def test_silent_server_is_probed_after_its_evacuation(start_rig):
    async def hang(request, stream):
        await anyio.sleep_forever()

    async with start_rig() as rig:
        await add_servers(rig, script=hang)
        server = rig.servers["a-1"]
        gateway = await add_linked_gateway(rig)

        server.health_answer = b""
        async with anyio.create_task_group() as group:
            with anyio.fail_after(MAX_PROBE_S):
                while not server.health_checks:
                    group.start_soon(rig.send, "/read/x")
                    await anyio.sleep(0.05)
        rig.store.put("evacuations", "east", {})
        await rig.until(lambda: evacuated(gateway), timeout_s=2.0)
        await anyio.sleep(0.2)
        checks = len(server.health_checks)
        # A probe that gets no answer is repeated after this time.
        await anyio.sleep(PROBE_TIMEOUT_S + 1.0)
        assert len(server.health_checks) == checks
