"""Load reports between gateways and agents in large fleets.

Guards against processes that spend their time on waking and on heartbeats rather than
on requests, against sums that lack a gateway or count one that has moved on, and
against gateways of another version that do not understand what changed.
"""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.catalog import Evacuations
from pistachiowell.gateway.load.agents import AgentReports
from pistachiowell.gateway.load.load_reports import LoadReporter, encode_load
from pistachiowell.routing import NO_LOAD, EngineLoad
from pistachiowell.schema.generated.messages_gateway import (
    AgentReport,
    EngineShare,
    GatewayLoad,
    LoadChanges,
)
from pistachiowell.wire import Handlers

pytestmark = pytest.mark.anyio

GATEWAYS = 68
IDLE_S = 1.2
HEARTBEATS_PER_S = 2


class FakeLink:
    """Records what is sent to a gateway."""

    closed = False

    def __init__(self, *, reads_load_changes=False):
        self.hello = SimpleNamespace(id="peer", reads_load_changes=reads_load_changes)
        self.sent = []
        self.close_listeners = []

    def send(self, message):
        """Records a message."""
        self.sent.append(message)

    def add_close_listener(self, function):
        """Registers a function to call at the end."""
        self.close_listeners.append(function)

    def close(self):
        """Closes the link."""
        self.closed = True
        for listener in self.close_listeners:
            listener()


@pytest.fixture
def handlers():
    """Returns the handlers of an agent."""
    return Handlers()


@pytest.fixture
def reporter(handlers):
    """Returns a reporter with links to many gateways."""
    settings = SimpleNamespace(report_interval_s=0.1)
    runtime = SimpleNamespace(settings=settings, now=anyio.current_time, leaving=False)
    catalogs = SimpleNamespace(on_change=None, follows_store=True)
    servers = SimpleNamespace(on_change=None, digest=7)
    state = SimpleNamespace(catalog=None, evacuations=Evacuations(is_used=False))
    evacuations = SimpleNamespace(on_change=None, follows_store=False, reported=list)
    return LoadReporter(runtime, state, catalogs, servers, evacuations, handlers)


async def run_for(reporter, seconds):
    """Lets a reporter run for some time."""
    with anyio.move_on_after(seconds):
        await reporter.run()


async def test_idle_agent_builds_reports_for_heartbeats_only(reporter, monkeypatch):
    links = [FakeLink() for _ in range(GATEWAYS)]
    for link in links:
        reporter.add_link(link)
    built = []
    monkeypatch.setattr(
        LoadReporter, "_report", lambda *args: built.append(args) or AgentReport()
    )
    await run_for(reporter, IDLE_S)
    rounds = HEARTBEATS_PER_S * IDLE_S + 2
    assert len(built) <= rounds
    assert all(2 <= len(link.sent) <= rounds for link in links)


async def test_gateways_get_the_sums_of_the_others(reporter, handlers):
    links = [FakeLink() for _ in range(3)]
    for link in links:
        reporter.add_link(link)
    handle = handlers.find(GatewayLoad([]))
    for number, link in enumerate(links, 1):
        load = EngineLoad(100 * number, number, 10 * number)
        await handle(link, GatewayLoad([encode_load("e1:80", load)]))
    await handle(links[0], GatewayLoad([encode_load("e2:80", EngineLoad(7, 1, 9))]))
    await run_for(reporter, 0.05)
    assert links[0].sent[-1].loads == [
        encode_load("e1:80", EngineLoad(500, 5, 50)),
        encode_load("e2:80", NO_LOAD),
    ]
    assert links[2].sent[-1].loads == [
        encode_load("e1:80", EngineLoad(300, 3, 30)),
        encode_load("e2:80", EngineLoad(7, 1, 9)),
    ]


async def test_load_of_a_gateway_that_has_gone_ends(reporter, handlers):
    links = [FakeLink() for _ in range(2)]
    for link in links:
        reporter.add_link(link)
    load = encode_load("e1:80", EngineLoad(50, 1, 60))
    await handlers.find(GatewayLoad([]))(links[0], GatewayLoad([load]))
    await run_for(reporter, 0.05)
    assert links[1].sent[-1].loads == [load]
    links[0].close()
    await run_for(reporter, 0.05)
    assert links[1].sent[-1].loads == [encode_load("e1:80", NO_LOAD)]


async def test_gateway_gets_changes_after_the_whole_state(reporter, handlers):
    old, new = FakeLink(), FakeLink(reads_load_changes=True)
    reporter.add_link(old)
    handle = handlers.find(GatewayLoad([]))
    await handle(old, GatewayLoad([EngineShare("e1:80", 5, 1, 9)]))
    await handle(old, GatewayLoad([EngineShare("e2:80", 7, 2, 8)]))
    reporter.add_link(new)
    await run_for(reporter, 0.05)
    await handle(old, GatewayLoad([EngineShare("e1:80", 0, 1, 9)]))
    await run_for(reporter, 0.05)
    await run_for(reporter, 0.6)
    report, *changes = new.sent
    assert report.loads == []
    assert report.servers_digest == 7
    assert changes[0].whole
    assert sorted(changes[0].engines) == ["e1:80", "e2:80"]
    number = changes[0].engines.index("e1:80")
    assert changes[1:3] == [
        LoadChanges(loads=[number, 0, 1, 9]),
        LoadChanges(),
    ]


async def test_changes_of_a_gateway_count_like_its_loads(reporter, handlers):
    old, new = FakeLink(), FakeLink(reads_load_changes=True)
    for link in (old, new):
        reporter.add_link(link)
    handle = handlers.find(LoadChanges())
    await handle(new, LoadChanges(True, ["e1:80"], [0, 5, 1, 9]))
    await run_for(reporter, 0.05)
    await handle(new, LoadChanges(loads=[0, 0, 1, 9]))
    await run_for(reporter, 0.05)
    assert [m.loads for m in old.sent] == [
        [EngineShare("e1:80", 5, 1, 9)],
        [EngineShare("e1:80", 0, 1, 9)],
    ]
    await handle(new, LoadChanges(loads=[1, 0, 1, 9]))
    assert new.closed
    await run_for(reporter, 0.05)
    assert old.sent[-1].loads == [EngineShare("e1:80")]


class FakeSelection:
    """Records the loads of the others; its own load is that of one request."""

    def __init__(self):
        self.engines = SimpleNamespace(on_change=None)
        self.recorded = []

    def record_remote_loads(self, loads):
        """Records loads by address."""
        self.recorded.append({name: load.running for name, load in loads.items()})


@pytest.fixture
def heartbeats():
    """Returns the arguments of the heartbeats of a gateway's agents."""
    return []


@pytest.fixture
def gateway(handlers, heartbeats):
    """Returns the selection of a gateway that has links to agents."""

    def record_heartbeat(link, *, leaving):
        heartbeats.append(leaving)
        return SimpleNamespace(record=SimpleNamespace(id="agent-1"))

    fleet = SimpleNamespace(agents={}, record_heartbeat=record_heartbeat)
    selection = FakeSelection()
    state = SimpleNamespace(catalog=None)
    AgentReports(None, fleet, state, None, handlers, selection)
    return selection


async def test_heartbeat_renews_loads_and_the_last_report(
    gateway, handlers, heartbeats
):
    link = FakeLink(reads_load_changes=True)
    report, changes = handlers.find(AgentReport()), handlers.find(LoadChanges())
    await changes(link, LoadChanges(True, ["e0:80"], [0, 1, 1, 1]))
    assert not heartbeats
    await report(link, AgentReport(leaving=True))
    await changes(link, LoadChanges(True, ["e1:80", "e2:80"], [0, 5, 3, 9, 1, 0, 0, 0]))
    await changes(link, LoadChanges())
    await changes(link, LoadChanges(loads=[0, 0, 0, 0, 1, 7, 2, 9]))
    assert gateway.recorded == [
        {},
        {"e1:80": 3, "e2:80": 0},
        {"e1:80": 3},
        {"e1:80": 0, "e2:80": 2},
    ]
    assert heartbeats == [True] * 4


async def test_changes_that_do_not_fit_close_the_link(gateway, handlers):
    link = FakeLink(reads_load_changes=True)
    await handlers.find(AgentReport())(link, AgentReport())
    await handlers.find(LoadChanges())(link, LoadChanges(loads=[3, 1, 1, 1]))
    assert link.closed
    assert gateway.recorded == [{}]


async def test_old_agent_tells_all_loads_in_its_report(gateway, handlers):
    share = EngineShare("e1:80", 5, 3, 9)
    await handlers.find(AgentReport())(FakeLink(), AgentReport([share]))
    assert gateway.recorded == [{"e1:80": 3}]
