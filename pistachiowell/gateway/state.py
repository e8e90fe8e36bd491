"""What a gateway knows of the configuration, the servers and its peers."""

from pistachiowell.catalog import ServerRegistry


class GatewayState:
    """The beliefs of one gateway; feeds write them, requests read them.

    Args:
        settings: ``GatewaySettings``.

    Attributes:
        catalog: The ``Catalog`` in force; None before the first one.
        servers: The ``ServerRegistry``.
        has_servers: Whether the registrations were read once.
        is_leaving: Whether the process has begun to leave.
    """

    __slots__ = ("catalog", "has_servers", "is_leaving", "servers")

    def __init__(self, settings):
        self.catalog = None
        self.servers = ServerRegistry(settings.registration_grace_s)
        self.has_servers = False
        self.is_leaving = False

    @property
    def is_ready(self):
        """Whether callers may be sent here."""
        knows = self.catalog is not None and self.has_servers
        return knows and not self.is_leaving
