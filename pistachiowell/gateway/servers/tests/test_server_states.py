"""The state of a server, from what it has said, its limit and its silence."""

from types import SimpleNamespace

import pytest

from pistachiowell.admission import ClosedBy, Incarnation
from pistachiowell.catalog import BackendServer
from pistachiowell.core.metrics import Metrics
from pistachiowell.gateway.servers.closed_servers import ClosedServers
from pistachiowell.gateway.servers.server_states import ServerStates
from pistachiowell.platform.headers import read_answer_head


def make_server(name):
    return BackendServer(name, "desk", "127.0.0.1", 80, "east", "v1", 1, False)


SERVERS = [make_server(f"s{number}") for number in range(7)]
PAUSE = read_answer_head(503, [(b"Retry-After", b"2.5")])


@pytest.fixture
def rig():
    """Returns states of seven servers and what closes them."""
    runtime = SimpleNamespace(now=lambda: 5.0, metrics=Metrics())
    closed, silent, full = ClosedServers(runtime), set(), {}
    evacuated = set()

    def wait_s(server, rank):
        pause_s = closed.wait_s(Incarnation(server.id, server.started_ms))
        return max(pause_s, full.get((server.id, rank), 0.0))

    limits = SimpleNamespace(wait_s=wait_s)
    silence = SimpleNamespace(is_answering=lambda name: name not in silent)
    known = {server.id: server for server in SERVERS}
    state = SimpleNamespace(servers=SimpleNamespace(known=known))
    places = SimpleNamespace(is_evacuated=lambda server: server.id in evacuated)
    states = ServerStates(runtime, state, closed, limits, silence, places)
    return SimpleNamespace(
        states=states,
        closed=closed,
        evacuated=evacuated,
        silent=silent,
        full=full,
        runtime=runtime,
    )


def test_state_names_the_strongest_reason(rig):
    server = SERVERS[0]
    assert rig.states.of(server).closed_by is None
    rig.silent.add("s0")
    assert rig.states.of(server).closed_by is ClosedBy.silence
    rig.full["s0", 1] = 0.4
    assert rig.states.of(server, 1).closed_by is ClosedBy.limit
    assert rig.states.of(server, 0).closed_by is ClosedBy.silence
    rig.evacuated.add("s0")
    assert rig.states.of(server, 1).closed_by is ClosedBy.evacuation
    rig.evacuated.clear()
    rig.closed.record_answer(Incarnation("s0", server.started_ms), PAUSE, "r1")
    assert str(rig.states.of(server, 1)) == "pause for 2.5 s"
    rig.closed.record_leaving(Incarnation("s0", server.started_ms))
    assert str(rig.states.of(server, 1)) == "leaving"


def test_states_of_many_servers_are_told_in_few_words(rig):
    rig.silent.add("s1")
    text = rig.states.describe(SERVERS)
    assert text == "s0: open, s1: silence, s2: open, s3: open, s4: open, 2 more"
    assert rig.runtime.metrics.values["servers.now.silence"] == 1
