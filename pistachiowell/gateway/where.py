"""Tells where this gateway would send a request now, without sending it.

It follows the checks of ``GatewayApp`` and ``Dispatch`` in their order with functions
that change nothing, and asks no other process.
"""

from collections import Counter
from dataclasses import dataclass, field

from pistachiowell.core.errors import (
    BudgetUnreachable,
    Leaving,
    Overloaded,
    PistachiowellError,
    Unauthorized,
)
from pistachiowell.gateway.expected_choice import ChoiceForecast
from pistachiowell.gateway.late_prompts import TOO_LATE_TEXT
from pistachiowell.gateway.load_sharing import overload_text
from pistachiowell.gateway.messages import request_rank
from pistachiowell.gateway.placement_report import (
    AccountReport,
    GrantReport,
    OverloadReport,
    PlacementReport,
    RefusalReport,
    RouteReport,
    ServiceReport,
    VersionReport,
)
from pistachiowell.gateway.selection import engine_request
from pistachiowell.gateway.server_filters import ServerFilters
from pistachiowell.gateway.server_reports import ServerReports
from pistachiowell.gateway.spending import NO_OWNER_RETRY_AFTER_S
from pistachiowell.gateway.where_request import (
    find_account,
    find_route,
    make_request,
)
from pistachiowell.gateway.where_summary import open_points, outcome_of

# An answer with so many servers has about 25 KB.
MAX_LISTED_SERVERS = 64
MAX_LISTED_GRANTS = 32


@dataclass(slots=True)
class _Findings:
    """What the checks of one question have found so far.

    Attributes:
        refusals: Each ``RefusalReport``, in the order of the checks.
        odds: Probability by id of each server that the request may be sent to.
    """

    refusals: list = field(default_factory=list)
    odds: dict = field(default_factory=dict)

    def refuse(self, error, range_s=None, probability=1.0):
        """Adds the refusal that an error stands for.

        Args:
            error: The ``PistachiowellError`` that the caller would get.
            range_s: Least and most seconds of ``Retry-After``; None for those of the
                error.
            probability: Probability of the refusal.
        """
        least_s, most_s = range_s or (error.retry_after_s, error.retry_after_s)
        self.refusals.append(
            RefusalReport(
                str(error.code),
                error.http_status,
                error.message,
                round(least_s, 3),
                round(most_s, 3),
                round(probability, 4),
            )
        )


class WhereReporter:
    """Reports where this gateway would send a request, and why.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
        stop: The ``PlannedStop``.
        overload: The ``OverloadPolicy``.
        load: The ``LoadSharing``.
        spending: The ``GatewaySpending``.
        grants: The ``GrantMemory``.
        crashes: The ``ServerCrashes``.
        dispatch: The ``Dispatch``.
        parts: The ``SelectionParts``.
    """

    __slots__ = (
        "_crashes",
        "_dispatch",
        "_filters",
        "_forecast",
        "_grants",
        "_load",
        "_overload",
        "_parts",
        "_runtime",
        "_server_reports",
        "_spending",
        "_state",
        "_stop",
    )

    def __init__(
        self,
        runtime,
        state,
        stop,
        overload,
        load,
        spending,
        grants,
        crashes,
        dispatch,
        parts,
    ):
        self._runtime = runtime
        self._state = state
        self._stop = stop
        self._overload = overload
        self._load = load
        self._spending = spending
        self._grants = grants
        self._crashes = crashes
        self._dispatch = dispatch
        self._parts = parts
        self._filters = ServerFilters(parts)
        self._forecast = ChoiceForecast(parts, runtime.now)
        self._server_reports = ServerReports(parts, runtime.now)

    def report(self, question):
        """Returns the ``PlacementReport`` of a ``WhereQuestion``.

        Raises:
            NotFound: The route or the account is not known.
            InvalidRequest: The path or the route belongs to several hosts.
            Leaving: The gateway has no configuration yet.
        """
        catalog, now = self._state.catalog, self._runtime.now()
        if catalog is None:
            raise Leaving("The gateway has no configuration yet.")
        route = find_route(catalog, question)
        account = find_account(catalog, route, question)
        request = make_request(catalog, route, account, question, now)
        rank = request_rank(account, route) if question.rank is None else question.rank
        findings = _Findings()
        self._check_gateway(findings, request, rank, now)
        account_report = self._account_report(findings, request)
        crashed_servers = self._check_crashes(findings, request)
        services = self._services(findings, request, crashed_servers, rank)
        outcome, reason = outcome_of(request, findings.refusals, findings.odds)
        settings = self._runtime.settings
        return PlacementReport(
            gateway=settings.id,
            data_centre=settings.data_centre,
            revision=catalog.revision,
            outcome=outcome,
            reason=reason,
            chosen=_likeliest(findings.odds) if outcome != "refused" else {},
            refusals=findings.refusals,
            rank=rank,
            left_s=round(request.deadline - now, 3),
            route=self._route_report(request),
            services=services,
            account=account_report,
            overload=self._overload_report(),
            notes=open_points(request, question, account_report, services),
        )

    def _check_gateway(self, findings, request, rank, now):
        """Makes the checks of ``GatewayApp``, which precede those of ``Dispatch``."""
        if not self._state.evacuations.is_known:
            findings.refuse(
                Leaving("It is not known yet which data centres are evacuated.")
            )
        catalog, route, account = self._state.catalog, request.route, request.account
        if account is None and catalog.accounts is not None and not route.is_public:
            findings.refuse(Unauthorized("The route needs an account."))
        name = account.name if account is not None else ""
        range_s = self._overload.expected_wait_s(name, now, rank)
        if range_s[1]:
            error = Overloaded(overload_text(self._overload))
            findings.refuse(error, range_s)
        if request.deadline <= now:
            findings.refuse(Overloaded("The deadline of the request has passed."))
        try:
            self._stop.check(route, request.deadline, now)
        except PistachiowellError as error:
            findings.refuse(error)

    def _check_crashes(self, findings, request):
        try:
            return self._crashes.check(request)
        except PistachiowellError as error:
            findings.refuse(error)
        return ()

    def _services(self, findings, request, crashed_servers, rank):
        odds = self._dispatch.service_odds(request.route)
        if request.service is None:
            findings.refuse(Overloaded(f"Route {request.route.name} has no service."))
            odds = {}
        return [
            self._service_report(
                findings, request, name, odds.get(name, 0.0), crashed_servers, rank
            )
            for name in sorted(request.route.weights, key=lambda n: -odds.get(n, 0.0))
        ]

    def _service_report(
        self, findings, request, name, probability, crashed_servers, rank
    ):
        weight = request.route.weights[name]
        if not probability:
            return ServiceReport(name, weight, 0.0)
        expected = self._forecast.expect(request, name, crashed_servers, rank)
        self._add_refusals(findings, request, name, probability, expected, rank)
        for server_id, share in expected.odds.items():
            known = findings.odds.get(server_id, 0.0)
            findings.odds[server_id] = round(known + probability * share, 4)
        listed = self._server_reports.describe(
            request, expected, rank, MAX_LISTED_SERVERS
        )
        return ServiceReport(
            name,
            weight,
            round(probability, 4),
            engine_request(request) is not None,
            self._versions(name, expected),
            listed,
            len(expected.servers) - len(listed),
        )

    def _add_refusals(self, findings, request, name, probability, expected, rank):
        for share, servers in expected.refusals:
            if servers:
                text = self._parts.states.describe(servers, rank)
                error = Overloaded(
                    f"The servers take no more requests at present ({text})."
                )
                range_s = self._parts.limits.return_range_s(servers, rank)
            else:
                error = self._filters.no_server(request, name, self._runtime.now())
                range_s = None
            findings.refuse(error, range_s, probability * share)
        for share, range_s in expected.late_refusals:
            findings.refuse(Overloaded(TOO_LATE_TEXT), range_s, probability * share)

    def _versions(self, service, expected):
        counts = Counter(server.version for server in expected.servers.values())
        reports = []
        for version, count in sorted(counts.items()):
            share = expected.versions.get(version, 0.0)
            state = self._parts.moves.version_state(service, version)
            state = state or ("in use" if share else "not in use")
            reports.append(VersionReport(version, count, state, round(share, 4)))
        return reports

    def _route_report(self, request):
        route, homes = request.route, self._parts.places.home_regions(request)
        return RouteReport(
            name=route.name,
            host=route.host,
            path_prefix=route.path_prefix,
            kind=str(route.kind),
            timeout_s=route.timeout_s,
            max_attempts=route.max_attempts,
            home_regions=sorted(homes) if homes is not None else None,
        )

    def _account_report(self, findings, request):
        account = request.account
        if account is None:
            return None
        needed = request.prompt.bound_tokens if request.prompt is not None else 0
        if account.prepaid_tokens is None:
            return AccountReport(account.name, has_budget=False)
        owners = self._spending.owner_names(account.name)
        if needed and not owners:
            findings.refuse(
                BudgetUnreachable(
                    f"No agent can reserve tokens of {account.name}.",
                    retry_after_s=NO_OWNER_RETRY_AFTER_S,
                )
            )
        notices = self._grants.known_grants(account.name)[-MAX_LISTED_GRANTS:]
        return AccountReport(
            name=account.name,
            has_budget=True,
            needed_tokens=needed,
            prepaid_tokens=account.prepaid_tokens,
            owners=owners,
            grants=[
                GrantReport(n.grant_id, n.holder, n.tokens, n.is_closed)
                for n in notices
            ],
        )

    def _overload_report(self):
        load = self._load
        return OverloadReport(
            refused_share=round(self._overload.refused_share, 4),
            busy_share=round(load.busy_share, 4),
            room_per_s=round(load.room_per_s, 2),
            peer_room_per_s=round(load.expected_peer_room_per_s(), 2),
            relayed_share=round(load.relayed_share, 4),
            relayed_to=load.relay_odds(),
        )


def _likeliest(odds):
    pairs = sorted(odds.items(), key=lambda pair: -pair[1])
    return dict(pairs[:MAX_LISTED_SERVERS])
