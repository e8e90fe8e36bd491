"""Servers that a second attempt may go to.

Guards against hedges at a server against which anything speaks.
"""

from random import Random
from types import SimpleNamespace

import pytest

from pistachiowell.catalog import BackendServer
from pistachiowell.gateway.connections.exchange import NotConnected
from pistachiowell.gateway.selection.selection import Selection
from pistachiowell.gateway.selection.selection_parts import SelectionSources

SERVERS = [
    BackendServer(f"s{number}", "desk", "127.0.0.1", 80 + number, "east", slots=4)
    for number in range(3)
]
REQUEST = SimpleNamespace(
    service=SimpleNamespace(engine=None), prompt=None, fingerprint="f"
)


@pytest.fixture
def rig():
    """A ``Selection`` of three servers and sets of ids that speak against some."""
    doubted, silent, limited, full, cold = set(), set(), set(), set(), set()
    servers = {server.id: server for server in SERVERS}
    sources = SelectionSources(
        servers=SimpleNamespace(
            available_servers=lambda service, now: servers.values()
        ),
        moves=SimpleNamespace(
            filter_servers=lambda service, servers: servers,
            record_start=lambda service, server, now: None,
            record_end=lambda *arguments: None,
        ),
        silence=SimpleNamespace(
            usable=lambda names, now: names,
            is_answering=lambda name: name not in silent,
            is_doubted=lambda name: name in doubted,
        ),
        limits=SimpleNamespace(
            accepting=lambda servers, request: list(servers),
            with_room=lambda servers, rank: [s for s in servers if s.id not in full],
            is_limited=lambda server: server.id in limited,
            is_cold=lambda server: server.id in cold,
        ),
        places=None,
        states=None,
    )
    settings = SimpleNamespace(data_centre="east", uneven_servers=False)
    selection = Selection(sources, settings, Random(1), lambda: 100.0)
    sets = {
        "doubted": doubted,
        "silent": silent,
        "limited": limited,
        "full": full,
        "cold": cold,
    }
    return SimpleNamespace(selection=selection, servers=servers, sets=sets)


def send(rig, name, error=None, *, ends=True):
    """Sends a request to one server only, which may end with an error."""
    choice = rig.selection.choose(
        REQUEST, "desk", set(rig.servers) - {name}, (), rank=0
    )
    assert choice.server.id == name
    attempt = rig.selection.start_attempt(REQUEST, "desk", choice)
    if ends:
        attempt.record_end(error, lambda fingerprint, server: False)


def choose(rig):
    choice = rig.selection.choose_hedge(REQUEST, "desk", {"s0"}, 0, 0.5)
    return choice and choice.server.id


@pytest.mark.parametrize("name", ["doubted", "silent", "limited", "full", "cold"])
def test_hedge_goes_to_a_server_that_something_speaks_against(rig, name):
    rig.sets[name].add("s1")
    assert {choose(rig) for _ in range(20)} == {"s2"}
    rig.sets[name].add("s2")
    assert choose(rig) is None


def test_hedge_goes_to_a_server_that_refused_a_connection(rig):
    send(rig, "s1", NotConnected("refused", ran="no"))
    assert {choose(rig) for _ in range(20)} == {"s2"}


def test_hedge_goes_to_a_server_with_half_of_its_slots_in_use(rig):
    for _ in range(2):
        send(rig, "s1", ends=False)
    assert {choose(rig) for _ in range(20)} == {"s2"}
