"""Shares the load of a gateway with the others of its data centre."""

import anyio

from pistachiowell.admission import (
    OVERLOAD_POLICIES,
    GatewayLoadSettings,
    LoadMeter,
    OverloadSettings,
    PeerRooms,
    PeerRoomSettings,
    RelaySettings,
    RelayShare,
)
from pistachiowell.core.http_protocol import TRAFFIC
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.connections import ConnectionRelay, LinkLoad
from pistachiowell.gateway.load.room_reports import RoomReports

_log = part_logger("relay")


def overload_text(policy):
    """Returns the message of a refusal by an ``OverloadPolicy``."""
    if policy.is_for_link:
        return "The network link of the gateway is full."
    return "The gateway has more requests than it can serve."


class LoadSharing:
    """Measures the load of this gateway and relays connections that exceed it.

    It relays only if the settings have a ``relay_port``.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        loop_watch: The ``LoopWatch``.
        handlers: Handlers of the links to agents.
        rng: A ``random.Random``.
    """

    __slots__ = (
        "_is_relaying",
        "_link",
        "_meter",
        "_overload",
        "_relay",
        "_reports",
        "_rng",
        "_rooms",
        "_runtime",
        "_share",
    )

    def __init__(self, runtime, fleet, loop_watch, handlers, rng):
        settings = runtime.settings
        self._runtime = runtime
        self._rng = rng
        self._is_relaying = False
        self._meter = LoadMeter(
            GatewayLoadSettings(), settings.cpu_share * settings.cores
        )
        self._link = LinkLoad(runtime)
        self._share = RelayShare(RelaySettings())
        self._rooms = PeerRooms(PeerRoomSettings())
        self._overload = self._make_overload_policy()
        self._relay = ConnectionRelay(
            runtime,
            loop_watch.deadline,
            runtime.clients.limits.connections,
            self._choose,
            self._record_failure,
            self._link,
        )
        self._reports = RoomReports(
            runtime, fleet, self._meter, self._link, self._share, self._rooms, handlers
        )
        loop_watch.add_load_listener(self._record_load)
        loop_watch.add_transit_listener(self._share.record_transit)
        loop_watch.add_transit_listener(self._overload.record_transit)
        metrics = runtime.metrics
        metrics.watch("load.busy", lambda: self._meter.busy)
        metrics.watch("load.room_per_s", lambda: self.room_per_s)
        metrics.watch("load.peer_room_per_s", self.peer_room_per_s)
        metrics.watch("relay.share", lambda: self._share.share)

    @property
    def is_on(self):
        """Whether the settings turn load sharing on."""
        return self._runtime.settings.relay_port > 0

    @property
    def overload(self):
        """The ``OverloadPolicy`` for what cannot be relayed."""
        return self._overload

    @property
    def traffic(self):
        """The ``Traffic`` with callers; None if it is not counted."""
        return self._link.traffic

    @property
    def relay(self):
        """The ``ConnectionRelay``."""
        return self._relay

    @property
    def closes_connections(self):
        """Whether answers close their connections, so that the next can be relayed."""
        return self._share.share > 0.0 and self.peer_room_per_s() > 0.0

    def peer_room_per_s(self):
        """Returns the requests a second that other gateways are known to take."""
        return self._rooms.room_per_s(self._runtime.now())

    def _make_overload_policy(self):
        if not self.is_on:
            settings = OverloadSettings()
            return OVERLOAD_POLICIES.find(settings.policy)(settings)
        settings = OverloadSettings(policy="ranked_share")
        policy = OVERLOAD_POLICIES.find(settings.policy)
        return policy(settings, self._rooms, self._rng)

    def is_relayed(self, scope):
        """Returns whether a request came from another gateway, by its ASGI scope."""
        server = scope.get("server")
        port = self._runtime.settings.relay_port
        return self.is_on and server is not None and server[1] == port

    def add_decision(self, scope, *, is_refused):
        """Counts a request that was admitted or refused, by its ASGI scope."""
        if not is_refused:
            is_received = self.is_relayed(scope)
            self._link.add_request(scope.get(TRAFFIC), is_received=is_received)
            return
        self._link.add_refusal()
        if self._overload.is_for_link:
            self._runtime.metrics.count("link.refused")

    def add_request(self, scope):
        """Counts a request that is served here, by its ASGI scope."""
        self._meter.add_request(is_received=self.is_relayed(scope))

    def end_request(self, scope):
        """Records the end of a request or of its refusal, by its ASGI scope."""
        self._link.end_request(scope.get(TRAFFIC))

    async def run(self):
        """Reports the room until cancelled."""
        if self.is_on:
            await self._reports.run()
        await anyio.sleep_forever()

    def leave(self):
        """Relays and receives nothing more."""
        self._relay.stop()
        if self.is_on:
            self._reports.announce_leaving()

    def relay_odds(self):
        """Returns where the next new connection would be relayed.

        Nothing is relayed, and nothing changes.

        Returns:
            Mapping of relay addresses to probabilities; empty if it is served here.
        """
        if not self.is_on or not self._share.would_take_next:
            return {}
        return self._rooms.odds(self._runtime.now())

    @property
    def relayed_share(self):
        """Share of the new connections that is relayed at present."""
        return self._share.share

    @property
    def busy_share(self):
        """Share of the time in which the event loop is busy."""
        return self._meter.busy

    @property
    def room_per_s(self):
        """Requests a second that this gateway takes from others, present ones too."""
        return min(self._meter.room_per_s, self._link.room_per_s)

    def expected_peer_room_per_s(self):
        """Returns what ``peer_room_per_s`` would, and forgets nothing."""
        return self._rooms.expected_room_per_s(self._runtime.now())

    def _choose(self):
        now = self._runtime.now()
        if not self._share.takes_next(now):
            return None
        return self._rooms.choose(now, self._rng)

    def _record_failure(self, address):
        self._rooms.record_failure(address, self._runtime.now())

    def _record_load(self, busy_s, now):
        self._meter.record(busy_s, now)
        self._link.record(self.peer_room_per_s(), now)
        link = self._link.share
        self._overload.record_link(link.refused_share, link.has_peer_room, now)
        if not self.is_on:
            return
        self._share.record(self._meter.busy, now, is_link_full=link.is_near_limit)
        is_relaying = self._share.share > 0.0
        if is_relaying != self._is_relaying:
            self._is_relaying = is_relaying
            _log.info(
                "Relaying begins." if is_relaying else "Relaying ends.",
                busy=round(self._meter.busy, 2),
                peer_room_per_s=round(self.peer_room_per_s(), 1),
            )
