"""Selection of the backend server for each attempt of a request."""

from dataclasses import dataclass

from pistachiowell.core.errors import NoServer
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.exchange import NotConnected
from pistachiowell.gateway.late_prompts import LatePrompts
from pistachiowell.gateway.load_reports import decode_load
from pistachiowell.routing import (
    NO_LOAD,
    PICKERS,
    PLACERS,
    Candidate,
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

# Codes of errors that count against the health of a server, and against the version
# that it runs while a move is open. A version that refuses work which the old one
# accepts is worse.
HEALTH_FAULTS = frozenset({"server_failed", "answer_broken"})
VERSION_FAULTS = frozenset(
    {"server_failed", "answer_broken", "deadline_exceeded", "overloaded"}
)
ERROR_STATUS = 400
SERVER_ERROR_STATUS = 500
EXPECTED_OUTPUT_SHARE = 0.4
SLOW_CHECK_INTERVAL_S = 1.0

_log = part_logger("dispatch")


class Attempt:
    """One attempt at the server selected for it; call ``record_end`` exactly once.

    Args:
        selection: The ``Selection``.
        server: The ``BackendServer``.
        placed: The ``PlacedRequest``; None at a server without an engine.
        expected_wait_s: Expected wait for the first token in seconds.
        fingerprint: Fingerprint of the request.
        expected_queue: What ``LatePrompts.expected_wait_s`` returned; None otherwise.
        move_attempt: The ``MoveAttempt``; None if the service has no open move.
        now: Present time in seconds.

    Attributes:
        server: The ``BackendServer``.
        started_at: Time of the start in seconds.
        expected_wait_s: Expected wait for the first token in seconds.
        has_answered: Whether the head of an answer has come.
        latency_s: Seconds from the start to the first byte of the answer; None before.
    """

    __slots__ = (
        "_expected_queue",
        "_fingerprint",
        "_has_failed",
        "_is_success",
        "_move_attempt",
        "_placed",
        "_selection",
        "expected_wait_s",
        "has_answered",
        "latency_s",
        "server",
        "started_at",
    )

    def __init__(
        self,
        selection,
        server,
        placed,
        expected_wait_s,
        fingerprint,
        expected_queue,
        move_attempt,
        now,
    ):
        self._selection = selection
        self._expected_queue = expected_queue
        self._move_attempt = move_attempt
        self._fingerprint = fingerprint
        self._has_failed = False
        self._is_success = False
        self._placed = placed
        self.started_at = now
        self.server = server
        self.expected_wait_s = expected_wait_s
        self.has_answered = False
        self.latency_s = None

    @property
    def age_s(self):
        """Seconds since the start."""
        return self._selection.now() - self.started_at

    def record_status(self, status):
        """Records the status of the answer.

        An answer that is passed on to the caller as it is may still be a failure of the
        version that gave it.
        """
        self.has_answered = True
        self._has_failed = status >= SERVER_ERROR_STATUS
        self._is_success = status < ERROR_STATUS

    def record_first_byte(self):
        """Records the arrival of the first part of the answer; ignores later parts."""
        if self.latency_s is not None:
            return
        now = self._selection.now()
        self.latency_s = now - self.started_at
        if self._move_attempt is not None:
            self._move_attempt.record_first_part(now)
        if self._placed is not None:
            # An error is no token and shows nothing about the engine's speed.
            shown_at = now if self._is_success else None
            self._selection.record_first_token(self._placed, shown_at)
            if self._is_success:
                self._selection.late.record_wait(self._expected_queue, self.latency_s)

    def record_events(self, count):
        """Records that events of a stream have arrived."""
        if self._move_attempt is not None:
            self._move_attempt.record_events(count, self._selection.now())

    def record_end(self, error, is_exempt):
        """Records the end of the attempt.

        Args:
            error: The ``PistachiowellError``, or None.
            is_exempt: Function of fingerprint and server id that returns whether a
                failure says nothing about the server's version.
        """
        self._release()
        if self._move_attempt is not None:
            self._move_attempt.stop_waiting()
        exempt = error is not None and is_exempt(self._fingerprint, self.server.id)
        self._selection.record_end(self, error)
        code = str(error.code) if error is not None else ""
        if error is None or (code in VERSION_FAULTS and not exempt):
            failed = error is not None or self._has_failed
            self._selection.record_version_answer(self.server, failed, self.started_at)

    def record_abandoned(self):
        """Records that the attempt was given up and shows nothing about its server."""
        self._release()
        if self._move_attempt is not None:
            self._move_attempt.record_left(self._selection.now())
        self._selection.record_abandoned(self.server)

    def _release(self):
        if self._placed is not None:
            self._selection.engines.record_end(self._placed)


@dataclass(frozen=True, slots=True)
class Choice:
    """A server that was chosen for an attempt, before the attempt starts.

    Attributes:
        server: The ``BackendServer``.
        work: The ``EngineRequest``; None at a server without an engine.
        expected_wait_s: Expected wait for the first token in seconds.
    """

    server: object
    work: EngineRequest | None = None
    expected_wait_s: float = 0.0


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
        "_health",
        "_limits",
        "_loads",
        "_moves",
        "_picker",
        "_placer",
        "_places",
        "_servers",
        "_settings",
        "_silence",
        "_slow_checked_at",
        "_slow_names",
        "_states",
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
        self._silence = silence
        self._limits = limits
        self._places = places
        self._states = states
        self._settings = settings
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
        now = self.now()
        allowed = self._allowed_servers(request, service_name, now)
        return any(
            server.id not in tried
            and not self._unreachable.is_avoided(_registration(server), now)
            and self._silence.is_answering(server.id)
            for server in self._limits.with_room(allowed, priority)
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
        now = self.now()
        allowed = self._allowed_servers(request, service_name, now)
        if not allowed:
            raise self._no_server(request, service_name, now)
        servers = self._reachable(self._limits.with_room(allowed, priority), now)
        if not servers:
            states = self._states.describe(allowed, priority)
            raise self._limits.no_room(allowed, priority, states)
        names = [name for name in servers if name not in tried] or list(servers)
        answering = self._silence.usable(names, now)
        usable = self._health.usable(answering, now) or answering
        candidates = [self._candidate(servers[name]) for name in usable]
        if crashed_servers:
            candidates = [
                place_crash_candidate(candidates, request.fingerprint, crashed_servers)
            ]
        engine = request.service.engine
        if engine is None or request.prompt is None:
            picked = self._picker.pick(candidates, "", now)
            wait_s = self._cold_cost_s if picked.is_cold else 0.0
            return Choice(servers[picked.server], expected_wait_s=wait_s)
        work = _work(request.prompt)
        if not tried:
            self.late.check(request, service_name, allowed, work)
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
        now = self.now()
        allowed = self._allowed_servers(request, service_name, now)
        servers = {
            server.id: server
            for server in self._limits.with_room(allowed, priority)
            if server.id not in tried
            and self._is_sound(server, now)
            and self._loads.load_per_slot(server.id, now) < max_load_per_slot
        }
        if not servers:
            return None
        candidates = [self._candidate(server) for server in servers.values()]
        return Choice(servers[self._picker.pick(candidates, "", now).server])

    def _is_sound(self, server, now):
        return (
            not self._limits.is_cold(server)
            and not self._limits.is_limited(server)
            and not self._unreachable.is_avoided(_registration(server), now)
            and self._health.is_usable(server.id, now)
            and self._silence.is_answering(server.id)
            and not self._silence.is_doubted(server.id)
        )

    def _reachable(self, servers, now):
        """Returns the servers by id without those that refuse connections."""
        by_registration = {_registration(server): server for server in servers}
        usable = self._unreachable.usable(by_registration, now)
        return {by_registration[r].id: by_registration[r] for r in usable}

    def _no_server(self, request, service_name, now):
        text = f"Service {service_name} has no server that accepts work"
        available = self._servers.available_servers(service_name, now)
        if not available:
            return NoServer(f"{text}.")
        at_home = self._places.at_home(available, request)
        if not at_home:
            homes = ", ".join(sorted(self._places.home_regions(request))) or "none"
            return NoServer(f"{text} in the home regions of the request ({homes}).")
        return NoServer(f"{text} ({self._states.describe(at_home)}).")

    def _allowed_servers(self, request, service_name, now):
        available = self._servers.available_servers(service_name, now)
        accepting = self._limits.accepting(available, request)
        return self._moves.filter_servers(service_name, accepting)

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
            is_cold = self._limits.is_cold(server)
            origin = EngineRun(service_name, server.started_ms, is_cold)
            placed = self.engines.record_sent(server.id, choice.work, now, origin)
        self._loads.set_slots(server.id, server.slots)
        self._loads.record_sent(server.id)
        self._health.record_start(server.id, now)
        self._unreachable.record_start(_registration(server), now)
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
        now = self.now()
        for share in shares:
            server_id = self._servers.by_address.get(share.address)
            if server_id is not None:
                self.engines.record_remote_load(server_id, decode_load(share), now)

    def loads_by_address(self):
        """Returns the ``EngineLoad`` of this gateway's requests by server address.

        Engines without any are left out.
        """
        ids = self._servers.by_address
        loads = {address: self.engines.own_load(name) for address, name in ids.items()}
        return {address: load for address, load in loads.items() if load != NO_LOAD}

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
        registration = _registration(attempt.server)
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
        self._unreachable.record_inconclusive(_registration(server))

    def _candidate(self, server):
        is_near = server.data_centre == self._settings.data_centre
        is_cold = self._limits.is_cold(server)
        return Candidate(server.id, server.data_centre, 0 if is_near else 1, is_cold)


def _registration(server):
    return (server.id, server.address, server.started_ms)


def _work(prompt):
    output_tokens = int(EXPECTED_OUTPUT_SHARE * prompt.max_output_tokens)
    return EngineRequest(prompt.tokens, output_tokens, prompt.parts)
