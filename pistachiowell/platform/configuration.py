"""Decodes the platform's configuration object into a ``Catalog``."""

from collections import defaultdict
from functools import lru_cache

import msgspec

from pistachiowell.catalog import (
    Account,
    Catalog,
    EngineLimits,
    HttpLimits,
    RequestKind,
    Route,
    Service,
)
from pistachiowell.core.decoding import DECODE_ERRORS
from pistachiowell.core.errors import RowInvalid
from pistachiowell.core.logs import part_logger

COLLECTION = "config"
NAME = "main"
# Larger values are taken for mistakes in the unit.
MAX_COLD_S = 300.0
MAX_COLD_PER_S = 100_000.0
MAX_LOGGED = 100
MAX_LOGGED_NUMBERS = 1_024

_log = part_logger("feeds")


_DEFAULTS = HttpLimits()


class _Split(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="pascal"):
    """A route.

    Attributes:
        name: Name of the route.
        host: Host name that requests name.
        path_prefix: Start of the paths that the route matches.
        route_kind: Kind of the requests, which decides whether they may be repeated.
        timeout_ms: Longest time for a request in milliseconds.
        goal_ms: Time in milliseconds within which an answer earns its full value.
        gap_target_ms: Longest pause between events of a stream in milliseconds.
        priority: Rank of the requests; 0 is the most urgent.
        max_attempts: Most servers that may run one request.
        public: Whether requests need no API key.
        sticky: Whether requests describe a prompt. It does not bind them to a server.
        resumable: Whether another server can continue a stream that broke off.
        service: The only service; empty if ``split`` names several.
        split: Services and their weights.
        home_regions: Regions that its requests must not leave; None for all.
    """

    name: str
    host: str
    path_prefix: str
    route_kind: RequestKind
    timeout_ms: float
    goal_ms: float = 0.0
    gap_target_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    service: str = ""
    split: list[_Split] = []
    home_regions: list[str] | None = None


class _Engine(msgspec.Struct, rename="pascal"):
    """Limits of the model engines of a service.

    Attributes:
        slots: Requests that an engine runs at once.
        kv_capacity_tokens: Capacity of its key-value cache in tokens.
        stride: Most output tokens in one event of a stream.
    """

    slots: int = 1
    kv_capacity_tokens: int = 0
    stride: int = 1


class _Service(msgspec.Struct, rename="pascal"):
    """A service.

    Attributes:
        name: Name of the service.
        max_conns: Connections that one backend server accepts from all clients.
        engine: Limits of its model engines; None if it has none.
        health_path: Path of the health check of its servers.
        cold_s: Seconds for which a server is slow after its start.
        cold_per_s: Requests a second that a slow server takes.
    """

    name: str
    max_conns: int = 0
    engine: _Engine | None = None
    health_path: str = "/"
    cold_s: object = 0.0
    cold_per_s: object = 0.0


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int = _DEFAULTS.header_bytes
    max_body_bytes: int = _DEFAULTS.body_bytes
    header_timeout_ms: float = _DEFAULTS.header_timeout_s * 1000
    idle_timeout_ms: float = _DEFAULTS.idle_timeout_s * 1000


class _Tenant(msgspec.Struct, rename="pascal"):
    """A client account.

    Attributes:
        name: Name of the account.
        api_keys: Keys that identify its requests.
        priority: Rank of its requests; None for that of the route.
        prepaid: Tokens paid for; None for an account without a budget.
        home_regions: Regions that its requests must not leave; None for all.
    """

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    prepaid: int | None = None
    home_regions: list[str] | None = None


class _Manifest(msgspec.Struct, rename="pascal"):
    """The whole configuration.

    Attributes:
        version: Version that grows with every change, not always by one.
        routes: The routes.
        services: The services that routes name.
        limits: Limits of the requests over HTTP.
        tenants: The client accounts; None if requests need no API keys.
    """

    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


def decode_catalog(value):
    """Decodes the configuration.

    Args:
        value: JSON document as bytes.

    Returns:
        A ``Catalog``.

    Raises:
        RowInvalid: The document cannot be decoded.
    """
    try:
        manifest = msgspec.json.decode(value, type=_Manifest)
    except DECODE_ERRORS as error:
        raise RowInvalid(f"The configuration cannot be decoded: {error}.") from error
    return Catalog(
        revision=manifest.version,
        routes=_build_routes(manifest.routes),
        services={s.name: _build_service(s) for s in manifest.services},
        accounts=_build_accounts(manifest.tenants),
        limits=_build_limits(manifest.limits),
    )


def _build_routes(items):
    routes = defaultdict(list)
    for item in items:
        routes[item.host.lower()].append(_build_route(item))
    for host_routes in routes.values():
        host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
    return dict(routes)


def _build_route(item):
    weights = {split.service: split.weight for split in item.split}
    return Route(
        name=item.name,
        host=item.host.lower(),
        path_prefix=item.path_prefix,
        kind=item.route_kind,
        weights=weights or {item.service: 1.0},
        timeout_s=item.timeout_ms / 1000,
        objective_s=item.goal_ms / 1000,
        event_gap_s=item.gap_target_ms / 1000,
        rank=item.priority,
        max_attempts=max(1, item.max_attempts),
        is_public=item.public,
        is_resumable=item.resumable,
        has_prompts=item.sticky,
        home_regions=frozenset(item.home_regions or ()),
    )


def _build_service(item):
    engine = item.engine
    limits = engine and EngineLimits(
        engine.slots, engine.kv_capacity_tokens, max(1, engine.stride)
    )
    cold_s = _number(item, "ColdS", item.cold_s, MAX_COLD_S)
    cold_per_s = _number(item, "ColdPerS", item.cold_per_s, MAX_COLD_PER_S)
    return Service(
        item.name, item.max_conns, limits, item.health_path, cold_s, cold_per_s
    )


def _number(item, field, value, largest):
    """Returns a number of a service; 0.0 if it is none or out of range.

    A mistake in it must not keep the rest of the configuration from being used.
    """
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if is_number and 0 <= value <= largest:
        return float(value)
    _log_odd_number(item.name, field, repr(value)[:MAX_LOGGED])
    return 0.0


@lru_cache(maxsize=MAX_LOGGED_NUMBERS)
def _log_odd_number(service, field, value):
    """Logs a value once, however often its configuration is read."""
    _log.warning(
        "Ignored a number that is out of range.",
        service=service,
        field=field,
        value=value,
    )


def _build_accounts(items):
    if items is None:
        return None
    return {key: _build_account(item) for item in items for key in item.api_keys}


def _build_account(item):
    homes = frozenset(item.home_regions or ())
    return Account(item.name, item.priority, item.prepaid, homes)


def _build_limits(item):
    return HttpLimits(
        header_bytes=item.max_header_bytes,
        body_bytes=item.max_body_bytes,
        header_timeout_s=item.header_timeout_ms / 1000,
        idle_timeout_s=item.idle_timeout_ms / 1000,
    )
