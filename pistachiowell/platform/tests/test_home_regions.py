"""Requests that leave the home regions of their route or account."""

from contextlib import asynccontextmanager

import pytest

from pistachiowell.platform.standins import close_without_answer, stream_events
from pistachiowell.platform.tests.conftest import configuration

pytestmark = pytest.mark.anyio

SETTINGS = {"regions": {"east": "south", "west": "north", "mid": "south"}}


@asynccontextmanager
async def home_rig(start_rig, routes=None, accounts=None, **settings):
    """Yields a rig whose routes and accounts have home regions."""
    async with start_rig() as rig:
        document = configuration(2)
        for route in document["Routes"]:
            route["HomeRegions"] = routes
        for account in document["Tenants"]:
            account["HomeRegions"] = accounts
        rig.store.put("config", "main", document)
        await rig.add_server("a-1", "desk", Zone="east")
        await rig.add_server("b-1", "desk", Zone="west")
        await rig.add_gateway(**{**SETTINGS, **settings})
        yield rig


async def served_by(rig, count=12):
    """Returns the servers that have got some requests."""
    for _ in range(count):
        assert (await rig.send("/read/x"))[0] == 200
    return {name for name, server in rig.servers.items() if server.requests}


@pytest.mark.parametrize(
    ("routes", "accounts"),
    [(["north"], None), (None, ["north"]), (["north", "south"], ["north"])],
)
async def test_request_is_sent_to_a_nearer_server_abroad(start_rig, routes, accounts):
    async with home_rig(start_rig, routes, accounts) as rig:
        assert await served_by(rig) == {"b-1"}


async def test_retry_is_sent_abroad(start_rig):
    async with home_rig(start_rig, ["south"]) as rig:
        rig.servers["a-1"].script = close_without_answer
        assert (await rig.send("/read/x"))[0] >= 500
        assert len(rig.servers["a-1"].requests) == 2
        assert not rig.servers["b-1"].requests


async def test_stream_goes_on_abroad(start_rig):
    async with home_rig(start_rig, None, ["south"]) as rig:
        broken, whole = stream_events(1, 2, truncated=True), stream_events(1, 4)
        await rig.add_server("c-1", "pool", broken, Zone="east")
        await rig.add_server("d-1", "pool", whole, Zone="west")
        await rig.add_server("e-1", "pool", whole, Zone="mid")
        await rig.add_agent("agent-1")
        registry = rig.gateways[0].state.servers
        await rig.until(lambda: len(registry.known) == 5)
        for _ in range(6):
            status, _, body = await rig.send_chat()
            assert (status, body.count(b"id: ")) == (200, 4)
        assert not rig.servers["d-1"].requests


@pytest.mark.parametrize(
    ("routes", "accounts", "named"),
    [(["west coast"], None, b"west coast"), (["north"], ["south"], b"none")],
)
async def test_refusal_without_a_server_at_home_tells_no_cause_or_time(
    start_rig, routes, accounts, named
):
    async with home_rig(start_rig, routes, accounts) as rig:
        status, headers, body = await rig.send("/read/x")
        assert status == 503
        assert float(headers[b"retry-after"]) > 0
        assert b"home regions" in body
        assert named in body
        assert not any(server.requests for server in rig.servers.values())


@pytest.mark.parametrize(
    ("routes", "regions"),
    [(None, SETTINGS["regions"]), ([], SETTINGS["regions"]), (["south"], {})],
)
async def test_what_has_no_home_is_restricted(start_rig, routes, regions):
    async with home_rig(start_rig, routes, regions=regions) as rig:
        rig.store.delete("servers", "a-1")
        registry = rig.gateways[0].state.servers
        await rig.until(lambda: "a-1" not in registry.known)
        assert await served_by(rig, 2) == {"b-1"}
