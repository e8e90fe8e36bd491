"""Port and adapter to the backend servers."""

from pistachiowell.engines.http import HttpBackend
from pistachiowell.engines.port import Backend, BackendResponse, ServerLoad

__all__ = ["Backend", "BackendResponse", "HttpBackend", "ServerLoad"]
