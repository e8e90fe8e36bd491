"""Version moves: stages, trials, judges, circuit breakers, leases, fencing checks."""

from pistachiowell.moves.circuit_breaker import CircuitBreaker
from pistachiowell.moves.controller import EndDecision, MoveController, StageDecision
from pistachiowell.moves.evidence import Answer, Evidence, latency_bucket
from pistachiowell.moves.judges import find_judge
from pistachiowell.moves.lease import Lease
from pistachiowell.moves.orders import FencingChecker
from pistachiowell.moves.standings import VersionStandings
from pistachiowell.moves.traffic_tokens import TrafficToken, version_weights
from pistachiowell.moves.trial import TrialSettings, VersionTrial

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
    "TrialSettings",
    "VersionStandings",
    "VersionTrial",
    "find_judge",
    "latency_bucket",
    "version_weights",
]
