"""Agents that a gateway chooses for a topic while it is linked to more than it needs.

Guards against page owners that differ between gateways while some of them keep links to
more agents: tokens are then set aside at several owners, and accounts that have paid
are refused.
"""

from types import SimpleNamespace

import pytest

from pistachiowell.gateway.common.ranked_agents import ranked_agents
from pistachiowell.membership import (
    MembershipSettings,
    PeerSubset,
    PeerTable,
    SubsetSettings,
)
from pistachiowell.router.fleet import AGENTS, Fleet
from pistachiowell.schema.generated.objects_membership import AgentRecord
from pistachiowell.wire import Handlers

AGENT_COUNT = 27


class Group:
    """Stands in for a task group; starts nothing."""

    def start_soon(self, *args):
        """Ignores a task."""


@pytest.fixture
def play():
    """Returns a fleet of agents, all linked, and a function that sets who answers."""
    clock = SimpleNamespace(now=0.0)
    runtime = SimpleNamespace(
        now=lambda: clock.now,
        incarnation="g",
        metrics=SimpleNamespace(watch=lambda name, read: None),
    )
    fleet = Fleet(runtime, Handlers(), (AGENTS,), PeerSubset(SubsetSettings()))
    table = PeerTable(MembershipSettings())
    records = {
        f"agent-{n}": (AgentRecord(f"agent-{n}", "r", "east", "h", 1, ""), n)
        for n in range(AGENT_COUNT)
    }
    fleet._peer_tables[AgentRecord] = table
    fleet._apply_records(Group(), records, fleet.agents)

    def run(seconds, *, are_reached):
        until = clock.now + seconds
        while clock.now < until:
            for name, peer in fleet.agents.items():
                peer.link = SimpleNamespace(closed=False) if peer.is_chosen else None
                if peer.is_chosen and are_reached:
                    table.record_connection(name, "r", clock.now)
            fleet._link_chosen_agents(Group())
            clock.now += 0.25
        return [peer.record.id for peer in ranked_agents(fleet, "page")]

    return run


def test_gateway_that_was_cut_off_chooses_the_owners_of_before(play):
    owners = play(5.0, are_reached=True)
    play(8.0, are_reached=False)
    assert play(2.0, are_reached=True) == owners
