"""Configuration in force and backend servers that run."""

from pistachiowell.catalog.catalog import (
    Account,
    Catalog,
    EngineLimits,
    HttpLimits,
    RequestKind,
    Route,
    Service,
)
from pistachiowell.catalog.evacuations import Evacuations
from pistachiowell.catalog.leavings import Leavings
from pistachiowell.catalog.servers import BackendServer, ServerRegistry

__all__ = [
    "Account",
    "BackendServer",
    "Catalog",
    "EngineLimits",
    "Evacuations",
    "HttpLimits",
    "Leavings",
    "RequestKind",
    "Route",
    "ServerRegistry",
    "Service",
]
