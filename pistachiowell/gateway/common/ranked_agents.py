"""The agents in the order in which the gateways choose them for a topic."""

from pistachiowell.budgets.page_owner import rank_owners
from pistachiowell.core.errors import LinkLost
from pistachiowell.core.logs import part_logger
from pistachiowell.membership import SubsetSettings, first_peers

# The agent on the VM of a server in trouble is often in trouble too.
AGENTS_TOLD = 2

_log = part_logger("agents")


def ranked_agents(fleet, topic):
    """Returns the usable agents as ``Peer``, best first, alike at all gateways.

    Args:
        fleet: The ``Fleet`` with the agents.
        topic: What the agents are chosen for, such as the id of a server.
    """
    usable = {name: peer for name, peer in fleet.agents.items() if peer.usable}
    return [usable[name] for name in rank_owners(topic, usable)]


def lasting_agents(fleet, topic):
    """Returns the first two agents for a topic as ``Peer``, usable or not.

    They are chosen among the agents that all gateways link to at first. Those that
    stand in for agents that fail are left out, so that never more than two agents take
    themselves for the first, whichever agents a gateway reaches.

    Args:
        fleet: The ``Fleet`` with the agents.
        topic: What the agents are chosen for, such as the id of a server.
    """
    names = first_peers(fleet.agents, SubsetSettings().usable)
    return [fleet.agents[name] for name in rank_owners(topic, names)[:AGENTS_TOLD]]


def tell_agents(fleet, topic, message, count=AGENTS_TOLD):
    """Sends a message to the first agents for a topic.

    Args:
        fleet: The ``Fleet`` with the agents.
        topic: What the agents are chosen for, such as the id of a server.
        message: The message.
        count: Number of agents.
    """
    for peer in ranked_agents(fleet, topic)[:count]:
        try:
            peer.link.send(message)
        except LinkLost as error:
            _log.info(
                "Telling an agent failed.", agent=peer.record.id, error=str(error)
            )
