"""HTTP servers of a gateway, and the limits of their connections."""

import anyio

from pistachiowell.core.errors import HeadersTooLarge
from pistachiowell.core.http_protocol import bounded_protocol
from pistachiowell.core.keep_alive import KeepAliveApp, announced_seconds
from pistachiowell.core.web import http_server
from pistachiowell.router.error_documents import error_document

MAX_HEADER_BYTES = 65_536
MAX_KEEP_ALIVE_S = 3600
# Callers count an idle time from the end of an answer, and their next request takes its
# time to come.
IDLE_MARGIN_S = 1.0


def split_address(address):
    """Returns host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def make_server(runtime, app, address, take_over=None, traffic=None):
    """Returns an ``EmbeddedServer`` whose requests have bounded heads.

    Args:
        runtime: The process's ``Runtime``.
        app: The ASGI application.
        address: Host and port.
        take_over: See ``bounded_protocol``.
        traffic: See ``bounded_protocol``.
    """
    host, port = split_address(address)
    refusal = error_document(
        HeadersTooLarge(f"The headers exceed {MAX_HEADER_BYTES} bytes.")
    )
    return http_server(
        app,
        host,
        port,
        http=bounded_protocol(
            MAX_HEADER_BYTES, refusal, runtime.clients, take_over, traffic
        ),
        server_header=False,
        date_header=False,
        timeout_graceful_shutdown=runtime.settings.shutdown_timeout_s,
    )


class CallerServers:
    """The server for callers, and the one for connections that gateways relay.

    Args:
        runtime: The process's ``Runtime``.
        app: The ``GatewayApp``.
        load: The ``LoadSharing``.
    """

    __slots__ = ("_app", "_runtime", "_servers")

    def __init__(self, runtime, app, load):
        self._runtime = runtime
        settings, traffic = runtime.settings, load.traffic
        take_over = load.relay.take_over if load.is_on else None
        self._app = KeepAliveApp(app)
        self._servers = [
            make_server(runtime, self._app, settings.http_address, take_over, traffic)
        ]
        if load.is_on:
            address = f"{settings.peer_host}:{settings.relay_port}"
            self._servers.append(make_server(runtime, app, address, traffic=traffic))

    @property
    def connections(self):
        """The open connections."""
        return [
            connection
            for server in self._servers
            for connection in server.server_state.connections
        ]

    @property
    def owed_answers(self):
        """Number of connections whose answer was not handed to the kernel whole."""
        return sum(connection.owes_answer for connection in self.connections)

    @property
    def has_kept(self):
        """Whether callers were told that an idle connection is kept for now."""
        return any(connection.is_kept for connection in self.connections)

    async def serve(self):
        """Serves until all servers have ended."""
        async with anyio.create_task_group() as group:
            for server in self._servers:
                group.start_soon(server.serve)

    def close_connections(self):
        """Closes quiet connections, and the others after their next answer."""
        for connection in self.connections:
            connection.shutdown()

    def end(self, timeout_s):
        """Ends the servers.

        Args:
            timeout_s: Seconds for which they wait for open connections.
        """
        for server in self._servers:
            server.config.timeout_graceful_shutdown = timeout_s
            server.should_exit = True

    def apply_limits(self, catalog):
        """Applies the idle timeout of a ``Catalog`` to all connections.

        Callers are told no more than the notice of a planned stop, so that none sends
        on a connection that was idle all the while.
        """
        limit_s = min(MAX_KEEP_ALIVE_S, catalog.limits.idle_timeout_s)
        notice_s = self._runtime.settings.leaving_notice_s
        self._app.announced_s = announced_seconds(min(limit_s, notice_s))
        self._runtime.clients.idle_timeout_s = limit_s
        self._runtime.clients.header_timeout_s = catalog.limits.header_timeout_s
        for server in self._servers:
            server.config.timeout_keep_alive = limit_s + IDLE_MARGIN_S
        for protocol in self.connections:
            protocol.set_idle_timeout(limit_s + IDLE_MARGIN_S)
