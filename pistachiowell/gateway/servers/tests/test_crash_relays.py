"""What sharing crash reports costs, and that it reaches every gateway.

Guards against messages that grow with the gateways times the agents: they fill the
links of a large fleet when many servers crash at once.
"""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.core.errors import LinkLost, Quarantined
from pistachiowell.core.metrics import Metrics
from pistachiowell.gateway.agent import CRASH_MERGE_S
from pistachiowell.gateway.servers.crash_relays import CrashRelays
from pistachiowell.router.crash_candidates import CrashCandidates
from pistachiowell.routing import SHARED_SERVER_CRASHES
from pistachiowell.schema.generated.messages_membership import CrashReport
from pistachiowell.wire import Handlers, LinkSet

pytestmark = pytest.mark.anyio

SERVERS = 3
MAX_MESSAGES_PER_GATEWAY = 8


class PairedLink:
    """One end of a link between two processes of the same test.

    Args:
        process: The process at this end.
        sent: List to which each delivery is added.
    """

    def __init__(self, process, sent):
        self.process = process
        self.other = None
        self._sent = sent
        self.closed = False

    def add_close_listener(self, function):
        del function

    def send(self, message):
        if self.closed:
            raise LinkLost("The link is closed.")
        self._sent.append((self.other, message))


class Process:
    """A gateway or an agent with its ``CrashCandidates``."""

    def __init__(self, now):
        self.runtime = SimpleNamespace(
            store=None,
            now=now,
            metrics=Metrics(),
            events=SimpleNamespace(add=lambda *args, **names: None),
        )
        self.handlers = Handlers()


class AgentLinks:
    """The links of a gateway to the agents, as its ``Fleet``."""

    def __init__(self):
        self.agents = {}
        self._listeners = []

    def add_link_listener(self, function):
        self._listeners.append(function)

    def add(self, name, link):
        self.agents[name] = SimpleNamespace(link=link, usable=True)
        for listener in self._listeners:
            listener(link)

    def broadcast(self, message):
        for agent in self.agents.values():
            agent.link.send(message)


class CrashFleet:
    """Gateways and agents that share what they know of crashes."""

    def __init__(self, gateways, agents):
        self.now = 0.0
        self.delivered = 0
        self._sent = []
        self._linked = {}
        self.agents = {f"agent-{n}": self._agent() for n in range(agents)}
        self.gateways = [self.add_gateway() for _ in range(gateways)]

    def _agent(self):
        agent = Process(lambda: self.now)
        agent.links = LinkSet()
        agent.candidates = CrashCandidates(
            agent.runtime,
            agent.links,
            agent.handlers,
            SHARED_SERVER_CRASHES,
            merge_s=CRASH_MERGE_S,
        )
        return agent

    def add_gateway(self):
        gateway = Process(lambda: self.now)
        gateway.fleet = AgentLinks()
        gateway.candidates = CrashCandidates(
            gateway.runtime,
            CrashRelays(gateway.fleet),
            gateway.handlers,
            SHARED_SERVER_CRASHES,
            passes_on=False,
        )
        for name, agent in self.agents.items():
            ends = PairedLink(gateway, self._sent), PairedLink(agent, self._sent)
            ends[0].other, ends[1].other = ends[1], ends[0]
            self._linked[id(gateway), name] = ends[0]
            agent.links.add(ends[1])
            gateway.fleet.add(name, ends[0])
        return gateway

    def lose_agent(self, name):
        agent = self.agents.pop(name)
        for gateway in self.gateways:
            gateway.fleet.agents.pop(name).link.closed = True
        return agent

    async def deliver(self):
        """Delivers all messages, also those that are sent because of them."""
        async with anyio.create_task_group() as group:
            for agent in self.agents.values():
                group.start_soon(agent.candidates.run_merging)
            idle_at = anyio.current_time() + 3 * CRASH_MERGE_S
            while anyio.current_time() < idle_at:
                while self._sent:
                    end, message = self._sent.pop(0)
                    self.delivered += 1
                    await end.process.handlers.find(message)(end, message)
                    idle_at = anyio.current_time() + 3 * CRASH_MERGE_S
                await anyio.sleep(0.005)
            group.cancel_scope.cancel()

    async def crash(self, server, fingerprints):
        """Lets gateways report one crash, each with its own request."""
        for gateway, fingerprint in zip(self.gateways, fingerprints, strict=False):
            gateway.candidates.report_crash(server, (fingerprint,))
        await self.deliver()


def servers_of(gateway, fingerprint):
    return gateway.candidates.check(fingerprint)


async def test_crash_reports_grow_with_gateways_times_agents():
    costs = {}
    for gateways, agents in ((8, 8), (30, 25)):
        fleet = CrashFleet(gateways, agents)
        names = [f"{number:032x}" for number in range(gateways)]
        await fleet.crash("s1", names)
        for gateway in fleet.gateways:
            assert all(servers_of(gateway, name) == ("s1",) for name in names)
        costs[gateways] = fleet.delivered / gateways
        fleet.delivered = 0
        fleet.gateways[0].candidates.clear(names[0])
        await fleet.deliver()
        assert not any(servers_of(gateway, names[0]) for gateway in fleet.gateways)
        assert fleet.delivered / gateways <= MAX_MESSAGES_PER_GATEWAY
    assert max(costs.values()) <= MAX_MESSAGES_PER_GATEWAY


async def test_quarantine_reaches_every_gateway_at_a_bounded_cost():
    fleet = CrashFleet(30, 25)
    bad = "b" * 32
    for number in range(SERVERS):
        fleet.now += 2.0
        await fleet.crash(f"s{number}", [bad])
    fleet.now += 1.0
    fleet.delivered = 0
    for gateway in fleet.gateways[:2]:
        gateway.candidates.judge()
    await fleet.deliver()
    for gateway in fleet.gateways:
        with pytest.raises(Quarantined):
            gateway.candidates.check(bad)
    assert fleet.delivered / 30 <= MAX_MESSAGES_PER_GATEWAY


async def test_gateway_that_joins_after_the_relays_were_lost_knows_the_crashes():
    fleet = CrashFleet(3, 4)
    bad = "b" * 32
    await fleet.crash("s1", [bad])
    relays = [n for n, a in fleet.agents.items() if servers_of(a, bad)]
    assert len(relays) == 2
    for name in relays:
        fleet.lose_agent(name)
    # The next message finds new relays, which are told what came before.
    await fleet.crash("s2", ["c" * 32])
    joined = fleet.add_gateway()
    await fleet.deliver()
    assert servers_of(joined, bad) == ("s1",)
    assert servers_of(joined, "c" * 32) == ("s2",)


async def test_report_of_a_crash_that_no_longer_counts_ends_the_link_to_an_agent():
    fleet = CrashFleet(2, 2)
    old = CrashReport(
        "crash-1", "s1", ["b" * 32], SHARED_SERVER_CRASHES.candidate_s + 1
    )
    agent = next(iter(fleet.agents.values()))
    await agent.handlers.find(old)(None, old)
    fleet.delivered = 0
    await fleet.deliver()
    assert fleet.delivered == 0
