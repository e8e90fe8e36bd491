"""The configuration in force: routes, services, client accounts and HTTP limits."""

from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """Kind of a route's requests.

    Attributes:
        idempotent: A request may run more than once.
        non_idempotent: A request may run at most once.
        streaming: The answer is a stream of events.
    """

    idempotent = "idempotent"
    non_idempotent = "non_idempotent"
    streaming = "streaming"


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        name: Name of the route.
        host: Value of the Host header, without a port, in lower case.
        path_prefix: Prefix of the paths; starts and ends with a slash.
        kind: A ``RequestKind``.
        weights: Relative weight by service.
        timeout_s: Longest time in seconds that a request is kept waiting.
        objective_s: Target in seconds for the time to the answer, or to the first event
            of a stream.
        event_gap_s: Target in seconds for the longest pause between events; 0 for no
            stream.
        rank: Rank of the requests; 0 is the most urgent.
        max_attempts: Maximum number of servers that may run one request.
        is_public: Whether requests need no API key.
        is_resumable: Whether a broken stream may be resumed at another server.
        has_prompts: Whether requests describe a prompt for a model engine.
        home_regions: Names of the regions whose servers requests may be sent to; empty
            for all.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    weights: dict
    timeout_s: float
    objective_s: float
    event_gap_s: float = 0.0
    rank: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    has_prompts: bool = False
    home_regions: frozenset = frozenset()

    @property
    def is_idempotent(self):
        """Whether a request may run more than once.

        A resumable stream counts as such, as another server may run its request again.
        """
        return self.kind is RequestKind.idempotent or self.is_resumable


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Sizes of a service's model engines.

    Attributes:
        slots: Number of requests that run at once.
        kv_tokens: Number of tokens that fit into the KV cache of one engine.
        tokens_per_event: Maximum number of output tokens in one event of a stream.
    """

    slots: int
    kv_tokens: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Service:
    """Group of backend servers that are interchangeable.

    Attributes:
        name: Name of the service.
        max_connections: Number of connections that one server accepts in total.
        engine: ``EngineLimits``; None for a plain service.
        health_path: Path of the health check of its servers.
        cold_s: Seconds for which a server is slow after its start.
        cold_per_s: Requests a second that a slow server takes from all gateways
            together; 0 if the service states none.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None = None
    health_path: str = "/"
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Account:
    """Client account.

    Attributes:
        name: Name of the account.
        rank: Rank that overrides the rank of the route; None to keep that.
        prepaid_tokens: Number of tokens paid for; None for an account without a budget.
        home_regions: Names of the regions whose servers its requests may be sent to;
            empty for all.
    """

    name: str
    rank: int | None = None
    prepaid_tokens: int | None = None
    home_regions: frozenset = frozenset()


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of HTTP requests and connections.

    Attributes:
        header_bytes: Maximum size of a request's head in bytes.
        body_bytes: Maximum size of a request's body in bytes.
        header_timeout_s: Longest time in seconds from a request's first byte to the end
            of its head.
        idle_timeout_s: Time in seconds after which an idle connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Catalog:
    """One revision of the configuration.

    Attributes:
        revision: Number that grows with every change and is never used twice.
        routes: ``Route`` by host, the longest path prefix first.
        services: ``Service`` by name.
        accounts: ``Account`` by API key; None if no route requires keys.
        limits: ``HttpLimits``.

    Examples:
        >>> kind = RequestKind.idempotent
        >>> route = Route("r", "a.example", "/x/", kind, {"s": 1}, 1, 1)
        >>> catalog = Catalog(1, {"a.example": [route]}, {}, None)
        >>> catalog.find_route("A.example:80", "/x/1").name
        'r'
        >>> catalog.find_route("a.example", "/y/") is None
        True
    """

    revision: int
    routes: dict
    services: dict
    accounts: dict | None
    limits: HttpLimits = field(default_factory=HttpLimits)

    def find_route(self, host, path):
        """Returns the ``Route`` of a request, or None.

        Args:
            host: Value of the Host header.
            path: Path without the query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self.routes.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def prepaid_accounts(self):
        """Returns each ``Account`` that has a budget, by name."""
        accounts = (self.accounts or {}).values()
        return {a.name: a for a in accounts if a.prepaid_tokens is not None}
