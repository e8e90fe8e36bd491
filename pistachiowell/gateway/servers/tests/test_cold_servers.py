"""Guards against servers whose coldness a gateway does not know of."""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.admission import Incarnation
from pistachiowell.catalog import BackendServer, Evacuations, Service
from pistachiowell.core.metrics import Metrics
from pistachiowell.gateway.servers import cold_servers
from pistachiowell.gateway.servers.cold_reports import ColdReports
from pistachiowell.gateway.servers.cold_servers import ColdServers, encode_cold
from pistachiowell.gateway.servers.server_limits import ServerLimits
from pistachiowell.platform.headers import read_answer_head
from pistachiowell.wire import AcknowledgedReports, Handlers, LinkSet
from pistachiowell.wire.tests.lossy_links import LossyLink

WALL_S = 1_000_000.0


def server(started_s=0.0, cold_left_s=None):
    """Returns a server that started at a Unix time."""
    more = {"started_ms": int(started_s * 1000), "cold_left_s": cold_left_s}
    return BackendServer("d1", "desk", "10.0.0.1", 80, "east", **more)


@pytest.fixture
def clock():
    """Returns a monotonic and a wall clock that a test sets by ``now_s``."""
    clock = SimpleNamespace(now_s=100.0)
    clock.now = lambda: clock.now_s
    clock.wall = lambda: WALL_S + clock.now_s
    return clock


@pytest.fixture
def state():
    services = {"desk": Service("desk", 50, cold_s=3.0, cold_per_s=12.0)}
    return SimpleNamespace(
        catalog=SimpleNamespace(services=services),
        evacuations=Evacuations(is_used=True),
        has_servers=True,
        servers=SimpleNamespace(known={}),
    )


@pytest.fixture
def cold(clock, state):
    settings = SimpleNamespace(id="g1", cold_overshoot=1.5, cold_extra=5.0)
    runtime = SimpleNamespace(now=clock.now, metrics=Metrics(), settings=settings)
    return ColdServers(runtime, state, clock.wall)


def test_new_run_of_a_server_counts_as_warm(cold, clock):
    cold.record_registration(server(clock.wall()))
    assert cold.left_s(server(clock.wall())) == 3.0
    assert cold.shares(server(clock.wall())).agent_per_s > 8
    warm = server(clock.wall() - 3600)
    cold.record_registration(warm)
    assert not cold.is_cold(warm)


def test_first_list_makes_all_servers_cold(cold, clock, state):
    state.has_servers = False
    for started_s in (0.0, clock.wall() - 20):
        cold.record_registration(server(started_s))
        assert not cold.is_cold(server(started_s))
    started = server(clock.wall() - 2)
    cold.record_registration(started)
    assert cold.left_s(started) == 2.0


def test_registration_is_counted_from_its_writing(cold, clock):
    cold.record_registration(server(cold_left_s=2.0))
    clock.now_s += 5.0
    cold.record_registration(server(cold_left_s=2.0))
    assert cold.left_s(server()) == 2.0
    clock.now_s += 1.5
    cold.record_registration(server(cold_left_s=0.0))
    assert not cold.is_cold(server())


def test_servers_of_a_data_centre_are_warm_at_the_end_of_its_evacuation(
    cold, clock, state
):
    state.evacuations.apply({"east"}, (1, 7), 90.0)
    state.evacuations.apply((), (1, 8), 100.0)
    # This registration may have been written before the end.
    cold.record_registration(server(WALL_S - 900, 0.0))
    assert cold.left_s(server(WALL_S - 900)) == 3.0
    clock.now_s += 1.2
    cold.record_registration(server(WALL_S - 900, 0.0))
    assert not cold.is_cold(server(WALL_S - 900))


def test_older_copy_of_the_store_ends_the_time_that_a_server_is_cold(cold, clock):
    cold.record_registration(server(WALL_S - 900, 5.0))
    clock.now_s += 2.0
    cold.record_registration(server(WALL_S - 900, 0.0), is_older=True)
    assert cold.left_s(server(WALL_S - 900)) == 3.0


def test_deployment_without_a_bound_has_cold_servers(clock, state):
    settings = SimpleNamespace(id="g1", cold_overshoot=1.5, cold_extra=-1.0)
    runtime = SimpleNamespace(now=clock.now, metrics=Metrics(), settings=settings)
    cold = ColdServers(runtime, state, clock.wall)
    cold.record_registration(server(cold_left_s=2.0))
    assert cold.shares(server()) is None
    assert not cold.needs_permit(server(), 5.0)


def test_request_that_waited_is_sent_to_a_server_that_became_cold(cold, clock):
    assert not cold.needs_permit(server(), 5.0)
    cold.record_registration(server(WALL_S - 900, 2.0))
    became_cold = server(WALL_S - 900)
    assert cold.needs_permit(became_cold, 0.01)
    clock.now_s += 0.5
    assert not cold.needs_permit(became_cold, 0.05)
    assert cold.needs_permit(became_cold, 0.15)


def test_odd_times_are_logged_each_time(cold, monkeypatch):
    lines = []
    log = SimpleNamespace(warning=lambda text, **fields: lines.append(fields))
    monkeypatch.setattr(cold_servers, "_log", log)
    for value in (b"soon", b"-5", b"nan", b"999999999"):
        head = read_answer_head(200, [(b"Pistachiowell-Cold-Ms", value)])
        assert not cold.record_answer(Incarnation("d1"), head)
    assert not cold.is_cold(server())
    assert [fields["server"] for fields in lines] == ["d1"]


@pytest.mark.anyio
async def test_servers_that_are_cold_together_are_told_one_by_one(cold, clock):
    # A gateway that is cut off from the store hears of them from the agents only.
    sent, run = [], (WALL_S - 900) * 1000
    acknowledged = SimpleNamespace(
        broadcast=lambda message, renew: sent.append(message),
        on=lambda message_class: lambda function: function,
    )
    reports = ColdReports(SimpleNamespace(now=clock.now), acknowledged, cold)
    for left_s in (2.0, 1.9):
        cold.record_registration(server(WALL_S - 900, left_s))
    cold.record_told(encode_cold({Incarnation("d2"): 1.0}))
    with anyio.move_on_after(0.3):
        await reports.run()
    told = {Incarnation("d1", int(run)): 2.0, Incarnation("d2"): 1.0}
    assert sent == [encode_cold(told)]
    # What comes back from another agent is no news.
    cold.record_told(sent[0])
    with anyio.move_on_after(0.3):
        await reports.run()
    assert len(sent) == 1


@pytest.fixture
def links():
    """Returns the links of a process to its peers."""
    return LinkSet()


@pytest.fixture
def acknowledged(clock, links):
    runtime = SimpleNamespace(now=clock.now, metrics=Metrics())
    return AcknowledgedReports(runtime, links, Handlers())


@pytest.mark.anyio
async def test_gateway_never_hears_of_a_cold_server_as_its_link_is_lost(
    cold, clock, links, acknowledged
):
    reports = ColdReports(SimpleNamespace(now=clock.now), acknowledged, cold)
    lost = LossyLink("gateway-1")
    links.add(lost)
    cold.record_registration(server(WALL_S - 900, 2.0))
    with anyio.move_on_after(0.3):
        await reports.run()
    lost.lose()
    clock.now_s += 0.5
    link = LossyLink("gateway-1")
    links.add(link)
    [first], [again] = lost.sent, link.sent
    assert again.number == first.number
    assert [told.left_s for told in again.servers] == [1.5]
    link.lose()
    clock.now_s += 1.5
    late = LossyLink("gateway-1")
    links.add(late)
    assert not late.sent


def test_agent_never_hears_of_a_cold_server_as_its_link_is_lost(
    cold, clock, links, acknowledged
):
    lost = LossyLink("agent-1")
    links.add(lost)
    agent = SimpleNamespace(link=lost, usable=True)
    fleet = SimpleNamespace(agents={"agent-1": agent})
    runtime = SimpleNamespace(now=clock.now, metrics=Metrics())
    limits = ServerLimits(
        runtime, fleet, None, None, cold, Handlers(), acknowledged, int, None
    )
    head = read_answer_head(200, [(b"Pistachiowell-Cold-Ms", b"2000")])
    limits.record_answer(server(), head, clock.now())
    lost.lose()
    link = LossyLink("agent-1")
    links.add(link)
    assert link.sent == lost.sent
    assert [told.left_s for told in link.sent[0].servers] == [2.0]
