"""Load reports between gateways and agents in large fleets.

Guards against processes that spend their time on waking and on heartbeats rather than
on requests, and against sums that lack a gateway or count one that has moved on.
"""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.catalog import Evacuations
from pistachiowell.gateway.load_reports import LoadReporter, encode_load
from pistachiowell.routing import NO_LOAD, EngineLoad
from pistachiowell.schema.generated.messages_gateway import AgentReport, GatewayLoad
from pistachiowell.wire import Handlers

pytestmark = pytest.mark.anyio

GATEWAYS = 68
IDLE_S = 1.2
HEARTBEATS_PER_S = 2


class FakeLink:
    """Records what is sent to a gateway."""

    def __init__(self):
        self.sent = []
        self.close_listeners = []

    def send(self, message):
        """Records a message."""
        self.sent.append(message)

    def add_close_listener(self, function):
        """Registers a function to call at the end."""
        self.close_listeners.append(function)


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
    assert len(built) <= rounds * GATEWAYS
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
    for listener in links[0].close_listeners:
        listener()
    await run_for(reporter, 0.05)
    assert links[1].sent[-1].loads == [encode_load("e1:80", NO_LOAD)]
