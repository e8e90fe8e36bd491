"""The choice of a server that the next attempt would get, without making it."""

from dataclasses import dataclass, field

from pistachiowell.admission import ClosedBy
from pistachiowell.gateway.selection.selection_parts import engine_request
from pistachiowell.gateway.servers import ServerFilters
from pistachiowell.routing import even_odds, place_crash_candidate

# Reasons for ``left_out``, which operators read.
LEAVING = "it leaves"
REPLACED = "another server has its address"
NOT_AT_HOME = "outside the home regions"
EVACUATED = "its data centre is evacuated"
OTHER_VERSION = "its version gets no requests"
NO_ROOM = "it takes no requests now"
UNREACHABLE = "it refuses connections"
SILENT = "it does not answer, or is in doubt"
FAILING = "it fails or is slow"
CRASH_CANDIDATE = "another server is tried with a request that may crash servers"


@dataclass(slots=True)
class ExpectedChoice:
    """What the next choice among the servers of a service would be.

    Attributes:
        odds: Probability by id of each server that may be chosen.
        costs_s: Cost in seconds by id of each server among which the choice is; empty
            for a choice by load.
        left_out: Why it cannot be chosen, by id of each other server.
        servers: Each ``BackendServer`` considered, by id.
        versions: Share of the attempts by version.
        refusals: Pairs of the probability of a refusal and of the servers that are
            allowed but have no room; an empty list if no server is allowed.
        late_refusals: Pairs of the probability and of the range of the delay in
            seconds, where no engine can begin the request in time.
    """

    odds: dict = field(default_factory=dict)
    costs_s: dict = field(default_factory=dict)
    left_out: dict = field(default_factory=dict)
    servers: dict = field(default_factory=dict)
    versions: dict = field(default_factory=dict)
    refusals: list = field(default_factory=list)
    late_refusals: list = field(default_factory=list)


class ChoiceForecast:
    """Follows the steps of ``Selection.choose`` and changes nothing.

    Args:
        parts: The ``SelectionParts`` of the ``Selection``.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_filters", "_now", "_parts")

    def __init__(self, parts, now):
        self._parts = parts
        self._filters = ServerFilters(parts)
        self._now = now

    def expect(self, request, service_name, crashed_servers, rank):
        """Returns the ``ExpectedChoice`` of the first attempt of a request.

        Args:
            request: The ``GatewayRequest``.
            service_name: Name of the service.
            crashed_servers: Ids of the servers that crashed while they ran the request.
            rank: Rank of the attempt; 0 is the most urgent.
        """
        expected, now = ExpectedChoice(), self._now()
        accepting = self._accepting(expected, request, service_name, now)
        versions = self._parts.moves.expected_servers(service_name, accepting)
        in_use = {server.id for server in (*versions.old, *versions.new)}
        for server in accepting:
            if server.id not in in_use:
                expected.left_out[server.id] = OTHER_VERSION
        for share, servers in (
            (1.0 - versions.new_share, versions.old),
            (versions.new_share, versions.new),
        ):
            if not share:
                continue
            self._add_part(
                expected, share, servers, request, crashed_servers, rank, now
            )
        return expected

    def _late_range_s(self, request, servers, rank):
        """Returns the range of the delay if no engine can begin in time, or None."""
        work = engine_request(request)
        if work is None:
            return None
        service_name = servers[0].service
        return self._parts.late.retry_range_s(
            request, service_name, servers, work, rank
        )

    def _accepting(self, expected, request, service_name, now):
        """Returns the servers that accept work, and records why others do not."""
        parts = self._parts
        available = parts.servers.available_servers(service_name, now)
        expected.servers = {server.id: server for server in available}
        for server in parts.servers.known.values():
            if server.service == service_name and server.id not in expected.servers:
                expected.servers[server.id] = server
                why = LEAVING if server.is_leaving else REPLACED
                expected.left_out[server.id] = why
        homes = parts.places.home_regions(request)
        accepting = []
        for server in available:
            why = self._why_closed(server, homes)
            if why:
                expected.left_out[server.id] = why
            else:
                accepting.append(server)
        return accepting

    def _why_closed(self, server, homes):
        if not self._parts.places.is_in(server, homes):
            return NOT_AT_HOME
        if self._parts.limits.closed_by(server) is ClosedBy.leaving:
            return LEAVING
        return EVACUATED if self._parts.places.is_evacuated(server) else ""

    def _add_part(self, expected, share, allowed, request, crashed_servers, rank, now):
        """Adds the choice among the servers of the versions that get a share."""
        filters = self._filters
        with_room = filters.with_room(allowed, rank)
        if not with_room:
            expected.refusals.append((share, allowed))
            expected.left_out.update({server.id: NO_ROOM for server in allowed})
            return
        late_range_s = self._late_range_s(request, allowed, rank)
        if late_range_s is not None:
            expected.late_refusals.append((share, late_range_s))
            return
        left_out = expected.left_out
        servers = {server.id: server for server in with_room}
        usable = self._usable(left_out, with_room, now)
        left_out.update({s.id: NO_ROOM for s in allowed if s.id not in servers})
        candidates = [filters.candidate(servers[name]) for name in usable]
        if crashed_servers:
            fingerprint = request.fingerprint
            chosen = place_crash_candidate(candidates, fingerprint, crashed_servers)
            others = [n for n in usable if n != chosen.server]
            left_out.update(dict.fromkeys(others, CRASH_CANDIDATE))
            candidates = [chosen]
        odds = self._odds(expected, request, candidates, now)
        for name, probability in odds.items():
            expected.odds[name] = expected.odds.get(name, 0.0) + share * probability
            version = servers[name].version
            known = expected.versions.get(version, 0.0)
            expected.versions[version] = known + share * probability

    def _usable(self, left_out, servers, now):
        """Returns the ids of the servers to choose from, and records why not others."""
        filters = self._filters
        reachable = filters.reachable(servers, now)
        answering = filters.answering(reachable, (), now)
        usable = filters.expected_healthy(answering, now)
        left_out.update({s.id: UNREACHABLE for s in servers if s.id not in reachable})
        left_out.update({n: SILENT for n in reachable if n not in answering})
        left_out.update({n: FAILING for n in answering if n not in usable})
        return usable

    def _odds(self, expected, request, candidates, now):
        work = engine_request(request)
        if work is None:
            return self._parts.picker.odds(candidates, "", now)
        engine = request.service.engine
        costs_s = self._parts.placer.costs_s(candidates, work, engine, now)
        least_s = min(costs_s)
        names = [candidate.server for candidate in candidates]
        pairs = list(zip(names, costs_s, strict=True))
        expected.costs_s.update(pairs)
        return even_odds(name for name, cost_s in pairs if cost_s == least_s)
