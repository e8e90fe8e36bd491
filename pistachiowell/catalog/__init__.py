"""What operators have put in force: routes, services, client accounts, servers."""

from pistachiowell.catalog.catalog import (
    Account,
    Catalog,
    EngineLimits,
    HttpLimits,
    RequestKind,
    Route,
    Service,
)
from pistachiowell.catalog.servers import BackendServer, ServerBook

__all__ = [
    "Account",
    "BackendServer",
    "Catalog",
    "EngineLimits",
    "HttpLimits",
    "RequestKind",
    "Route",
    "ServerBook",
    "Service",
]
