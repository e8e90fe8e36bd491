"""Admission control: decides which requests a backend server runs, and when."""

from pistachiowell.admission.closures import ClosedBy, Closures
from pistachiowell.admission.cold import (
    ColdAdmission,
    ColdSettings,
    ColdTimes,
    ColdTurns,
    divide_bound,
)
from pistachiowell.admission.evacuation_knowledge import EvacuationKnowledge
from pistachiowell.admission.gateway_load import GatewayLoadSettings, LoadMeter
from pistachiowell.admission.limits import LIMITS
from pistachiowell.admission.link_load import LinkMeter, LinkSettings
from pistachiowell.admission.link_share import LinkShare
from pistachiowell.admission.overload import OVERLOAD_POLICIES, OverloadSettings
from pistachiowell.admission.peer_rooms import PeerRooms, PeerRoomSettings, room_shares
from pistachiowell.admission.queue import AdmissionQueue
from pistachiowell.admission.rank_shares import RankedShareOverload
from pistachiowell.admission.rates import (
    Incarnation,
    Observation,
    RateBucket,
    RateLimits,
    RateSettings,
    RateSlots,
)
from pistachiowell.admission.relay_share import RelaySettings, RelayShare
from pistachiowell.admission.settings import AdmissionSettings
from pistachiowell.admission.ticket import Outcome, Refuse, Start, Ticket

__all__ = [
    "LIMITS",
    "OVERLOAD_POLICIES",
    "AdmissionQueue",
    "AdmissionSettings",
    "ClosedBy",
    "Closures",
    "EvacuationKnowledge",
    "GatewayLoadSettings",
    "ColdAdmission",
    "ColdSettings",
    "ColdTimes",
    "ColdTurns",
    "Incarnation",
    "LinkMeter",
    "LinkSettings",
    "LinkShare",
    "LoadMeter",
    "Observation",
    "Outcome",
    "OverloadSettings",
    "PeerRoomSettings",
    "PeerRooms",
    "RateBucket",
    "RateLimits",
    "RateSettings",
    "RateSlots",
    "RankedShareOverload",
    "Refuse",
    "RelaySettings",
    "RelayShare",
    "Start",
    "Ticket",
    "room_shares",
    "divide_bound",
]
