"""The gate before each send to a backend server, by what the server has said."""

from pistachiowell.admission import (
    Incarnation,
    Observation,
    RateLimits,
    RateSettings,
    RateSlots,
)
from pistachiowell.core.errors import LinkLost, LinkTimeout, Overloaded
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.common import (
    AGENTS_TOLD,
    lasting_agents,
    ranked_agents,
    tell_agents,
)
from pistachiowell.gateway.servers.closed_servers import incarnation_of
from pistachiowell.gateway.servers.cold_servers import encode_cold, shorten_cold
from pistachiowell.gateway.servers.limit_owner import decode_limit, encode_limit
from pistachiowell.schema.generated.messages_gateway import (
    AskRoom,
    LimitObserved,
    RoomReply,
    ServerLeaving,
    ServersCold,
)

ASK_TIMEOUT_S = 0.15
# An agent that has not answered is not asked again for this long.
SILENT_AGENT_S = 1.0
MIN_RETRY_AFTER_S = 0.05
NOT_COLD = -1.0
# Older than any answer, so that it replaces nothing that an agent knows.
NO_OBSERVATION_AGE_S = 1_000_000.0
RETURN_SPREAD_SHARE = 0.25
MAX_RETURN_SPREAD_S = 0.5

_log = part_logger("limits")


class NoRoom(Overloaded):
    """All servers take fewer requests a second than there are; come back later."""


class ServerClosed(Overloaded):
    """A server has closed itself while a request was on its way there."""


class ServerLimits:
    """Admits this gateway's requests to servers that are open and have room.

    The agent that ranks first for a server admits the requests of all gateways. Without
    its answer this gateway takes turns with the others by the clock.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        closed: The ``ClosedServers``.
        places: The ``Places``.
        cold: The ``ColdServers``.
        handlers: Handlers of the links to agents; this registers its own.
        reports: The ``AcknowledgedReports`` to and from agents.
        gateway_count: Function that returns the number of gateways that may be running.
        rng: A ``Random``.
    """

    __slots__ = (
        "_asks_again_at",
        "_closed",
        "_cold",
        "_fleet",
        "_full_until",
        "_limits",
        "_places",
        "_reports",
        "_rng",
        "_gateway_count",
        "_runtime",
        "_settings",
        "_slots",
    )

    def __init__(
        self,
        runtime,
        fleet,
        closed,
        places,
        cold,
        handlers,
        reports,
        gateway_count,
        rng,
    ):
        self._runtime = runtime
        self._fleet = fleet
        self._closed = closed
        self._places = places
        self._cold = cold
        self._reports = reports
        self._gateway_count = gateway_count
        self._rng = rng
        self._settings = RateSettings()
        self._limits = RateLimits(self._settings)
        self._slots = {}
        self._full_until = {}
        self._asks_again_at = {}
        handlers.on(LimitObserved)(self._handle_limit)
        handlers.on(ServerLeaving, quick=True)(self._handle_leaving)
        reports.on(ServersCold)(self._handle_cold)
        runtime.metrics.watch("servers.limited", lambda: len(self._limits.in_force))

    def record_answer(self, server, head, sent_at):
        """Records what the head of an answer says of its server's limit.

        Args:
            server: The ``BackendServer``.
            head: The ``AnswerHead``; it answers the request that was sent.
            sent_at: Time at which the request was sent in seconds.
        """
        if self._cold.record_answer(incarnation_of(server), head):
            self._tell_cold(server, head.cold_left_s)
        if head.has_unreadable_limit:
            self._closed.record_unreadable(incarnation_of(server), "limits")
            return
        now = self._runtime.now()
        incarnation = incarnation_of(server)
        observation = Observation(head.limit_per_s, sent_at)
        if self._observe(incarnation, observation, now):
            message = encode_limit(incarnation, observation, now)
            tell_agents(self._fleet, server.id, message)

    def _tell_cold(self, server, left_s):
        agents = ranked_agents(self._fleet, server.id)[:AGENTS_TOLD]
        self._reports.broadcast(
            encode_cold({incarnation_of(server): left_s}),
            key=(ServersCold, incarnation_of(server)),
            renew=shorten_cold,
            links=[agent.link for agent in agents],
        )

    def record_closure(self, server, head, told):
        """Records whether a server has said that it leaves or wants a pause.

        Args:
            server: The ``BackendServer``.
            head: The ``AnswerHead``.
            told: Id of the request whose answer says so, for the log.
        """
        incarnation = incarnation_of(server)
        if self._closed.record_answer(incarnation, head, told):
            message = ServerLeaving(incarnation.server, incarnation.started_ms)
            tell_agents(self._fleet, server.id, message)

    async def _handle_leaving(self, link, message):
        del link
        self._closed.record_leaving(Incarnation(message.server, message.started_ms))

    async def _handle_cold(self, link, message):
        del link
        self._cold.record_told(message)

    def is_cold(self, server):
        """Returns whether a server is cold, so that its answers are slow."""
        return self._cold.is_cold(server)

    def check_open(self, server, age_s):
        """Checks, just before a request is sent, that its server is still open.

        Args:
            server: The ``BackendServer``.
            age_s: Seconds since the request was admitted.

        Raises:
            ServerClosed: The server leaves, wants a pause or has become cold, or its
                data centre has been evacuated. The request may be sent to another one.
        """
        if self._places.is_evacuated(server):
            self._runtime.metrics.count("attempts.evacuated_meanwhile")
            raise ServerClosed(
                f"Data centre {server.data_centre} of server {server.id} is evacuated.",
                ran="no",
            )
        reason = self._closed.closed_by(incarnation_of(server))
        if reason is not None:
            self._runtime.metrics.count("attempts.closed_meanwhile")
            raise ServerClosed(f"Server {server.id} is closed: {reason}.", ran="no")
        if self._cold.needs_permit(server, age_s):
            self._runtime.metrics.count("attempts.cold_meanwhile")
            raise ServerClosed(
                f"Server {server.id} is cold; the request must be admitted again.",
                ran="no",
            )

    def accepting(self, servers, request):
        """Returns the servers that nothing has closed for good.

        They have not said that they leave, their data centres are not evacuated, and
        they are in the home regions of the request.

        Args:
            servers: Each ``BackendServer``.
            request: The ``GatewayRequest``.
        """
        return [
            server
            for server in self._places.at_home(servers, request)
            if not self._closed.is_leaving(incarnation_of(server))
            and not self._places.is_evacuated(server)
        ]

    def with_room(self, servers, rank):
        """Returns the ``BackendServer`` that may have room for a request."""
        return [s for s in servers if not self.wait_s(s, rank)]

    def is_limited(self, server):
        """Returns whether a server has named a rate that is in force."""
        observation = self._limits.latest(incarnation_of(server))
        return observation is not None and observation.per_s is not None

    def admitter(self, server):
        """Returns who admits requests to a server that is cold or names a rate.

        Nobody is asked, and no request is admitted.

        Args:
            server: The ``BackendServer``.

        Returns:
            Id of the agent; an empty string if this gateway takes turns by the clock;
            None if requests need no admission.
        """
        is_cold = self._cold.is_cold(server)
        if not is_cold and not self.is_limited(server):
            return None
        owner = self._owner(server.id, is_cold, self._runtime.now())
        return owner.record.id if owner is not None else ""

    def cold_left_s(self, server):
        """Returns for how many seconds a server is cold; 0 if it is warm."""
        return self._cold.left_s(server)

    def limit_per_s(self, server):
        """Returns the requests a second that a server has named; None without."""
        observation = self._limits.latest(incarnation_of(server))
        return observation.per_s if observation is not None else None

    def closed_by(self, server):
        """Returns by what a server has closed itself; None if it has not."""
        return self._closed.closed_by(incarnation_of(server))

    def wait_s(self, server, rank):
        """Returns the seconds until a server may have room; 0.0 if it may have now.

        Args:
            server: The ``BackendServer``.
            rank: Rank of the request; 0 is the most urgent.
        """
        now, incarnation = self._runtime.now(), incarnation_of(server)
        pause_s = self._closed.wait_s(incarnation)
        full_until = self._full_until.get(incarnation)
        if full_until is None:
            return pause_s
        untils = [until for other, until in full_until.items() if other <= rank]
        return max(pause_s, max(untils, default=0.0) - now)

    def no_room(self, servers, rank, states):
        """Returns the error of a request for which no server has room.

        The callers are told somewhat different times, none before the first server has
        room, so that they don't come back in the same moment.

        Args:
            servers: Each ``BackendServer`` that the request may go to.
            rank: Rank of the request; 0 is the most urgent.
            states: Their states as text.
        """
        least_s, most_s = self._return_range_s(servers, rank)
        retry_after_s = least_s + (most_s - least_s) * self._rng.random()
        return NoRoom(
            f"The servers take no more requests at present ({states}).",
            ran="no",
            retry_after_s=max(MIN_RETRY_AFTER_S, retry_after_s),
        )

    def return_range_s(self, servers, rank):
        """Returns the least and the most that a ``NoRoom`` tells its caller to wait."""
        range_s = self._return_range_s(servers, rank)
        return tuple(max(MIN_RETRY_AFTER_S, seconds) for seconds in range_s)

    def _return_range_s(self, servers, rank):
        wait_s = min(self.wait_s(server, rank) for server in servers)
        spread_s = min(MAX_RETURN_SPREAD_S, RETURN_SPREAD_SHARE * wait_s)
        return wait_s, wait_s + spread_s

    async def admit(self, server, rank):
        """Returns whether a request may be sent to a server now.

        Args:
            server: The ``BackendServer``.
            rank: Rank of the request; 0 is the most urgent.
        """
        incarnation = incarnation_of(server)
        observation = self._limits.latest(incarnation)
        shares = self._cold.shares(server)
        is_limited = self.is_limited(server)
        if not is_limited and shares is None:
            return True
        wait_s = await self._ask(incarnation, observation, shares, rank)
        if wait_s is None:
            wait_s = self._wait_for_turn(server, shares) if shares is not None else 0.0
            if not wait_s and is_limited:
                wait_s = self._take_slot(incarnation, observation)
        if not wait_s:
            return True
        full_until = self._full_until.setdefault(incarnation, {})
        full_until[rank] = self._runtime.now() + wait_s
        self._runtime.metrics.count("servers.limit_reached")
        return False

    def _wait_for_turn(self, server, shares):
        self._runtime.metrics.count("servers.cold_turns")
        return self._cold.take_turn(server, shares)

    def _take_slot(self, incarnation, observation):
        slots = self._slots.get(incarnation)
        if slots is None:
            slots = RateSlots(self._settings, self._rng.random())
            self._slots[incarnation] = slots
        now = self._runtime.now()
        return slots.try_take(observation.per_s, self._gateway_count(), now)

    def _owner(self, server_id, is_cold, now):
        """Returns the ``Peer`` to ask for room at a server, or None."""
        if not is_cold:
            owner = next(iter(ranked_agents(self._fleet, server_id)), None)
            owners = [owner] if owner is not None else []
        else:
            lasting = lasting_agents(self._fleet, server_id)
            owners = [peer for peer in lasting if peer.usable]
        asks_again_at = self._asks_again_at
        askable = (p for p in owners if now >= asks_again_at.get(p.record.id, now))
        return next(askable, None)

    async def _ask(self, incarnation, observation, shares, rank):
        """Returns what the agent answers: the seconds to wait; None without one."""
        now, is_cold = self._runtime.now(), shares is not None
        owner = self._owner(incarnation.server, is_cold, now)
        if owner is None:
            return None
        limit = encode_limit(incarnation, observation or _unlimited(now), now)
        cold_per_s = shares.agent_per_s if is_cold else NOT_COLD
        timeout_s = self._cold.ask_timeout_s if is_cold else ASK_TIMEOUT_S
        message = AskRoom(limit, rank, cold_per_s)
        try:
            reply = await owner.link.call(message, timeout_s)
        except (LinkLost, LinkTimeout) as error:
            self._asks_again_at[owner.record.id] = now + SILENT_AGENT_S
            _log.info(
                "An agent does not answer for a server's limit.",
                agent=owner.record.id,
                server=incarnation.server,
                error=str(error),
            )
            return None
        if not isinstance(reply, RoomReply) or (is_cold and not reply.covers_cold):
            return None
        return reply.wait_s

    async def _handle_limit(self, link, message):
        del link
        now = self._runtime.now()
        self._observe(*decode_limit(message, now), now)

    def _observe(self, incarnation, observation, now):
        if not self._limits.observe(incarnation, observation, now):
            return False
        self._full_until.pop(incarnation, None)
        if observation.per_s is None:
            self._slots.pop(incarnation, None)
        _log.info(
            "A server's limit has changed.",
            server=incarnation.server,
            per_s=observation.per_s,
            age_s=round(now - observation.at, 3),
        )
        return True


def _unlimited(now):
    return Observation(None, now - NO_OBSERVATION_AGE_S)
