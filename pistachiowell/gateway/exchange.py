"""One request at one backend server, from its first byte to the end of the answer."""

import anyio
import httpcore

from pistachiowell.core.errors import (
    AnswerBroken,
    NoServer,
    Overloaded,
    ServerFailed,
)
from pistachiowell.store.calls import HTTP_ERRORS, error_text

MAX_WHOLE_BODY_BYTES = 16 * 1024 * 1024
_NOT_CONNECTED = (httpcore.ConnectError, httpcore.ConnectTimeout)
_BROKEN = (*HTTP_ERRORS, httpcore.ConnectionNotAvailable)


class NotConnected(NoServer):
    """The server did not take a connection, so it has not seen the request."""


class Exchange:
    """Sends a request over a connection of its own and reads the answer.

    Use as an async context manager; leaving it before the answer was read whole
    closes the connection, by which the server learns that nobody waits.

    Args:
        pool: The ``ConnectionPool``.
        codec: The codec of heads; see ``pistachiowell.platform.headers``.
        server: The ``BackendServer``.
        request: The ``GatewayRequest``.

    Attributes:
        head: The ``AnswerHead``; None before ``send`` has returned.
        arrived: Whether the server may have got the request.
    """

    __slots__ = (
        "_body",
        "_codec",
        "_connection",
        "_is_whole",
        "_pool",
        "_request",
        "arrived",
        "head",
        "server",
    )

    def __init__(self, pool, codec, server, request):
        self._pool = pool
        self._codec = codec
        self._request = request
        self._connection = None
        self._body = None
        self._is_whole = False
        self.server = server
        self.head = None
        self.arrived = False

    async def __aenter__(self):
        self._connection = await self._pool.take(self.server)
        return self

    async def __aexit__(self, *exc_info):
        with anyio.CancelScope(shield=True):
            if self._is_whole:
                keep_alive_s = self.head.keep_alive_s
                await self._pool.give_back(self.server, self._connection, keep_alive_s)
            else:
                await self._connection.aclose()

    async def send(self, left_s, last_event_id=None):
        """Sends the request and reads the head of the answer.

        Args:
            left_s: Seconds after which the server shall stop.
            last_event_id: Event after which a stream goes on; None to send what the
                caller has sent.

        Raises:
            NotConnected: The server has not seen the request.
            Overloaded: The server says that it has not run the request.
            ServerFailed: The connection broke; it may have run.
            AnswerBroken: The answer is not one to this request; it may have run.
        """
        request, server = self._request, self.server
        headers = self._codec.server_headers(
            request, server, left_s, last_event_id=last_event_id
        )
        try:
            response = await self._connection.request(
                server.host,
                server.port,
                request.head.method,
                request.head.target,
                headers,
                request.body,
            )
        except _NOT_CONNECTED as error:
            raise NotConnected(f"Server {server.id} takes no connection.") from error
        except _BROKEN as error:
            self.arrived = True
            raise ServerFailed(
                f"Server {server.id} broke off: {error_text(error)}."
            ) from error
        except BaseException:
            self.arrived = True
            raise
        self.arrived = True
        self._body = response.stream
        self.head = self._codec.read_answer_head(response.status, response.headers)
        self._check_head()

    async def chunks(self):
        """Yields the bytes of the body as they come.

        Raises:
            ServerFailed: The body is cut off.
        """
        try:
            async for data in self._body:
                yield data
        except _BROKEN as error:
            raise ServerFailed(
                f"Server {self.server.id} cut its answer: {error_text(error)}."
            ) from error
        # Only a closed response lets the connection carry another request.
        await self._body.aclose()
        self._is_whole = True

    async def read_body(self):
        """Returns the whole body.

        Raises:
            ServerFailed: The body is cut off.
            AnswerBroken: It is too large to be held.
        """
        parts, size = [], 0
        async for data in self.chunks():
            parts.append(data)
            size += len(data)
            if size > MAX_WHOLE_BODY_BYTES:
                raise AnswerBroken(f"An answer exceeds {MAX_WHOLE_BODY_BYTES} bytes.")
        return b"".join(parts)

    def _check_head(self):
        head, server = self.head, self.server
        if not head.ran:
            raise Overloaded(f"Server {server.id} has not run it ({head.status}).")
        if head.request_id != self._request.id:
            raise AnswerBroken(f"Server {server.id} sent another request's answer.")
        if head.is_success and (not head.is_signed or head.is_encoded):
            raise AnswerBroken(f"Server {server.id} sent an unsigned answer.")
