"""The agents through which gateways share what they know of crashes."""

from pistachiowell.core.errors import LinkLost
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.common import AGENTS_TOLD, ranked_agents

TOPIC = "crashes"

_log = part_logger("suspects")


class CrashRelays:
    """The agents that pass the crash reports of this gateway on to all gateways.

    Load pattern: many servers crash at once in a large fleet, and each gateway reports
    each crash. Two agents pass reports on, alike for all gateways, so that the messages
    do not grow with the number of agents.

    Args:
        fleet: The ``Fleet`` with the agents.

    See Also:
        pistachiowell.router.crash_candidates.CrashCandidates: Uses it as its peers.
    """

    __slots__ = ("_fleet", "_informed", "_listeners")

    def __init__(self, fleet):
        self._fleet = fleet
        self._listeners = []
        # Links of the relays that have been told what this gateway knows.
        self._informed = set()
        fleet.add_link_listener(self._inform)

    def add_link_listener(self, function):
        """Registers a function that tells a new relay what is known."""
        self._listeners.append(function)

    def broadcast(self, message):
        """Sends a message to the relays."""
        relays = ranked_agents(self._fleet, TOPIC)[:AGENTS_TOLD]
        links = [relay.link for relay in relays]
        for link in links:
            if link not in self._informed:
                self._inform(link)
        # An agent that is a relay again later has missed what came meanwhile.
        self._informed.intersection_update(links)
        if not links:
            self._fleet.broadcast(message)
        for link in links:
            try:
                link.send(message)
            except LinkLost as error:
                _log.info("Telling an agent of a crash failed.", error=str(error))

    def _inform(self, link):
        self._informed = {link for link in self._informed if not link.closed} | {link}
        for listener in self._listeners:
            listener(link)
