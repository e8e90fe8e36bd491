"""Connections to backend servers, kept for reuse while that is safe."""

import socket

import httpcore

from pistachiowell.store.calls import KEEP_ALIVE_OPTIONS

IDLE_LIMIT_S = 8.0
UNTOLD_IDLE_LIMIT_S = 0.5
IDLE_MARGIN_S = 0.6
CONNECT_TIMEOUT_S = 0.4
SILENCE_TIMEOUT_MS = 3_000

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    *KEEP_ALIVE_OPTIONS,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_TIMEOUT_MS),
]


class ServerConnection:
    """One connection to a backend server; carries one request at a time.

    Args:
        host: IP address of the server.
        port: Its TCP port.
    """

    __slots__ = ("_http", "_reusable_until")

    def __init__(self, host, port):
        origin = httpcore.Origin(b"http", host.encode(), port)
        self._http = httpcore.AsyncHTTPConnection(
            origin, socket_options=_SOCKET_OPTIONS
        )
        self._reusable_until = float("-inf")

    async def request(self, host, port, method, target, headers, body):
        """Sends a request and reads the head of the answer.

        Returns:
            An ``httpcore.Response``.
        """
        url = httpcore.URL(scheme=b"http", host=host.encode(), port=port, target=target)
        timeouts = {"timeout": {"connect": CONNECT_TIMEOUT_S}}
        request = httpcore.Request(
            method, url, headers=headers, content=body, extensions=timeouts
        )
        return await self._http.handle_async_request(request)

    def keep(self, keep_alive_s, now):
        """Notes that an answer was read whole.

        Args:
            keep_alive_s: What the server says of the connection; see ``AnswerHead``.
            now: Present time in seconds.

        Returns:
            Whether the connection may carry another request.
        """
        limit_s = UNTOLD_IDLE_LIMIT_S
        if keep_alive_s is not None:
            limit_s = min(IDLE_LIMIT_S, keep_alive_s - IDLE_MARGIN_S)
        self._reusable_until = now + limit_s
        return limit_s > 0 and self._http.is_idle()

    def is_reusable(self, now):
        """Whether it is open, silent and young enough to carry a request."""
        if now >= self._reusable_until:
            return False
        return self._http.is_idle() and not self._http.has_expired()

    async def aclose(self):
        """Closes the connection."""
        await self._http.aclose()


class ConnectionPool:
    """Idle connections by the address of their server.

    Args:
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_idle", "_now", "opened")

    def __init__(self, now):
        self._idle = {}
        self._now = now
        self.opened = 0

    async def take(self, server):
        """Returns an idle connection to a server, or a new one.

        Args:
            server: The ``BackendServer``.
        """
        idle = self._idle.get((server.id, server.host, server.port), [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable(self._now()):
                return connection
            await connection.aclose()
        self.opened += 1
        return ServerConnection(server.host, server.port)

    async def give_back(self, server, connection, keep_alive_s):
        """Keeps a connection whose answer was read whole, or closes it."""
        if connection.keep(keep_alive_s, self._now()):
            key = (server.id, server.host, server.port)
            self._idle.setdefault(key, []).append(connection)
        else:
            await connection.aclose()

    async def close_idle(self):
        """Closes the connections that may not be used again."""
        now = self._now()
        for key, idle in list(self._idle.items()):
            stale = [c for c in idle if not c.is_reusable(now)]
            idle[:] = [c for c in idle if c not in stale]
            if not idle:
                del self._idle[key]
            for connection in stale:
                await connection.aclose()
