"""Admission: which requests an agent lets its backend server run, and when."""

from pistachiowell.admission.limits import LIMITS
from pistachiowell.admission.queue import AdmissionQueue
from pistachiowell.admission.settings import AdmissionSettings
from pistachiowell.admission.ticket import Outcome, Refuse, Start, Ticket

__all__ = [
    "LIMITS",
    "AdmissionQueue",
    "AdmissionSettings",
    "Outcome",
    "Refuse",
    "Start",
    "Ticket",
]
