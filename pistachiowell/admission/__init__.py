"""Admission control: decides which requests a backend server runs, and when."""

from pistachiowell.admission.closures import ClosedBy, Closures
from pistachiowell.admission.cold import (
    ColdAdmission,
    ColdSettings,
    ColdTimes,
    ColdTurns,
    divide_bound,
)
from pistachiowell.admission.limits import LIMITS
from pistachiowell.admission.overload import OVERLOAD_POLICIES, OverloadSettings
from pistachiowell.admission.queue import AdmissionQueue
from pistachiowell.admission.rates import (
    Incarnation,
    Observation,
    RateLimits,
    RateSettings,
    RateSlots,
)
from pistachiowell.admission.settings import AdmissionSettings
from pistachiowell.admission.ticket import Outcome, Refuse, Start, Ticket

__all__ = [
    "LIMITS",
    "OVERLOAD_POLICIES",
    "AdmissionQueue",
    "AdmissionSettings",
    "ClosedBy",
    "Closures",
    "ColdAdmission",
    "ColdSettings",
    "ColdTimes",
    "ColdTurns",
    "Incarnation",
    "Observation",
    "Outcome",
    "OverloadSettings",
    "RateLimits",
    "RateSettings",
    "RateSlots",
    "Refuse",
    "Start",
    "Ticket",
    "divide_bound",
]
