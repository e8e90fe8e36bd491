"""Tells where this gateway would send a request now, without sending it.

It follows the checks of ``GatewayApp`` and ``Dispatch`` in their order with functions
that change nothing, and asks no other process.
"""

from dataclasses import dataclass

from pistachiowell.core.errors import (
    BudgetUnreachable,
    Leaving,
    Overloaded,
    PistachiowellError,
    Unauthorized,
)
from pistachiowell.gateway.data import (
    AccountReport,
    GrantReport,
    OverloadReport,
    PlacementReport,
    RouteReport,
    request_rank,
)
from pistachiowell.gateway.load import overload_text
from pistachiowell.gateway.money import NO_OWNER_RETRY_AFTER_S
from pistachiowell.gateway.where.where_findings import Findings
from pistachiowell.gateway.where.where_request import (
    find_account,
    find_route,
    make_request,
)
from pistachiowell.gateway.where.where_services import (
    MAX_LISTED_SERVERS,
    ServiceReports,
)
from pistachiowell.gateway.where.where_summary import open_points, outcome_of

MAX_LISTED_GRANTS = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class WhereSources:
    """The parts of the gateway that decide where a request goes.

    Attributes:
        state: The ``GatewayState``.
        stop: The ``PlannedStop``.
        load: The ``LoadSharing``.
        spending: The ``GatewaySpending``.
        grants: The ``GrantMemory``.
        crashes: The ``ServerCrashes``.
        dispatch: The ``Dispatch``.
        parts: The ``SelectionParts``.
    """

    state: object
    stop: object
    load: object
    spending: object
    grants: object
    crashes: object
    dispatch: object
    parts: object


class WhereReporter:
    """Reports where this gateway would send a request, and why.

    Args:
        runtime: The process's ``Runtime``.
        sources: The ``WhereSources``.
    """

    __slots__ = ("_runtime", "_service_reports", "_sources")

    def __init__(self, runtime, sources):
        self._runtime = runtime
        self._sources = sources
        self._service_reports = ServiceReports(
            sources.dispatch, sources.parts, runtime.now
        )

    def report(self, question):
        """Returns the ``PlacementReport`` of a ``WhereQuestion``.

        Raises:
            NotFound: The route or the account is not known.
            InvalidRequest: The path or the route belongs to several hosts.
            Leaving: The gateway has no configuration yet.
        """
        catalog, now = self._sources.state.catalog, self._runtime.now()
        if catalog is None:
            raise Leaving("The gateway has no configuration yet.")
        route = find_route(catalog, question)
        account = find_account(catalog, route, question)
        request = make_request(catalog, route, account, question, now)
        rank = request_rank(account, route) if question.rank is None else question.rank
        findings = Findings()
        self._check_gateway(findings, request, rank, now)
        account_report = self._account_report(findings, request)
        crashed_servers = self._check_crashes(findings, request)
        services = self._service_reports.describe(
            findings, request, crashed_servers, rank
        )
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
        state, route, account = self._sources.state, request.route, request.account
        if not state.evacuations.is_known:
            findings.refuse(
                Leaving("It is not known yet which data centres are evacuated.")
            )
        has_accounts = state.catalog.accounts is not None
        if account is None and has_accounts and not route.is_public:
            findings.refuse(Unauthorized("The route needs an account."))
        name = account.name if account is not None else ""
        overload = self._sources.load.overload
        range_s = overload.expected_wait_s(name, now, rank)
        if range_s[1]:
            error = Overloaded(overload_text(overload))
            findings.refuse(error, range_s)
        if request.deadline <= now:
            findings.refuse(Overloaded("The deadline of the request has passed."))
        try:
            self._sources.stop.check(route, request.prompt, request.deadline, now)
        except PistachiowellError as error:
            findings.refuse(error)

    def _check_crashes(self, findings, request):
        try:
            return self._sources.crashes.check(request)
        except PistachiowellError as error:
            findings.refuse(error)
        return ()

    def _route_report(self, request):
        route, homes = request.route, self._sources.parts.places.home_regions(request)
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
        owners = self._sources.spending.owner_names(account.name)
        if needed and not owners:
            findings.refuse(
                BudgetUnreachable(
                    f"No agent can reserve tokens of {account.name}.",
                    retry_after_s=NO_OWNER_RETRY_AFTER_S,
                )
            )
        notices = self._sources.grants.known_grants(account.name)[-MAX_LISTED_GRANTS:]
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
        load = self._sources.load
        return OverloadReport(
            refused_share=round(load.overload.refused_share, 4),
            busy_share=round(load.busy_share, 4),
            room_per_s=round(load.room_per_s, 2),
            peer_room_per_s=round(load.expected_peer_room_per_s(), 2),
            relayed_share=round(load.relayed_share, 4),
            relayed_to=load.relay_odds(),
        )


def _likeliest(odds):
    pairs = sorted(odds.items(), key=lambda pair: -pair[1])
    return dict(pairs[:MAX_LISTED_SERVERS])
