"""Backend servers as the platform's registrations show them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A registered run of a backend server.

    Attributes:
        id: Name of the registration.
        service: Name of its service.
        host: IP address.
        port: TCP port.
        data_centre: Its data centre.
        version: Version of its software.
        slots: Requests that it runs at once.
        is_leaving: Whether it takes no new work.
        started_ms: Unix time of its start in milliseconds; 0 if it is not told.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    version: str = ""
    slots: int = 1
    is_leaving: bool = False
    started_ms: int = 0

    @property
    def address(self):
        """IP address and port, such as ``10.0.0.1:80``."""
        return f"{self.host}:{self.port}"


class ServerRegistry:
    """Keeps the servers in use through changes, outages and lapsed registrations.

    Registrations may lapse while the store is away and come back shortly after its
    return. A server that is missing from the first lists after an outage is
    therefore kept for a grace period.

    Args:
        grace_s: Seconds after the store's return for which missing ones are kept.

    Examples:
        >>> book = ServerRegistry(grace_s=2.0)
        >>> book.replace({"a": BackendServer("a", "s", "10.0.0.1", 80, "east")}, 0.0)
        >>> book.record_outage_end(10.0)
        >>> book.replace({}, 10.1)
        >>> [s.id for s in book.available_servers("s", 11.0)]
        ['a']
        >>> book.available_servers("s", 12.1)
        []
    """

    __slots__ = ("_by_address", "_doubtful", "_grace_s", "_grace_until", "_servers")

    def __init__(self, grace_s):
        self._grace_s = grace_s
        self._grace_until = float("-inf")
        self._servers = {}
        self._by_address = {}
        self._doubtful = {}

    @property
    def known(self):
        """The registered servers by id."""
        return self._servers

    @property
    def by_address(self):
        """Ids of the registered servers by address."""
        return self._by_address

    def record_outage_end(self, now):
        """Notes that the store answers again after an outage."""
        self._grace_until = now + self._grace_s

    def replace(self, servers, now):
        """Takes all registrations.

        Args:
            servers: ``BackendServer`` by id.
            now: Present time in seconds.
        """
        for server_id, server in self._servers.items():
            if server_id not in servers and now < self._grace_until:
                self._doubtful[server_id] = server
        for server_id in servers:
            self._doubtful.pop(server_id, None)
        self._servers = dict(servers)
        self._by_address = {s.address: s.id for s in servers.values()}

    def available_servers(self, service, now):
        """Returns the servers of a service that take new work.

        A leaving server is left out, and so is the elder of two registrations with
        one address.

        Args:
            service: Name of the service.
            now: Present time in seconds.
        """
        if now >= self._grace_until:
            self._doubtful.clear()
        by_address = {}
        for server in (*self._doubtful.values(), *self._servers.values()):
            other = by_address.get(server.address)
            if other is None or other.started_ms <= server.started_ms:
                by_address[server.address] = server
        return [
            server
            for server in by_address.values()
            if server.service == service and not server.is_leaving
        ]
