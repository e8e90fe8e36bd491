"""State of a gateway: the configuration in force and the backend servers."""

from pistachiowell.catalog import Evacuations, ServerRegistry


class GatewayState:
    """State of one gateway or agent; watchers write it, requests read it.

    Args:
        settings: ``GatewaySettings``.

    Attributes:
        catalog: The ``Catalog`` in force; None before the first one.
        evacuations: The ``Evacuations``.
        servers: The ``ServerRegistry``.
        has_servers: Whether the registrations were read at least once.
        is_leaving: Whether the process has begun to shut down.
    """

    __slots__ = ("catalog", "evacuations", "has_servers", "is_leaving", "servers")

    def __init__(self, settings):
        self.catalog = None
        self.evacuations = Evacuations(is_used=settings.evacuation_ms > 0)
        self.servers = ServerRegistry(settings.registration_grace_s)
        self.has_servers = False
        self.is_leaving = False

    @property
    def is_ready(self):
        """Whether the load balancer may send callers here."""
        has_data = (
            self.catalog is not None and self.has_servers and self.evacuations.is_known
        )
        return has_data and not self.is_leaving
