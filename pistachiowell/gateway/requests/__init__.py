"""One request from its head to its answer: dispatch, attempts and hedges."""

from pistachiowell.gateway.requests.app import GatewayApp
from pistachiowell.gateway.requests.dispatch import Dispatch
from pistachiowell.gateway.requests.events import EVENT_END
from pistachiowell.gateway.requests.hedges import Hedges

__all__ = [
    "Dispatch",
    "EVENT_END",
    "GatewayApp",
    "Hedges",
]
