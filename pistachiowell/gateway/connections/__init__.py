"""Connections of a gateway to its callers and to backend servers."""

from pistachiowell.gateway.connections.bounded_stream import EndlessHeadError
from pistachiowell.gateway.connections.caller_servers import (
    CallerServers,
    make_server,
    split_address,
)
from pistachiowell.gateway.connections.connections import (
    ConnectionPool,
    ServerConnection,
)
from pistachiowell.gateway.connections.exchange import (
    ConnectionBroken,
    Exchange,
    NotConnected,
)
from pistachiowell.gateway.connections.forwarding import (
    AnswerForwarder,
    ServerErrorAnswer,
)
from pistachiowell.gateway.connections.link_load import LinkLoad
from pistachiowell.gateway.connections.ready_app import ReadyApp
from pistachiowell.gateway.connections.relay import ConnectionRelay

__all__ = [
    "AnswerForwarder",
    "CallerServers",
    "ConnectionBroken",
    "ConnectionPool",
    "ConnectionRelay",
    "EndlessHeadError",
    "Exchange",
    "LinkLoad",
    "NotConnected",
    "ReadyApp",
    "ServerConnection",
    "ServerErrorAnswer",
    "make_server",
    "split_address",
]
