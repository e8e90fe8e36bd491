"""Decodes the platform's configuration object into a ``Catalog``."""

from collections import defaultdict

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
from pistachiowell.core.errors import RowInvalid

COLLECTION = "config"
NAME = "main"


_DEFAULTS = HttpLimits()


class _Split(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="pascal"):
    """A route.

    Attributes:
        goal_ms: Time within which an answer earns its full value.
        gap_target_ms: Longest pause between events of a stream.
        sticky: Whether requests describe a prompt; nothing is bound to a server.
        service: The one service; empty if ``split`` names several.
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


class _Engine(msgspec.Struct, rename="pascal"):
    """Sizes of a service's model engines.

    Attributes:
        stride: Most output tokens in one event of a stream.
    """

    slots: int = 1
    kv_capacity_tokens: int = 0
    stride: int = 1


class _Service(msgspec.Struct, rename="pascal"):
    """A service.

    Attributes:
        max_conns: Connections that one backend server accepts from all callers.
    """

    name: str
    max_conns: int = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int = _DEFAULTS.header_bytes
    max_body_bytes: int = _DEFAULTS.body_bytes
    header_timeout_ms: float = _DEFAULTS.header_timeout_s * 1000
    idle_timeout_ms: float = _DEFAULTS.idle_timeout_s * 1000


class _Tenant(msgspec.Struct, rename="pascal"):
    """A client account."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    prepaid: int | None = None


class _Manifest(msgspec.Struct, rename="pascal"):
    """The whole configuration.

    Attributes:
        version: Grows with every change, by steps of any size.
        tenants: The client accounts; None if requests carry no keys.
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
        RowInvalid: The document cannot be read.
    """
    try:
        manifest = msgspec.json.decode(value, type=_Manifest)
    except (msgspec.MsgspecError, ValueError) as error:
        raise RowInvalid(f"The configuration cannot be read: {error}.") from error
    return Catalog(
        revision=manifest.version,
        routes=_routes(manifest.routes),
        services={s.name: _service(s) for s in manifest.services},
        accounts=_accounts(manifest.tenants),
        limits=_limits(manifest.limits),
    )


def _routes(items):
    routes = defaultdict(list)
    for item in items:
        routes[item.host.lower()].append(_route(item))
    for of_host in routes.values():
        of_host.sort(key=lambda route: len(route.path_prefix), reverse=True)
    return dict(routes)


def _route(item):
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
        priority=item.priority,
        max_attempts=max(1, item.max_attempts),
        is_public=item.public,
        is_resumable=item.resumable,
        has_prompts=item.sticky,
    )


def _service(item):
    engine = item.engine
    limits = engine and EngineLimits(
        engine.slots, engine.kv_capacity_tokens, max(1, engine.stride)
    )
    return Service(item.name, item.max_conns, limits)


def _accounts(items):
    if items is None:
        return None
    return {
        key: Account(item.name, item.priority, item.prepaid)
        for item in items
        for key in item.api_keys
    }


def _limits(item):
    return HttpLimits(
        header_bytes=item.max_header_bytes,
        body_bytes=item.max_body_bytes,
        header_timeout_s=item.header_timeout_ms / 1000,
        idle_timeout_s=item.idle_timeout_ms / 1000,
    )
