"""Answers where a request would be sent, and why; changes nothing."""

from pistachiowell.gateway.where.where import WhereReporter, WhereSources
from pistachiowell.gateway.where.where_page import WHERE_PATH, WherePage

__all__ = [
    "WHERE_PATH",
    "WherePage",
    "WhereReporter",
    "WhereSources",
]
