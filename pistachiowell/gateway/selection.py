"""Selection of the backend server for each attempt of a request."""

from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.attempt import Attempt, Choice
from pistachiowell.gateway.exchange import NotConnected
from pistachiowell.gateway.late_prompts import LatePrompts
from pistachiowell.gateway.load_reports import decode_load
from pistachiowell.gateway.server_filters import (
    SelectionParts,
    ServerFilters,
    registration_of,
)
from pistachiowell.routing import (
    PICKERS,
    PLACERS,
    EngineRates,
    EngineRequest,
    EngineRun,
    EngineTable,
    HealthTable,
    LoadTable,
    PlacementSettings,
    RateSettings,
    RoutingSettings,
    UnreachableServers,
    UnreachableSettings,
    place_crash_candidate,
)

# Codes of errors that count against the health of a server.
HEALTH_FAULTS = frozenset({"server_failed", "answer_broken"})
# Part of the upper bound of an answer's tokens that it is expected to have.
EXPECTED_OUTPUT_SHARE = 0.4
# Shortest time between two checks whether the set of slow engines has changed.
SLOW_CHECK_INTERVAL_S = 1.0

_log = part_logger("dispatch")


class Selection:
    """Selects servers by expected wait, health and data centre.

    Args:
        servers: The ``ServerRegistry``.
        moves: The ``GatewayMoves``; restricts the versions that an attempt may go to.
        silence: The ``SilenceMonitor``; leaves out servers that do not answer.
        limits: The ``ServerLimits``; leaves out servers whose limit is reached.
        places: The ``Places``; tells in errors which regions a request must not leave.
        states: The ``ServerStates``; tells in errors why servers are closed.
        settings: ``GatewaySettings``.
        rng: A ``Random``.
        now: Function that returns the monotonic time in seconds.

    Attributes:
        engines: Loads of the engines.
        late: The ``LatePrompts``.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = (
        "_cold_cost_s",
        "_filters",
        "_health",
        "_loads",
        "_moves",
        "_parts",
        "_picker",
        "_placer",
        "_servers",
        "_slow_checked_at",
        "_slow_names",
        "_unreachable",
        "engines",
        "late",
        "now",
    )

    def __init__(
        self, servers, moves, silence, limits, places, states, settings, rng, now
    ):
        self._servers = servers
        self._moves = moves
        self.now = now
        routing = RoutingSettings()
        placement, rates = PlacementSettings(), None
        if settings.uneven_servers:
            routing = RoutingSettings(picker="six_choices")
            placement = PlacementSettings(placer="learned_cost")
            rates = EngineRates(RateSettings())
        self._health = HealthTable(routing)
        self._loads = LoadTable(routing)
        self._unreachable = UnreachableServers(UnreachableSettings())
        self._picker = PICKERS.find(routing.picker)(routing, self._loads, rng)
        self._slow_checked_at = float("-inf")
        self._slow_names = frozenset()
        self._cold_cost_s = placement.cold_cost_s
        self.engines = EngineTable(placement, rates)
        self.late = LatePrompts(settings, self.engines, rng, now)
        self._placer = PLACERS.find(placement.placer)(placement, self.engines, rng)
        self._parts = SelectionParts(
            servers=servers,
            moves=moves,
            silence=silence,
            limits=limits,
            places=places,
            states=states,
            settings=settings,
            health=self._health,
            loads=self._loads,
            unreachable=self._unreachable,
            engines=self.engines,
            picker=self._picker,
            placer=self._placer,
            late=self.late,
        )
        self._filters = ServerFilters(self._parts)

    @property
    def parts(self):
        """The ``SelectionParts``."""
        return self._parts

    @property
    def avoided_servers(self):
        """Number of servers that are avoided because they refused a connection."""
        return self._unreachable.count(self.now())

    @property
    def slow_servers(self):
        """Number of engines that are known to be slower than the others."""
        return len(self.engines.slow_engines(self.now()))

    def record_first_token(self, placed, shown_at):
        """Records the first part of an answer of an engine.

        Args:
            placed: The ``PlacedRequest``.
            shown_at: Present time in seconds; None if it shows nothing.
        """
        self.engines.record_first_token(placed, shown_at)
        now = self.now()
        if now < self._slow_checked_at + SLOW_CHECK_INTERVAL_S:
            return
        self._slow_checked_at = now
        slow = self.engines.slow_engines(now)
        if slow.keys() != self._slow_names:
            self._slow_names = slow.keys()
            factors = {name: round(factor, 2) for name, factor in slow.items()}
            _log.info("The engines known to be slow have changed.", factors=factors)

    def failures(self, server_id):
        """Returns the failures of a server that count against its health."""
        return self._health.failures(server_id)

    def has_other_server(self, request, service_name, tried, priority):
        """Returns whether a server that answers has room for another attempt.

        Args:
            request: The ``GatewayRequest``.
            service_name: Name of the service.
            tried: Ids of the servers of earlier attempts.
            priority: Rank of the attempt; 0 is the most urgent.
        """
        now, filters = self.now(), self._filters
        allowed = filters.allowed(request, service_name, now)
        return any(
            server.id not in tried and filters.is_answering(server, now)
            for server in filters.with_room(allowed, priority)
        )

    def choose(self, request, service_name, tried, crashed_servers, priority):
        """Chooses a server for an attempt.

        Args:
            request: The ``GatewayRequest``.
            service_name: Name of the service.
            tried: Ids of the servers of earlier attempts; avoided if there are others.
            crashed_servers: Ids of the servers that crashed while they ran the request;
                empty if it is no crash candidate.
            priority: Rank of the attempt; 0 is the most urgent.

        Returns:
            A ``Choice``.

        Raises:
            NoServer: The service has no server that accepts requests.
            NoRoom: The limits of all its servers are reached, or none of them can begin
                the request in time.
        """
        now, filters = self.now(), self._filters
        allowed = filters.allowed(request, service_name, now)
        if not allowed:
            raise filters.no_server(request, service_name, now)
        servers = filters.reachable(filters.with_room(allowed, priority), now)
        if not servers:
            raise filters.no_room(allowed, priority)
        usable = filters.healthy(filters.answering(servers, tried, now), now)
        candidates = [filters.candidate(servers[name]) for name in usable]
        if crashed_servers:
            candidates = [
                place_crash_candidate(candidates, request.fingerprint, crashed_servers)
            ]
        work = engine_request(request)
        if work is None:
            picked = self._picker.pick(candidates, "", now)
            wait_s = self._cold_cost_s if picked.is_cold else 0.0
            return Choice(servers[picked.server], expected_wait_s=wait_s)
        if not tried:
            self.late.check(request, service_name, allowed, work)
        engine = request.service.engine
        picked, expected_wait_s = self._placer.place(candidates, work, engine, now)
        return Choice(servers[picked.server], work, expected_wait_s)

    def has_open_move(self, service_name):
        """Returns whether a service has an open version move."""
        return self._moves.tracker(service_name) is not None

    def choose_hedge(self, request, service_name, tried, priority, max_load_per_slot):
        """Chooses a server for a second attempt beside one that is in progress.

        Nothing speaks against it: it is no server to fall back on.

        Args:
            request: The ``GatewayRequest``.
            service_name: Name of the service.
            tried: Ids of the servers of the attempts so far.
            priority: Rank of the attempt; 0 is the most urgent.
            max_load_per_slot: Load per slot above which a server is left out.

        Returns:
            A ``Choice``; None if no server is left.
        """
        now, filters = self.now(), self._filters
        allowed = filters.allowed(request, service_name, now)
        servers = {
            server.id: server
            for server in filters.with_room(allowed, priority)
            if server.id not in tried
            and filters.is_sound(server, now)
            and self._loads.load_per_slot(server.id, now) < max_load_per_slot
        }
        if not servers:
            return None
        candidates = [filters.candidate(server) for server in servers.values()]
        return Choice(servers[self._picker.pick(candidates, "", now).server])

    def may_start(self, service_name, choice):
        """Returns whether the version of a ``Choice`` may still get a request."""
        return self._moves.may_start(service_name, choice.server)

    def start_attempt(self, request, service_name, choice):
        """Records that an attempt is sent to the chosen server.

        Args:
            request: The ``GatewayRequest``.
            service_name: Name of the service.
            choice: The ``Choice``.

        Returns:
            An ``Attempt``.
        """
        now, server, placed = self.now(), choice.server, None
        expected_queue = None
        if choice.work is not None:
            expected_queue = self.late.expected_wait_s(
                request, service_name, server, choice.work
            )
            is_cold = self._parts.limits.is_cold(server)
            origin = EngineRun(service_name, server.started_ms, is_cold)
            placed = self.engines.record_sent(server.id, choice.work, now, origin)
        self._loads.set_slots(server.id, server.slots)
        self._loads.record_sent(server.id)
        self._health.record_start(server.id, now)
        self._unreachable.record_start(registration_of(server), now)
        move_attempt = self._moves.record_start(service_name, server, now)
        return Attempt(
            self,
            server,
            placed,
            choice.expected_wait_s,
            request.fingerprint,
            expected_queue,
            move_attempt,
            now,
        )

    def record_loads(self, shares):
        """Records the loads of the other gateways at engines.

        Args:
            shares: An ``EngineShare`` for each engine.
        """
        self.record_remote_loads({s.address: decode_load(s) for s in shares})

    def record_remote_loads(self, loads):
        """Records the ``EngineLoad`` of the other gateways by server address."""
        now = self.now()
        for address, load in loads.items():
            server_id = self._servers.by_address.get(address)
            if server_id is not None:
                self.engines.record_remote_load(server_id, load, now)

    def loads_by_address(self):
        """Returns the ``EngineLoad`` of this gateway's requests by server address.

        Engines without any are left out.
        """
        loads, ids = self.engines.own_loads(), self._servers.by_address
        return {address: loads[name] for address, name in ids.items() if name in loads}

    def record_end(self, attempt, error):
        """Records the end of an attempt; see ``Attempt.record_end``.

        A server that refuses requests because of overload is healthy, and an attempt
        that ended for another reason without a fault of the server shows nothing about
        its health. Neither counts as a failure of the server. A refused connection has
        the server avoided at once.
        """
        now, latency_s = self.now(), attempt.latency_s
        server_id = attempt.server.id
        self._record_reachability(attempt, error, now)
        self._loads.record_end(server_id)
        if error is None and latency_s is not None:
            self._health.record_success(server_id, latency_s, now)
        elif error is not None and str(error.code) == "overloaded":
            self._loads.record_refusal(server_id, now)
            self._health.record_inconclusive(server_id)
        elif error is not None and str(error.code) in HEALTH_FAULTS:
            self._health.record_failure(server_id, now)
        else:
            self._health.record_inconclusive(server_id)

    def _record_reachability(self, attempt, error, now):
        registration = registration_of(attempt.server)
        if isinstance(error, NotConnected):
            self._unreachable.record_refusal(registration, now)
            self.engines.record_gone(attempt.server.id)
        elif attempt.has_answered:
            self._unreachable.record_answer(registration, attempt.started_at)
        else:
            self._unreachable.record_inconclusive(registration)

    def record_version_answer(self, server, failed, started_at):
        """Records an answer that counts for the version of its server."""
        self._moves.record_end(server.service, server, failed, started_at)

    def record_abandoned(self, server):
        """Records the end of an attempt that was given up; see ``Attempt``."""
        self._loads.record_end(server.id)
        self._health.record_inconclusive(server.id)
        self._unreachable.record_inconclusive(registration_of(server))


def engine_request(request):
    """Returns the ``EngineRequest`` of a ``GatewayRequest``.

    None if its server is chosen by load: the service has no engines, or the request
    announces no prompt.
    """
    prompt = request.prompt
    if request.service.engine is None or prompt is None:
        return None
    output_tokens = int(EXPECTED_OUTPUT_SHARE * prompt.max_output_tokens)
    return EngineRequest(prompt.tokens, output_tokens, prompt.parts)
