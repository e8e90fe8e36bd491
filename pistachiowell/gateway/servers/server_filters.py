"""Filters of the backend servers that an attempt may go to.

A request is never sent to a server that is not allowed or has no room. Of the others,
those that refuse connections, are silent or fail are left out as long as others remain.
"""

from pistachiowell.core.errors import NoServer
from pistachiowell.routing import Candidate


def registration_of(server):
    """Returns the id of a ``BackendServer`` and what changes with each start."""
    return (server.id, server.address, server.started_ms)


class ServerFilters:
    """Tells which servers an attempt may go to; counts no attempt.

    Args:
        parts: The ``SelectionParts``.
    """

    __slots__ = ("_parts",)

    def __init__(self, parts):
        self._parts = parts

    def allowed(self, request, service_name, now):
        """Returns the servers to which nothing forbids to send a request.

        Args:
            request: The ``GatewayRequest``.
            service_name: Name of the service.
            now: Present time in seconds.
        """
        parts = self._parts
        available = parts.servers.available_servers(service_name, now)
        accepting = parts.limits.accepting(available, request)
        return parts.moves.filter_servers(service_name, accepting)

    def with_room(self, servers, rank):
        """Returns the servers that may have room; see ``ServerLimits``."""
        return self._parts.limits.with_room(servers, rank)

    def reachable(self, servers, now):
        """Returns the servers by id without those that refuse connections."""
        by_registration = {registration_of(server): server for server in servers}
        usable = self._parts.unreachable.usable(by_registration, now)
        return {by_registration[r].id: by_registration[r] for r in usable}

    def answering(self, servers, tried, now):
        """Returns the ids of the servers that are not silent or in doubt.

        Args:
            servers: Servers by id, as ``reachable`` returns them.
            tried: Ids of the servers of earlier attempts; avoided if there are others.
            now: Present time in seconds.
        """
        names = [name for name in servers if name not in tried] or list(servers)
        return self._parts.silence.usable(names, now)

    def healthy(self, names, now):
        """Returns the ids without those of servers that fail or are slow."""
        return self._parts.health.usable(names, now) or names

    def expected_healthy(self, names, now):
        """Returns what ``healthy`` would, and ejects no server."""
        return self._parts.health.copy(names).usable(names, now) or names

    def is_answering(self, server, now):
        """Returns whether a server neither refuses connections nor is silent."""
        registration, parts = registration_of(server), self._parts
        is_avoided = parts.unreachable.is_avoided(registration, now)
        return not is_avoided and parts.silence.is_answering(server.id)

    def needs_admission(self, server):
        """Returns whether a server is cold or names a rate; see ``ServerLimits``."""
        limits = self._parts.limits
        return limits.is_cold(server) or limits.is_limited(server)

    def is_sound(self, server, now):
        """Returns whether nothing speaks against a server, except its load."""
        parts = self._parts
        return (
            not self.needs_admission(server)
            and self.is_answering(server, now)
            and parts.health.is_usable(server.id, now)
            and not parts.silence.is_doubted(server.id)
        )

    def candidate(self, server):
        """Returns the ``Candidate`` of a server."""
        is_near = server.data_centre == self._parts.settings.data_centre
        is_cold = self._parts.limits.is_cold(server)
        return Candidate(server.id, server.data_centre, 0 if is_near else 1, is_cold)

    def no_room(self, servers, rank):
        """Returns the error if no allowed server has room; see ``ServerLimits``."""
        states = self._parts.states.describe(servers, rank)
        return self._parts.limits.no_room(servers, rank, states)

    def no_server(self, request, service_name, now):
        """Returns the error if no server is allowed."""
        text = f"Service {service_name} has no server that accepts work"
        available = self._parts.servers.available_servers(service_name, now)
        if not available:
            return NoServer(f"{text}.")
        places = self._parts.places
        homes = places.home_regions(request)
        at_home = [server for server in available if places.is_in(server, homes)]
        if not at_home:
            names = ", ".join(sorted(homes)) or "none"
            return NoServer(f"{text} in the home regions of the request ({names}).")
        return NoServer(f"{text} ({self._parts.states.describe(at_home)}).")
