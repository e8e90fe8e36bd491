"""Document that tells where a gateway would send a request now, and why."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ServerReport:
    """A server of the service, with what speaks for and against it.

    Attributes:
        id: Id of the server.
        address: IP address and port.
        data_centre: Its data centre.
        distance: 0 in the gateway's data centre, 1 elsewhere in its region, 2 beyond.
        version: Version of its software.
        probability: Probability that the next attempt goes there.
        left_out: Why it cannot be chosen now; empty if it can.
        against: What speaks against it.
        in_favour: What speaks for it.
        load: Estimated number of requests in progress there.
        slots: Number of requests that it runs at once.
        cost_s: Expected wait with the costs of distance and others, in seconds; None
            for a choice by load, and for servers that are left out.
        queued_tokens: Prompt tokens that its engine still has to process; None without
            an engine.
        kept_tokens: Prompt tokens of the request that it is expected to have cached.
        cold_left_s: Seconds for which it is cold; 0 if it is warm.
        admitted_by: Who would still be asked to admit the request: id of an agent, or
            empty for a turn by the clock; None if nobody is.
    """

    id: str
    address: str
    data_centre: str
    distance: int
    version: str
    probability: float
    left_out: str
    against: list[str]
    in_favour: list[str]
    load: int
    slots: int
    cost_s: float | None = None
    queued_tokens: int | None = None
    kept_tokens: int = 0
    cold_left_s: float = 0.0
    admitted_by: str | None = None


@dataclass(frozen=True, slots=True)
class RefusalReport:
    """Why the gateway would refuse the request.

    Attributes:
        code: Code of the error.
        status: Status of the answer.
        reason: Description in a sentence.
        retry_after_min_s: Least value of ``Retry-After`` in seconds.
        retry_after_max_s: Largest value; it is drawn at random between the two.
        probability: Probability of this refusal.
    """

    code: str
    status: int
    reason: str
    retry_after_min_s: float = 0.0
    retry_after_max_s: float = 0.0
    probability: float = 1.0


@dataclass(frozen=True, slots=True)
class VersionReport:
    """A version of a service.

    Attributes:
        name: Name of the version.
        servers: Number of its registered servers.
        state: ``in use``, ``on trial``, ``rejected`` or ``not in use``.
        share: Share of the attempts at this service that it gets now.
    """

    name: str
    servers: int
    state: str
    share: float


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """A service of the route.

    Attributes:
        name: Name of the service.
        weight: Its weight.
        probability: Probability that the next request of the route goes there.
        has_engines: Whether servers are chosen by the expected wait of their engines.
        versions: Its versions.
        servers: The servers considered, the likeliest first.
        unlisted_servers: Number of further servers, left out for brevity.
    """

    name: str
    weight: float
    probability: float
    has_engines: bool = False
    versions: list[VersionReport] = field(default_factory=list)
    servers: list[ServerReport] = field(default_factory=list)
    unlisted_servers: int = 0


@dataclass(frozen=True, slots=True)
class RouteReport:
    """The route of the request.

    Attributes:
        name: Name of the route.
        host: Host of its requests.
        path_prefix: Prefix of their paths.
        kind: Kind of its requests.
        timeout_s: Longest time in seconds that a request is kept waiting.
        max_attempts: Maximum number of servers that may run one request.
        home_regions: Regions that the request must not leave; None for all.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_s: float
    max_attempts: int
    home_regions: list[str] | None = None


@dataclass(frozen=True, slots=True)
class GrantReport:
    """A grant of tokens of which agents have told this gateway.

    Attributes:
        id: Id of the grant.
        holder: Incarnation of the agent that holds it.
        tokens: Its amount; what was used under it if it is closed.
        is_closed: Whether it is closed.
    """

    id: str
    holder: str
    tokens: int
    is_closed: bool


@dataclass(frozen=True, slots=True)
class AccountReport:
    """The client account of the request.

    Attributes:
        name: Name of the account.
        has_budget: Whether its requests need tokens.
        needed_tokens: Tokens that the request would reserve.
        prepaid_tokens: Tokens paid for, as the configuration says; None without budget.
        free_tokens: Always None: only the owning agent knows them.
        owners: Agents that would be asked for tokens, in this order.
        grants: The grants of which this gateway was told lately.
    """

    name: str
    has_budget: bool
    needed_tokens: int = 0
    prepaid_tokens: int | None = None
    free_tokens: int | None = None
    owners: list[str] = field(default_factory=list)
    grants: list[GrantReport] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class OverloadReport:
    """The load of the gateway.

    Attributes:
        refused_share: Share of the requests that is refused at present.
        busy_share: Share of the time in which the event loop is busy.
        room_per_s: Requests a second that the gateway takes from others, present ones
            included.
        peer_room_per_s: Requests a second that the others are known to take from it
            beside the present.
        relayed_share: Share of the new connections that is relayed at present.
        relayed_to: Where the next new connection would be relayed: probability by
            address; empty if it is served here.
    """

    refused_share: float
    busy_share: float
    room_per_s: float
    peer_room_per_s: float
    relayed_share: float
    relayed_to: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PlacementReport:
    """Where a gateway would send a request now, and why.

    Attributes:
        gateway: Id of the gateway.
        data_centre: Its data centre.
        revision: Revision of the configuration in force.
        outcome: ``sent``, ``refused``, or ``either`` if it depends on chance.
        reason: The reason in a sentence.
        chosen: Probability by id of the servers that the request may be sent to; the
            likeliest only, as in ``ServiceReport.servers``.
        refusals: All reasons to refuse the request, in the order of the checks; the
            caller would get the first.
        rank: Rank of the request; 0 is the most urgent.
        left_s: Seconds until its deadline.
        route: The ``RouteReport``.
        services: The ``ServiceReport`` of each service of the route.
        account: The ``AccountReport``; None on a public route.
        overload: The ``OverloadReport``.
        notes: What the answer leaves open.
    """

    gateway: str
    data_centre: str
    revision: int
    outcome: str
    reason: str
    chosen: dict[str, float]
    refusals: list[RefusalReport]
    rank: int
    left_s: float
    route: RouteReport
    services: list[ServiceReport]
    account: AccountReport | None
    overload: OverloadReport
    notes: list[str] = field(default_factory=list)
