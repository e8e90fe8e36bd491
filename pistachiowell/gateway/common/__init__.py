"""What several rooms use: state, the order of the agents, rounds of reports."""

from pistachiowell.gateway.common.ranked_agents import (
    AGENTS_TOLD,
    lasting_agents,
    ranked_agents,
    tell_agents,
)
from pistachiowell.gateway.common.report_rounds import ReportRounds, RoundSettings
from pistachiowell.gateway.common.state import GatewayState

__all__ = [
    "AGENTS_TOLD",
    "GatewayState",
    "ReportRounds",
    "RoundSettings",
    "lasting_agents",
    "ranked_agents",
    "tell_agents",
]
