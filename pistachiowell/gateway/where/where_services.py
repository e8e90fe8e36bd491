"""The services and servers that a request would go to, and what they would refuse."""

from collections import Counter
from dataclasses import dataclass

from pistachiowell.core.errors import Overloaded
from pistachiowell.gateway.data import ServiceReport, VersionReport
from pistachiowell.gateway.selection import (
    TOO_LATE_TEXT,
    ChoiceForecast,
    engine_request,
)
from pistachiowell.gateway.servers import ServerFilters
from pistachiowell.gateway.where.server_reports import ServerReports

# An answer with so many servers has about 25 KB.
MAX_LISTED_SERVERS = 64


@dataclass(frozen=True, slots=True)
class FirstAttempt:
    """The first attempt of a request at a service.

    Attributes:
        request: The ``GatewayRequest``.
        service: Name of the service.
        probability: Probability that the service is chosen.
        crashed_servers: Ids of the servers that crashed while they ran the request.
        rank: Rank of the request; 0 is the most urgent.
    """

    request: object
    service: str
    probability: float
    crashed_servers: tuple
    rank: int


class ServiceReports:
    """Describes what would become of the first attempt; changes nothing.

    Args:
        dispatch: The ``Dispatch``.
        parts: The ``SelectionParts``.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = (
        "_dispatch",
        "_filters",
        "_forecast",
        "_now",
        "_parts",
        "_server_reports",
    )

    def __init__(self, dispatch, parts, now):
        self._dispatch = dispatch
        self._parts = parts
        self._now = now
        self._filters = ServerFilters(parts)
        self._forecast = ChoiceForecast(parts, now)
        self._server_reports = ServerReports(parts, now)

    def describe(self, findings, request, crashed_servers, rank):
        """Returns a ``ServiceReport`` of each service of a route, the likeliest first.

        Args:
            findings: The ``Findings``; gets the odds and the refusals.
            request: The ``GatewayRequest``.
            crashed_servers: Ids of the servers that crashed while they ran the request.
            rank: Rank of the request; 0 is the most urgent.
        """
        odds = self._dispatch.service_odds(request.route)
        if request.service is None:
            findings.refuse(Overloaded(f"Route {request.route.name} has no service."))
            odds = {}
        names = sorted(request.route.weights, key=lambda n: -odds.get(n, 0.0))
        attempts = [
            FirstAttempt(request, name, odds.get(name, 0.0), crashed_servers, rank)
            for name in names
        ]
        return [self._report(findings, attempt) for attempt in attempts]

    def _report(self, findings, attempt):
        request, name = attempt.request, attempt.service
        weight = request.route.weights[name]
        if not attempt.probability:
            return ServiceReport(name, weight, 0.0)
        expected = self._forecast.expect(
            request, name, attempt.crashed_servers, attempt.rank
        )
        self._add_refusals(findings, attempt, expected)
        findings.add_odds(expected.odds, attempt.probability)
        listed = self._server_reports.describe(
            request, expected, attempt.rank, MAX_LISTED_SERVERS
        )
        return ServiceReport(
            name,
            weight,
            round(attempt.probability, 4),
            engine_request(request) is not None,
            self._versions(name, expected),
            listed,
            len(expected.servers) - len(listed),
        )

    def _add_refusals(self, findings, attempt, expected):
        for share, servers in expected.refusals:
            error, range_s = self._refusal(attempt, servers)
            findings.refuse(error, range_s, attempt.probability * share)
        for share, range_s in expected.late_refusals:
            error = Overloaded(TOO_LATE_TEXT)
            findings.refuse(error, range_s, attempt.probability * share)

    def _refusal(self, attempt, servers):
        if not servers:
            request, name = attempt.request, attempt.service
            return self._filters.no_server(request, name, self._now()), None
        text = self._parts.states.describe(servers, attempt.rank)
        error = Overloaded(f"The servers take no more requests at present ({text}).")
        return error, self._parts.limits.return_range_s(servers, attempt.rank)

    def _versions(self, service, expected):
        counts = Counter(server.version for server in expected.servers.values())
        reports = []
        for version, count in sorted(counts.items()):
            share = expected.versions.get(version, 0.0)
            state = self._parts.moves.version_state(service, version)
            state = state or ("in use" if share else "not in use")
            reports.append(VersionReport(version, count, state, round(share, 4)))
        return reports
