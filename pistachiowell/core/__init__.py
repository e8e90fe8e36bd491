"""Errors, ids, clocks, events, logs and metrics shared by all parts."""

from pistachiowell.core.clock import HybridClock, Stamp
from pistachiowell.core.errors import PistachiowellError, error_class
from pistachiowell.core.events import EventRing
from pistachiowell.core.ids import new_id, stable_hash
from pistachiowell.core.rng import Random

__all__ = [
    "EventRing",
    "HybridClock",
    "PistachiowellError",
    "Random",
    "Stamp",
    "error_class",
    "new_id",
    "stable_hash",
]
