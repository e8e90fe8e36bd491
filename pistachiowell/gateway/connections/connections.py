"""Connections to backend servers, reused only while the server keeps them open.

A server closes a connection that is idle for too long. If a request is sent at the same
moment, the connection breaks and the gateway cannot tell whether the request has run,
so it may not be sent again on a route that is not idempotent. The gateway therefore
closes idle connections some time before their server does.
"""

import socket

import anyio
import httpcore

from pistachiowell.core.body_buffer import BodyBuffer, HeldBytes
from pistachiowell.core.http_connections import has_extra_bytes
from pistachiowell.engines import MAX_BODY_BYTES
from pistachiowell.gateway.connections.bounded_stream import BoundedBackend, HeadLimit
from pistachiowell.store.calls import KEEP_ALIVE_OPTIONS

MAX_IDLE_S = 8.0
# Applies if the server does not announce for how long it keeps idle connections.
DEFAULT_MAX_IDLE_S = 0.5
IDLE_CLOSE_MARGIN_S = 0.6
CONNECT_TIMEOUT_S = 0.4
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
# The kernel closes a connection if sent data is not acknowledged for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    *KEEP_ALIVE_OPTIONS,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
]


class ServerConnection:
    """One connection to a backend server; carries one request at a time.

    Call ``open`` before each request. Whoever has to check something just before a
    request is sent does so after it, as opening may take some time.

    Args:
        host: IP address of the server.
        port: Its TCP port.
        deadline: See ``BoundedBackend``.

    Attributes:
        on_given_up: Function to call with the open network stream in place of closing
            it, if the wait for a head is cancelled; see ``BoundedStream``. None to
            close it.
    """

    __slots__ = (
        "on_given_up",
        "_backend",
        "_head_limit",
        "_host",
        "_http",
        "_port",
        "_reusable_until",
        "_stream",
    )

    def __init__(self, host, port, deadline=anyio.move_on_after):
        self._host = host
        self._port = port
        self._head_limit = HeadLimit(anyio.current_time)
        self._backend = BoundedBackend(self._head_limit, deadline, self._hand_over)
        self._http = None
        self._stream = None
        self._reusable_until = float("-inf")
        self.on_given_up = None

    @property
    def was_used(self):
        """Whether it has carried a request before, whose late answers may arrive."""
        return self._reusable_until > float("-inf")

    async def open(self):
        """Connects to the server unless that was done before.

        Raises:
            httpcore.ConnectError: The server did not accept the connection.
            httpcore.ConnectTimeout: It did not do so in time.
        """
        if self._http is not None:
            return
        self._stream = await self._backend.connect_tcp(
            self._host, self._port, CONNECT_TIMEOUT_S, socket_options=_SOCKET_OPTIONS
        )
        origin = httpcore.Origin(b"http", self._host.encode(), self._port)
        self._http = httpcore.AsyncHTTP11Connection(origin, self._stream)

    async def request(self, method, target, headers, body):
        """Sends a request and reads the head of the answer.

        Returns:
            An ``httpcore.Response``.

        Raises:
            EndlessHeadError: The head does not end within its limits.
        """
        url = httpcore.URL(
            scheme=b"http", host=self._host.encode(), port=self._port, target=target
        )
        request = httpcore.Request(method, url, headers=headers, content=body)
        self._head_limit.begin()
        response = await self._http.handle_async_request(request)
        self._head_limit.end()
        return response

    async def has_ended_in_order(self, *, has_body):
        """Returns whether its end, if it has come, may be that of the whole answer.

        Call this after the answer was read; see ``BoundedStream.has_ended_in_order``.
        """
        return await self._stream.has_ended_in_order(has_body=has_body)

    def _hand_over(self, stream):
        return self.on_given_up is not None and self.on_given_up(stream)

    def mark_idle(self, keep_alive_s, since):
        """Marks the connection as idle after an answer was read completely.

        Args:
            keep_alive_s: Seconds for which the server keeps the connection; see
                ``AnswerHead``.
            since: Earliest time in seconds at which the answer may have arrived.

        Returns:
            Whether the connection may carry another request.
        """
        limit_s = DEFAULT_MAX_IDLE_S
        if keep_alive_s is not None:
            limit_s = min(MAX_IDLE_S, keep_alive_s - IDLE_CLOSE_MARGIN_S)
        self._reusable_until = since + limit_s
        may_carry = limit_s > 0 and self._http.is_idle()
        return may_carry and not has_extra_bytes(self._http)

    def is_reusable(self, now):
        """Returns whether it is open, idle and within its idle limit."""
        if now >= self._reusable_until:
            return False
        return self._http.is_idle() and not self._http.has_expired()

    async def aclose(self):
        """Closes the connection."""
        if self._http is not None:
            await self._http.aclose()


class ConnectionPool:
    """Holds idle connections by the id and address of their server.

    Args:
        now: Function that returns the monotonic time in seconds.
        deadline: See ``BoundedBackend``.
        held: The ``HeldBytes`` of answers that are kept whole; None for some of its
            own.
        late_s: Function that returns for how many seconds what is read now may have
            lain unread; see ``LoopWatch.late_s``.

    Attributes:
        opened: Number of connections opened so far.
    """

    __slots__ = ("_deadline", "_held", "_idle", "_late_s", "_now", "opened")

    def __init__(
        self, now, deadline=anyio.move_on_after, held=None, late_s=lambda: 0.0
    ):
        self._idle = {}
        self._now = now
        self._deadline = deadline
        self._late_s = late_s
        self._held = held or HeldBytes(MAX_BUFFERED_BYTES)
        self.opened = 0

    def buffer(self):
        """Returns a new ``BodyBuffer``; use it as a context manager."""
        return BodyBuffer(self._held, MAX_BODY_BYTES)

    async def acquire(self, server, *, is_repeat=False):
        """Returns an idle connection to a server, or a new one.

        A request that is sent to the same server again gets a new one. All attempts
        bear the same id, so on a connection that was used before, an earlier refusal
        that the server writes once more would be taken for that of the new attempt.

        Args:
            server: The ``BackendServer``.
            is_repeat: Whether an earlier attempt of the request went to this server.
        """
        if is_repeat:
            return self._open(server)
        idle = self._idle.get((server.id, server.host, server.port), [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable(self._now()):
                return connection
            await connection.aclose()
        return self._open(server)

    def _open(self, server):
        self.opened += 1
        return ServerConnection(server.host, server.port, self._deadline)

    async def release(self, server, connection, keep_alive_s):
        """Keeps a connection for reuse, or closes it if it must not be reused.

        Args:
            server: The ``BackendServer``.
            connection: The ``ServerConnection``; its answer was read completely.
            keep_alive_s: Seconds for which the server keeps the connection; see
                ``AnswerHead``.
        """
        # The server's idle time runs from its answer, however late that is read here.
        if connection.mark_idle(keep_alive_s, self._now() - self._late_s()):
            key = (server.id, server.host, server.port)
            self._idle.setdefault(key, []).append(connection)
        else:
            await connection.aclose()

    async def close_idle(self):
        """Closes idle connections that are no longer reusable."""
        now = self._now()
        for key, idle in list(self._idle.items()):
            stale = [c for c in idle if not c.is_reusable(now)]
            idle[:] = [c for c in idle if c not in stale]
            if not idle:
                del self._idle[key]
            for connection in stale:
                await connection.aclose()
