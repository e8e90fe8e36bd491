"""Selection of the backend server for each attempt of a request."""

from pistachiowell.gateway.selection.attempt import Choice
from pistachiowell.gateway.selection.selection_parts import engine_request, make_parts
from pistachiowell.gateway.selection.selection_records import SelectionRecords
from pistachiowell.gateway.servers import ServerFilters
from pistachiowell.routing import place_crash_candidate


class Selection:
    """Selects servers by expected wait, health and data centre.

    Args:
        sources: The ``SelectionSources``.
        settings: ``GatewaySettings``.
        rng: A ``Random``.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_filters", "_now", "_parts", "_records")

    def __init__(self, sources, settings, rng, now):
        self._now = now
        self._parts = make_parts(sources, settings, rng, now)
        self._filters = ServerFilters(self._parts)
        self._records = SelectionRecords(self._parts, now)

    @property
    def parts(self):
        """The ``SelectionParts``."""
        return self._parts

    @property
    def engines(self):
        """The ``EngineTable``."""
        return self._parts.engines

    @property
    def avoided_servers(self):
        """Number of servers that are avoided because they refused a connection."""
        return self._parts.unreachable.count(self._now())

    @property
    def slow_servers(self):
        """Number of engines that are known to be slower than the others."""
        return len(self.engines.slow_engines(self._now()))

    def failures(self, server_id):
        """Returns the failures of a server that count against its health."""
        return self._parts.health.failures(server_id)

    def has_other_server(self, request, service_name, tried, rank, *, is_certain=False):
        """Returns whether a server that answers has room for another attempt.

        Args:
            request: The ``GatewayRequest``.
            service_name: Name of the service.
            tried: Ids of the servers of earlier attempts.
            rank: Rank of the attempt; 0 is the most urgent.
            is_certain: Whether servers for which the attempt must be admitted, and may
                be refused, do not count.
        """
        now, filters = self._now(), self._filters
        allowed = filters.allowed(request, service_name, now)
        return any(
            server.id not in tried
            and filters.is_answering(server, now)
            and not (is_certain and filters.needs_admission(server))
            for server in filters.with_room(allowed, rank)
        )

    def choose(self, request, service_name, tried, crashed_servers, rank):
        """Chooses a server for an attempt.

        Args:
            request: The ``GatewayRequest``.
            service_name: Name of the service.
            tried: Ids of the servers of earlier attempts; avoided if there are others.
            crashed_servers: Ids of the servers that crashed while they ran the request;
                empty if it is no crash candidate.
            rank: Rank of the attempt; 0 is the most urgent.

        Returns:
            A ``Choice``.

        Raises:
            NoServer: The service has no server that accepts requests.
            NoRoom: The limits of all its servers are reached, or none of them can begin
                the request in time.
        """
        now, filters = self._now(), self._filters
        allowed = filters.allowed(request, service_name, now)
        if not allowed:
            raise filters.no_server(request, service_name, now)
        servers = filters.reachable(filters.with_room(allowed, rank), now)
        if not servers:
            raise filters.no_room(allowed, rank)
        usable = filters.healthy(filters.answering(servers, tried, now), now)
        candidates = [filters.candidate(servers[name]) for name in usable]
        if crashed_servers:
            candidates = [
                place_crash_candidate(candidates, request.fingerprint, crashed_servers)
            ]
        work = engine_request(request)
        if work is None:
            return self._choose_by_load(servers, candidates, now)
        if not tried:
            self._parts.late.check(request, service_name, allowed, work)
        engine = request.service.engine
        picked, expected_wait_s = self._parts.placer.place(
            candidates, work, engine, now
        )
        return Choice(servers[picked.server], work, expected_wait_s)

    def _choose_by_load(self, servers, candidates, now):
        """Returns the ``Choice`` for a request without a prompt for an engine."""
        picked = self._parts.picker.pick(candidates, "", now)
        wait_s = self._parts.cold_cost_s if picked.is_cold else 0.0
        return Choice(servers[picked.server], expected_wait_s=wait_s)

    def has_open_move(self, service_name):
        """Returns whether a service has an open version move."""
        return self._parts.moves.tracker(service_name) is not None

    def choose_hedge(self, request, service_name, tried, rank, max_load_per_slot):
        """Chooses a server for a second attempt beside one that is in progress.

        Nothing speaks against it: it is no server to fall back on.

        Args:
            request: The ``GatewayRequest``.
            service_name: Name of the service.
            tried: Ids of the servers of the attempts so far.
            rank: Rank of the attempt; 0 is the most urgent.
            max_load_per_slot: Load per slot above which a server is left out.

        Returns:
            A ``Choice``; None if no server is left.
        """
        now, filters = self._now(), self._filters
        allowed = filters.allowed(request, service_name, now)
        servers = {
            server.id: server
            for server in filters.with_room(allowed, rank)
            if server.id not in tried
            and filters.is_sound(server, now)
            and self._parts.loads.load_per_slot(server.id, now) < max_load_per_slot
        }
        if not servers:
            return None
        candidates = [filters.candidate(server) for server in servers.values()]
        return Choice(servers[self._parts.picker.pick(candidates, "", now).server])

    def may_start(self, service_name, choice):
        """Returns whether the version of a ``Choice`` may still get a request."""
        return self._parts.moves.may_start(service_name, choice.server)

    def start_attempt(self, request, service_name, choice):
        """Records that an attempt is sent; see ``SelectionRecords.start``."""
        return self._records.start(request, service_name, choice)

    def record_remote_loads(self, loads):
        """Records the ``EngineLoad`` of the other gateways by server address."""
        now, ids = self._now(), self._parts.servers.by_address
        for address, load in loads.items():
            server_id = ids.get(address)
            if server_id is not None:
                self.engines.record_remote_load(server_id, load, now)

    def loads_by_address(self):
        """Returns the ``EngineLoad`` of this gateway's requests by server address.

        Engines without any are left out.
        """
        loads, ids = self.engines.own_loads(), self._parts.servers.by_address
        return {address: loads[name] for address, name in ids.items() if name in loads}
