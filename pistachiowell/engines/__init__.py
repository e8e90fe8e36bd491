"""Interface of the backend servers and its HTTP implementation."""

from pistachiowell.engines.crash_detection import CrashDetection
from pistachiowell.engines.http import HttpBackend
from pistachiowell.engines.limits import MAX_BODY_BYTES, MAX_EVENT_BYTES
from pistachiowell.engines.port import (
    Backend,
    BackendResponse,
    ServerLoad,
    ServerRefused,
)

__all__ = [
    "Backend",
    "BackendResponse",
    "CrashDetection",
    "HttpBackend",
    "MAX_BODY_BYTES",
    "MAX_EVENT_BYTES",
    "ServerLoad",
    "ServerRefused",
]
