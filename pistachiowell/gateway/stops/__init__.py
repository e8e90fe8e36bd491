"""Planned stops of a gateway, and how long requests may last."""

from pistachiowell.gateway.stops.planned_stop import ENDING_S, PlannedStop, StopRefusal

__all__ = [
    "ENDING_S",
    "PlannedStop",
    "StopRefusal",
]
