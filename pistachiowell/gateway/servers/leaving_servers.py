"""Passes on, at an agent, which servers have said in an answer that they leave.

The fleet would otherwise learn it server by server and gateway by gateway.
"""

from pistachiowell.admission import Incarnation
from pistachiowell.core.errors import LinkLost
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_gateway import ServerLeaving

MAX_SERVERS = 1_024

_log = part_logger("limits")


class LeavingServers:
    """Tells all gateways what one of them has read, once, and each new gateway.

    Args:
        links: The ``LinkSet`` of the gateways.
        closed: The ``ClosedServers``.
        handlers: Handlers of the links to gateways; this registers its own.
    """

    __slots__ = ("_closed", "_known", "_links")

    def __init__(self, links, closed, handlers):
        self._closed = closed
        self._links = links
        self._known = {}
        links.add_link_listener(self._tell_new_gateway)
        handlers.on(ServerLeaving, quick=True)(self._handle)

    async def _handle(self, link, message):
        del link
        self._closed.record_leaving(Incarnation(message.server, message.started_ms))
        self.tell(message)

    def tell(self, message):
        """Tells all gateways that a server leaves, unless they know it.

        Args:
            message: The ``ServerLeaving``.
        """
        if message in self._known:
            return
        self._known[message] = None
        if len(self._known) > MAX_SERVERS:
            del self._known[next(iter(self._known))]
        self._links.broadcast(message)

    def _tell_new_gateway(self, link):
        try:
            for message in self._known:
                link.send(message)
        except LinkLost as error:
            _log.debug("Telling a gateway of leaving servers failed: {}", error)
