"""Admission of the gateways' requests to servers with rate limits, at an agent.

The agent that ranks first for a server admits the requests of all gateways there, so
the sum keeps to the limit however uneven their demand is. Another agent that takes over
begins without saved room.
"""

import anyio

from pistachiowell.admission import (
    ColdAdmission,
    Incarnation,
    Observation,
    RateLimits,
    RateSettings,
)
from pistachiowell.core.errors import LinkLost
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_gateway import (
    AskRoom,
    LimitObserved,
    RoomReply,
)

_log = part_logger("limits")


def decode_limit(message, now):
    """Returns the ``Incarnation`` and ``Observation`` of a ``LimitObserved``."""
    per_s = message.per_s if message.is_limited else None
    observation = Observation(per_s, now - max(0.0, message.age_s))
    return Incarnation(message.server, message.started_ms), observation


def encode_limit(incarnation, observation, now):
    """Returns the ``LimitObserved`` of an ``Incarnation`` and an ``Observation``."""
    return LimitObserved(
        incarnation.server,
        incarnation.started_ms,
        is_limited=observation.per_s is not None,
        per_s=observation.per_s or 0.0,
        age_s=now - observation.at,
    )


class LimitOwner:
    """Admits requests to servers with limits and tells the gateways of the limits.

    Args:
        runtime: The process's ``Runtime``.
        links: The ``LinkSet`` of the gateways.
        state: The ``GatewayState``.
        cold: The ``ColdServers``.
        handlers: Handlers of the links to gateways; this registers its own.
    """

    __slots__ = ("_cold", "_cold_admission", "_limits", "_links", "_runtime", "_state")

    def __init__(self, runtime, links, state, cold, handlers):
        self._runtime = runtime
        self._links = links
        self._state = state
        self._cold = cold
        self._cold_admission = ColdAdmission()
        self._limits = RateLimits(RateSettings())
        links.add_link_listener(self._tell_new_gateway)
        handlers.on(LimitObserved)(self._handle_limit)
        handlers.on(AskRoom, quick=True)(self._handle_ask)

    async def wait_for_room(self, server_id):
        """Waits until a request of this agent is admitted to a server."""
        while wait_s := self._wait_s(server_id):
            await anyio.sleep(wait_s)

    def _wait_s(self, server_id):
        now = self._runtime.now()
        server = self._state.servers.known.get(server_id)
        shares = self._cold.shares(server) if server is not None else None
        if shares is not None:
            per_s = shares.agent_per_s
            if wait_s := self._cold_admission.try_take(server_id, per_s, now):
                return wait_s
        for incarnation in self._limits.in_force:
            if incarnation.server == server_id:
                return self._limits.try_take(incarnation, 0, now)
        return 0.0

    def may_send(self, server_id, admitted_at):
        """Returns whether a request that was admitted may still be sent.

        Args:
            server_id: Id of the server.
            admitted_at: Time of its admission in seconds.
        """
        server = self._state.servers.known.get(server_id)
        age_s = self._runtime.now() - admitted_at
        return server is None or not self._cold.needs_permit(server, age_s)

    async def _handle_limit(self, link, message):
        del link
        self._observe(message)

    async def _handle_ask(self, link, message):
        incarnation = self._observe(message.limit)
        now = self._runtime.now()
        latest = self._limits.latest(incarnation)
        if latest is not None and latest.per_s is None:
            self._send(link, encode_limit(incarnation, latest, now))
        wait_s, is_cold = 0.0, message.cold_per_s >= 0
        if is_cold:
            wait_s = self._cold_admission.try_take(
                incarnation.server, message.cold_per_s, now
            )
        if not wait_s:
            wait_s = self._limits.try_take(incarnation, message.priority, now)
        return RoomReply(wait_s, covers_cold=is_cold)

    def _observe(self, message):
        now = self._runtime.now()
        incarnation, observation = decode_limit(message, now)
        if self._limits.observe(incarnation, observation, now):
            _log.info(
                "A server's limit has changed.",
                server=incarnation.server,
                per_s=observation.per_s,
            )
            self._links.broadcast(encode_limit(incarnation, observation, now))
        return incarnation

    def _tell_new_gateway(self, link):
        now = self._runtime.now()
        for incarnation, observation in self._limits.in_force.items():
            self._send(link, encode_limit(incarnation, observation, now))

    def _send(self, link, message):
        try:
            link.send(message)
        except LinkLost as error:
            _log.debug("Telling a gateway of a limit failed: {}", error)
