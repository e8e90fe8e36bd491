"""Requests, answers and reports of the gateway as plain data."""

from pistachiowell.gateway.data.messages import (
    AnswerHead,
    GatewayRequest,
    Prompt,
    RequestHead,
    request_rank,
)
from pistachiowell.gateway.data.placement_report import (
    AccountReport,
    GrantReport,
    OverloadReport,
    PlacementReport,
    RefusalReport,
    RouteReport,
    ServerReport,
    ServiceReport,
    VersionReport,
)

__all__ = [
    "AccountReport",
    "AnswerHead",
    "GatewayRequest",
    "GrantReport",
    "OverloadReport",
    "PlacementReport",
    "Prompt",
    "RefusalReport",
    "RequestHead",
    "RouteReport",
    "ServerReport",
    "ServiceReport",
    "VersionReport",
    "request_rank",
]
