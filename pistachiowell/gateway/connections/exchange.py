"""Exchange of one request and its answer with one backend server."""

import anyio
import httpcore

from pistachiowell.core.answer_heads import find_head_fault
from pistachiowell.core.body_buffer import EndlessBodyError
from pistachiowell.core.errors import (
    AnswerBroken,
    NoServer,
    Overloaded,
    ServerFailed,
)
from pistachiowell.gateway.connections.bounded_stream import EndlessHeadError
from pistachiowell.store.calls import HTTP_ERRORS, error_text

_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
_EXCHANGE_ERRORS = (*HTTP_ERRORS, httpcore.ConnectionNotAvailable)


class NotConnected(NoServer):
    """The server did not accept a connection, so it has not received the request."""


class ConnectionBroken(ServerFailed):
    """The connection broke before the end of the answer."""


class Exchange:
    """Sends a request over a connection of its own and reads the answer.

    Use as an async context manager. Leaving it before the answer was read completely
    closes the connection, which tells the server that it can stop running the request.

    Args:
        pool: The ``ConnectionPool``.
        codec: Codec of heads; see ``pistachiowell.platform.headers``.
        server: The ``BackendServer``.
        request: The ``GatewayRequest``.
        late_heads: The ``LateHeads``; reads the head if this is left before it.
        is_repeat: Whether an earlier attempt of the request went to this server.

    Attributes:
        head: The ``AnswerHead``; None before ``send`` has returned.
        may_have_arrived: Whether the server may have received the request, or a part
            of it; if so, only the answer can show that it has not run.
        server: The ``BackendServer``.
    """

    __slots__ = (
        "_body",
        "_codec",
        "_connection",
        "_is_complete",
        "_is_repeat",
        "_late_heads",
        "_pool",
        "_request",
        "head",
        "may_have_arrived",
        "server",
    )

    def __init__(self, pool, codec, server, request, late_heads, *, is_repeat=False):
        self._pool = pool
        self._is_repeat = is_repeat
        self._codec = codec
        self._request = request
        self._late_heads = late_heads
        self._connection = None
        self._body = None
        self._is_complete = False
        self.server = server
        self.head = None
        self.may_have_arrived = False

    @property
    def request_id(self):
        """Id of the request."""
        return self._request.id

    @property
    def is_complete(self):
        """Whether the whole answer was read."""
        return self._is_complete

    @property
    def has_own_head(self):
        """Whether the head of an answer to this request was read."""
        return self.head is not None and self.head.request_id == self._request.id

    @property
    def has_trusted_head(self):
        """Whether the head is from the server that was meant.

        An answer that names no request counts only on a new connection, which can bear
        no late answer to another one.
        """
        is_anonymous = self.head is not None and not self.head.request_id
        return self.has_own_head or (is_anonymous and not self._connection.was_used)

    @property
    def tells_of_server(self):
        """Whether what the head says of its server itself counts.

        An answer that names no request counts on each connection: at worst it repeats
        what an earlier one has said. One that names another request is a late copy.
        """
        is_anonymous = self.head is not None and not self.head.request_id
        return self.has_own_head or is_anonymous

    @property
    def was_refused(self):
        """Whether the server answered that it has not run the request."""
        return self.head is not None and not self.head.ran

    @property
    def is_framed(self):
        """Whether the answer tells its end, by a length or in chunks.

        Otherwise it ends with its connection, for whatever reason that is closed.
        """
        return self.head.length is not None or self.head.is_chunked

    async def __aenter__(self):
        self._connection = await self._pool.acquire(
            self.server, is_repeat=self._is_repeat
        )
        self._connection.on_given_up = self._give_up
        return self

    async def __aexit__(self, *exc_info):
        with anyio.CancelScope(shield=True):
            if self._is_complete:
                keep_alive_s = self.head.keep_alive_s
                await self._pool.release(self.server, self._connection, keep_alive_s)
            else:
                await self._connection.aclose()

    def _give_up(self, stream):
        return self._late_heads.take(self.server, self._request.id, stream)

    async def open(self):
        """Connects to the server unless the connection is reused.

        Raises:
            NotConnected: The server does not accept a connection.
        """
        try:
            await self._connection.open()
        except _CONNECT_ERRORS as error:
            raise NotConnected(
                f"Server {self.server.id} refused the connection."
            ) from error

    async def send(self, left_s, last_event_id=None):
        """Sends the request and reads the head of the answer.

        The exchange must be open.

        Args:
            left_s: Seconds after which the server shall stop.
            last_event_id: Id of the event after which a stream continues; None to
                forward the caller's header.

        Raises:
            Overloaded: The server answered that it has not run the request.
            ConnectionBroken: The connection broke; the request may have run.
            AnswerBroken: The answer does not belong to this request, was not sent by
                the server or cannot be passed on; the request may have run.
        """
        request, server = self._request, self.server
        headers = self._codec.server_headers(
            request, server, left_s, last_event_id=last_event_id
        )
        try:
            response = await self._connection.request(
                request.head.method, request.head.target, headers, request.body
            )
        except EndlessHeadError as error:
            self.may_have_arrived = True
            raise AnswerBroken(f"Server {server.id}: {error}") from error
        except _EXCHANGE_ERRORS as error:
            self.may_have_arrived = True
            raise ConnectionBroken(
                f"Server {server.id} broke off: {error_text(error)}."
            ) from error
        except BaseException:
            self.may_have_arrived = True
            raise
        self.may_have_arrived = True
        self._body = response.stream
        self.head = self._codec.read_answer_head(response.status, response.headers)
        self._check_head()

    async def chunks(self):
        """Yields the bytes of the body as they arrive.

        Raises:
            ConnectionBroken: The body was cut off.
        """
        try:
            async for data in self._body:
                yield data
        except _EXCHANGE_ERRORS as error:
            raise ConnectionBroken(
                f"Server {self.server.id} cut off its answer: {error_text(error)}."
            ) from error
        has_body = bool(self._request.body)
        if not await self._connection.has_ended_in_order(has_body=has_body):
            raise ConnectionBroken(
                f"Server {self.server.id} ended before it had the whole request."
            )
        # The connection can carry another request only after the response is closed.
        await self._body.aclose()
        self._is_complete = True

    async def read_body(self, record_part):
        """Returns the complete body.

        Args:
            record_part: Function to call whenever bytes have arrived.

        Raises:
            ConnectionBroken: The body was cut off.
            AnswerBroken: The body exceeds ``MAX_BODY_BYTES`` or has no place beside the
                other bodies.
        """
        with self._pool.buffer() as buffer:
            try:
                async for data in self.chunks():
                    record_part()
                    buffer.add(data)
            except EndlessBodyError as error:
                raise AnswerBroken(f"Server {self.server.id}: {error}") from error
            return buffer.join()

    def _check_head(self):
        head, server = self.head, self.server
        if head.is_contradictory:
            raise AnswerBroken(f"Server {server.id} sent two answers in one.")
        if not self.has_own_head and (head.ran or not self.has_trusted_head):
            raise AnswerBroken(
                f"Server {server.id} sent the answer to another request."
            )
        if not head.ran:
            raise Overloaded(f"Server {server.id} has not run it ({head.status}).")
        if head.is_success and (not head.is_signed or head.is_encoded):
            raise AnswerBroken(f"Server {server.id} sent an unsigned answer.")
        if fault := find_head_fault(head.status, head.headers):
            raise AnswerBroken(f"Server {server.id} sent an unusable head. {fault}")
