"""What gateways and agents know of backend servers, and may send to them."""

from pistachiowell.gateway.servers.closed_servers import ClosedServers
from pistachiowell.gateway.servers.cold_reports import ColdReports
from pistachiowell.gateway.servers.cold_servers import ColdServers, longest_cold_s
from pistachiowell.gateway.servers.crash_relays import CrashRelays
from pistachiowell.gateway.servers.leaving_servers import LeavingServers
from pistachiowell.gateway.servers.limit_owner import LimitOwner
from pistachiowell.gateway.servers.places import Places
from pistachiowell.gateway.servers.server_crashes import ServerCrashes
from pistachiowell.gateway.servers.server_filters import ServerFilters, registration_of
from pistachiowell.gateway.servers.server_limits import (
    NoRoom,
    ServerClosed,
    ServerLimits,
)
from pistachiowell.gateway.servers.server_states import ServerStates
from pistachiowell.gateway.servers.silence import SilenceMonitor, SilentServer
from pistachiowell.gateway.servers.silence_probes import SilenceProbes

__all__ = [
    "ClosedServers",
    "ColdReports",
    "ColdServers",
    "CrashRelays",
    "LeavingServers",
    "LimitOwner",
    "NoRoom",
    "Places",
    "ServerClosed",
    "ServerCrashes",
    "ServerFilters",
    "ServerLimits",
    "ServerStates",
    "SilenceMonitor",
    "SilenceProbes",
    "SilentServer",
    "longest_cold_s",
    "registration_of",
]
