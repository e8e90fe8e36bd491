"""Times of answers that gateways share through an agent.

Guards against gateways of a large fleet that never learn which answers are slow,
against times of another data centre, and against old or implausible reports. Each test
is named for the failure that it guards against.
"""

import math
from types import SimpleNamespace

import pytest

from pistachiowell.core.metrics import Metrics
from pistachiowell.gateway.load import time_reports
from pistachiowell.gateway.load.time_reports import TimeReports
from pistachiowell.gateway.load.times_owner import TimesOwner
from pistachiowell.routing import HEDGE_POLICIES, HedgeSettings
from pistachiowell.schema.generated.messages_gateway import (
    GatewayTimes,
    NewTimes,
    UsualTime,
    UsualTimes,
)
from pistachiowell.wire import Handlers

pytestmark = pytest.mark.anyio

KIND = ("desk", "read")
GATEWAYS, AGENTS, ANSWERS = 20, ("agent-1", "agent-2"), 4


class FakeLink:
    """Passes messages to the handlers of the other end."""

    closed = False

    def __init__(self, agent, handlers):
        self.hello = SimpleNamespace(id=agent, incarnation=f"{agent}/1")
        self.handlers = handlers
        self.sent, self.received, self._close = [], [], []

    def send(self, message):
        """Sends a message to the gateway."""
        self.sent.append(message)

    def add_close_listener(self, function):
        """Registers a function to call at the end."""
        self._close.append(function)

    def lose(self):
        """Ends the link."""
        self.closed = True
        for function in self._close:
            function()

    async def deliver(self, message):
        """Handles a message at the gateway."""
        await self.handlers.find(message)(self, message)


@pytest.fixture
def fleet(monkeypatch):
    """Gateways with few answers each, and two agents; time is set by the test."""
    clock = SimpleNamespace(now_s=100.0)
    agents = {}
    for name in AGENTS:
        handlers = Handlers()
        runtime = SimpleNamespace(now=lambda: clock.now_s)
        agents[name] = SimpleNamespace(
            owner=TimesOwner(runtime, handlers), handlers=handlers, links=[]
        )
    gateways = [_gateway(clock, agents, n) for n in range(GATEWAYS)]
    outbox = []
    monkeypatch.setattr(
        time_reports,
        "tell_agents",
        lambda links, topic, message, count: outbox.append((links, message)),
    )

    async def report():
        for gateway in gateways:
            gateway.reports._report()
        for links, message in outbox:
            # The order of the agents is that of their ranks.
            link = next((link for link in links.values() if not link.closed), None)
            if link is not None:
                handlers = agents[link.hello.id].handlers
                await handlers.find(message)(link, message)
        outbox.clear()

    async def tell():
        for agent in agents.values():
            agent.owner._tell_all()
            for link in agent.links:
                sent, link.sent = link.sent, []
                for message in sent if not link.closed else ():
                    link.received.append(message)
                    await link.deliver(message)

    return SimpleNamespace(
        clock=clock, agents=agents, gateways=gateways, report=report, tell=tell
    )


def _gateway(clock, agents, number):
    handlers = Handlers()
    policy = HEDGE_POLICIES.find(HedgeSettings().policy)(HedgeSettings(share=0.1))
    links = {name: FakeLink(name, handlers) for name in agents}
    for name, link in links.items():
        agents[name].links.append(link)
    runtime = SimpleNamespace(
        now=lambda: clock.now_s,
        metrics=Metrics(),
        settings=SimpleNamespace(data_centre="west" if number == 0 else "east"),
    )
    reports = TimeReports(runtime, links, policy.shared, handlers)
    return SimpleNamespace(policy=policy, links=links, reports=reports, runtime=runtime)


async def learn(fleet, time_s=0.1):
    """Lets each gateway get a few answers and share them."""
    for gateway in fleet.gateways:
        gateway.policy.record_request(KIND)
        for _ in range(ANSWERS):
            gateway.policy.record_answer(
                KIND, time_s, fleet.clock.now_s, was_slow=False
            )
    await fleet.report()
    await fleet.tell()


def delays(fleet):
    return [g.policy.delay_s(KIND, fleet.clock.now_s) for g in fleet.gateways]


async def test_gateways_with_few_answers_each_learn_no_delay(fleet):
    await learn(fleet)
    west, *east = delays(fleet)
    assert all(0.1 <= delay_s <= 0.11 for delay_s in east)
    # The answers of another data centre may take longer.
    assert west is None


async def test_loss_of_an_agent_ends_hedges(fleet):
    await learn(fleet)
    for link in fleet.agents["agent-1"].links:
        link.lose()
    # What it has told counts while the next agent learns.
    fleet.clock.now_s += 15.0
    assert None not in delays(fleet)[1:]
    await learn(fleet, 0.2)
    fleet.clock.now_s += 15.0
    assert all(delay_s >= 0.2 for delay_s in delays(fleet)[1:])


async def test_times_of_lost_agents_count_for_ever(fleet):
    await learn(fleet)
    for agent in fleet.agents.values():
        for link in agent.links:
            link.lose()
    fleet.clock.now_s += 21.0
    assert set(delays(fleet)) == {None}


async def test_older_report_replaces_a_newer_one(fleet):
    await learn(fleet)
    link = fleet.gateways[1].links["agent-1"]
    older = link.received[-1]
    fleet.clock.now_s += 5.0
    for _ in range(20):
        await learn(fleet, 0.4)
    newer_s = delays(fleet)[1]
    await link.deliver(older)
    assert delays(fleet)[1] == newer_s >= 0.4
    assert fleet.gateways[1].runtime.metrics.values["hedges.old_times"] == 1


async def test_new_run_of_an_agent_is_not_believed(fleet):
    await learn(fleet)
    link = fleet.gateways[1].links["agent-1"]
    link.hello = SimpleNamespace(id="agent-1", incarnation="agent-1/2")
    await link.deliver(UsualTimes(1, [UsualTime(*KIND, 0.7, 0.0)]))
    assert delays(fleet)[1] == 0.7


@pytest.mark.parametrize("delay_s", [math.nan, math.inf, -1.0, 0.0])
async def test_implausible_usual_time_is_believed(fleet, delay_s):
    link = fleet.gateways[1].links["agent-1"]
    await link.deliver(UsualTimes(1, [UsualTime(*KIND, delay_s, 0.0)]))
    assert delays(fleet)[1] is None


@pytest.mark.parametrize(
    ("buckets", "counts"), [([500], [60]), ([-1], [60]), ([9], [-60]), ([9, 8], [60])]
)
async def test_implausible_counts_end_the_agent(fleet, buckets, counts):
    agent = fleet.agents["agent-1"]
    message = GatewayTimes("east", [NewTimes(*KIND, buckets, counts)])
    await agent.handlers.find(message)(agent.links[1], message)
    await fleet.tell()
    assert not agent.links[1].received
    await learn(fleet)
    assert delays(fleet)[1] is not None


async def test_overload_is_found_late_by_gateways_with_few_answers(fleet):
    await learn(fleet)
    for gateway in fleet.gateways:
        gateway.policy.record_slow(KIND)
        gateway.policy.record_slow(KIND)
    await fleet.report()
    await fleet.tell()
    for gateway in fleet.gateways[1:]:
        for _ in range(10):
            gateway.policy.record_request(KIND)
        assert gateway.policy.denial(KIND, 1.0, fleet.clock.now_s) == "load"


async def test_size_of_messages_grows_with_the_gateways(fleet):
    for number in range(30):
        for gateway in fleet.gateways:
            gateway.policy.record_request(("desk", f"read-{number}"))
            for _ in range(ANSWERS):
                gateway.policy.record_answer(
                    ("desk", f"read-{number}"), 0.1, 100.0, was_slow=False
                )
    await fleet.report()
    await fleet.tell()
    [message] = fleet.gateways[1].links["agent-1"].received
    assert len(message.kinds) == 4
    told = {kind.route for kind in message.kinds}
    # The other kinds are told next, although all have new answers.
    await fleet.report()
    await fleet.tell()
    message = fleet.gateways[1].links["agent-1"].received[-1]
    assert told.isdisjoint(kind.route for kind in message.kinds)
