"""Choice of a backend server for an attempt, and its records."""

from pistachiowell.gateway.selection.expected_choice import ChoiceForecast
from pistachiowell.gateway.selection.late_prompts import TOO_LATE_TEXT, TooLate
from pistachiowell.gateway.selection.selection import Selection
from pistachiowell.gateway.selection.selection_parts import (
    SelectionSources,
    engine_request,
)

__all__ = [
    "ChoiceForecast",
    "Selection",
    "SelectionSources",
    "TOO_LATE_TEXT",
    "TooLate",
    "engine_request",
]
