"""Loads, times and free room that gateways tell each other through agents."""

from pistachiowell.gateway.load.agents import LOAD_INTERVAL_S, AgentReports
from pistachiowell.gateway.load.gateway_count import GatewayCount
from pistachiowell.gateway.load.load_reports import LoadReporter
from pistachiowell.gateway.load.load_sharing import LoadSharing, overload_text
from pistachiowell.gateway.load.retry_shares import RetryShares
from pistachiowell.gateway.load.room_owner import TOLD_BUSY, RoomOwner
from pistachiowell.gateway.load.time_reports import REPORT_INTERVAL_S, TimeReports
from pistachiowell.gateway.load.times_owner import TimesOwner

__all__ = [
    "AgentReports",
    "GatewayCount",
    "LOAD_INTERVAL_S",
    "LoadReporter",
    "LoadSharing",
    "REPORT_INTERVAL_S",
    "RetryShares",
    "RoomOwner",
    "TOLD_BUSY",
    "TimeReports",
    "TimesOwner",
    "overload_text",
]
