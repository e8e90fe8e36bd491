"""Version moves: stages, judgement, circuit breakers, leases and fencing checks."""

from pistachiowell.moves.circuit_breaker import CircuitBreaker
from pistachiowell.moves.controller import EndDecision, MoveController, StageDecision
from pistachiowell.moves.evidence import Answer, Evidence, latency_bucket
from pistachiowell.moves.judges import find_judge
from pistachiowell.moves.lease import Lease
from pistachiowell.moves.orders import FencingChecker
from pistachiowell.moves.traffic_tokens import TrafficToken, version_weights

__all__ = [
    "Answer",
    "CircuitBreaker",
    "EndDecision",
    "Evidence",
    "Lease",
    "StageDecision",
    "MoveController",
    "FencingChecker",
    "TrafficToken",
    "find_judge",
    "latency_bucket",
    "version_weights",
]
