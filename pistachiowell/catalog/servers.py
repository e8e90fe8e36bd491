"""Backend servers that are registered with the platform."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Registered incarnation of a backend server.

    Attributes:
        id: Name of the registration.
        service: Name of its service.
        host: IP address.
        port: TCP port.
        data_centre: Its data centre.
        version: Version of its software.
        slots: Number of requests that it runs at once.
        is_leaving: Whether it accepts no new work.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
        cold_left_s: Seconds for which it said that it stays slow; None if it has not
            said anything.
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
    cold_left_s: float | None = None

    @property
    def address(self):
        """IP address and port, such as ``10.0.0.1:80``."""
        return f"{self.host}:{self.port}"


class ServerRegistry:
    """Stores the registered servers and keeps missing ones after an outage.

    Registrations may expire while the store is unavailable and are renewed shortly
    after it answers again. A server that is missing from the first lists after an
    outage is therefore kept for a grace period. Otherwise all servers could be removed
    at once although they run.

    Args:
        grace_s: Seconds after the end of an outage for which missing servers are kept.

    Examples:
        >>> servers = ServerRegistry(grace_s=2.0)
        >>> servers.replace({"a": BackendServer("a", "s", "10.0.0.1", 80, "east")}, 0.0)
        >>> servers.record_outage_end(10.0)
        >>> servers.replace({}, 10.1)
        >>> [s.id for s in servers.available_servers("s", 11.0)]
        ['a']
        >>> servers.available_servers("s", 12.1)
        []
    """

    __slots__ = ("_by_address", "_missing", "_grace_s", "_grace_until", "_servers")

    def __init__(self, grace_s):
        self._grace_s = grace_s
        self._grace_until = float("-inf")
        self._servers = {}
        self._by_address = {}
        self._missing = {}

    @property
    def known(self):
        """The registered servers by id."""
        return self._servers

    @property
    def by_address(self):
        """Ids of the registered servers by address."""
        return self._by_address

    def record_outage_end(self, now):
        """Records that the store answers again after an outage.

        Args:
            now: Present time in seconds.
        """
        if now >= self._grace_until:
            self._missing.clear()
        self._grace_until = now + self._grace_s

    def replace(self, servers, now):
        """Replaces all registrations by those of a newer list.

        Args:
            servers: ``BackendServer`` by id.
            now: Present time in seconds.
        """
        if now >= self._grace_until:
            self._missing.clear()
        for server_id, server in self._servers.items():
            if server_id not in servers and now < self._grace_until:
                self._missing[server_id] = server
        for server_id in servers:
            self._missing.pop(server_id, None)
        self._servers = dict(servers)
        self._by_address = {s.address: s.id for s in servers.values()}

    def available_servers(self, service, now):
        """Returns the servers of a service that accept new work.

        A leaving server is excluded, and so is the older one of two registrations with
        the same address: its process is gone, and the address was used again.

        Args:
            service: Name of the service.
            now: Present time in seconds.
        """
        missing = self._missing.values() if now < self._grace_until else ()
        by_address = {}
        for server in (*missing, *self._servers.values()):
            other = by_address.get(server.address)
            if other is None or other.started_ms <= server.started_ms:
                by_address[server.address] = server
        return [
            server
            for server in by_address.values()
            if server.service == service and not server.is_leaving
        ]
