"""Single calls to a store over HTTP, with each failure as a typed error.

The type of the error states whether a write may have taken effect. Only failures in
which the store certainly did not apply the write become ``StoreUnavailable``,
``StoreThrottled``, ``StoreConflict`` or ``BodyTooLarge``; all others become
``StoreAnswerLost``, so that no caller assumes that a write failed while the store has
applied it.
"""

import socket
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import httpcore

from pistachiowell.core.body_buffer import (
    BodyBuffer,
    EndlessBodyError,
    HeldBytes,
)
from pistachiowell.core.errors import (
    BodyTooLarge,
    StoreAnswerLost,
    StoreConflict,
    StoreThrottled,
    StoreUnavailable,
)
from pistachiowell.core.http_connections import SingleAnswerPool
from pistachiowell.store.era import StoreEra

CONNECT_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 16
# Of all answers that are being read; one may have all of it.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Versions with such an era fit into 63 bits; see ``REVISION_BITS``.
MAX_ERA_DIGITS = 6
# TCP keep-alive detects a dead connection within three seconds.
KEEP_ALIVE_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
]
_HEADERS = [(b"content-type", b"application/json")]

_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
)


class _EarlierEraError(Exception):
    """An answer describes a content of the store that is lost."""


NO_ANSWER_ERRORS = (*HTTP_ERRORS, TimeoutError, EndlessBodyError, _EarlierEraError)


class StoreCalls:
    """Sends calls over a pool of connections.

    Args:
        base_url: URL that all paths are appended to.
        call_timeout_s: Timeout of one call in seconds.
        no_effect_statuses: HTTP statuses with which this store rejects a write without
            applying it, in addition to those that are handled for every store.
        era_header: Lower-case name of the header in which each answer names the era of
            the store; empty if this store has none.

    Attributes:
        era: The ``StoreEra``.
    """

    __slots__ = (
        "_base_url",
        "_call_timeout_s",
        "_era_header",
        "_held",
        "_no_effect_statuses",
        "_pool",
        "era",
    )

    def __init__(self, base_url, call_timeout_s, no_effect_statuses=(), era_header=b""):
        self._base_url = base_url.rstrip("/")
        self._call_timeout_s = call_timeout_s
        self._no_effect_statuses = frozenset(no_effect_statuses)
        self._era_header = era_header
        self.era = StoreEra()
        self._held = HeldBytes(MAX_ANSWER_BYTES)
        self._pool = SingleAnswerPool(
            max_connections=MAX_CONNECTIONS, socket_options=KEEP_ALIVE_OPTIONS
        )

    async def aclose(self):
        """Closes all connections."""
        await self._pool.aclose()

    async def read(self, path, timeout_s=None):
        """Sends a GET request.

        Args:
            path: Path and query after the base URL.
            timeout_s: Timeout in seconds; None for ``call_timeout_s``.

        Returns:
            Status and body of a response with status 200 or 404.

        Raises:
            StoreUnavailable: No response came, or one that reports a fault, or one of
                an earlier era.
            StoreThrottled: The store limits the rate of calls.
            StoreConflict: The store no longer keeps the requested history.
        """
        try:
            status, body = await self._send("GET", path, b"", timeout_s)
        except NO_ANSWER_ERRORS as error:
            raise StoreUnavailable(f"No answer: {error_text(error)}.") from error
        if status != 404:
            check_read(status, body)
        return status, body

    async def write(self, method, path, body):
        """Sends a request that changes an object.

        Returns:
            The body of the response.

        Raises:
            StoreUnavailable: The write took no effect.
            StoreAnswerLost: The write may have taken effect, or may still do so.
            StoreThrottled: The write took no effect.
            StoreConflict: The object has another version.
            BodyTooLarge: The store rejected the size.
        """
        try:
            status, answer = await self._send(method, path, body, None)
        except _NOT_SENT_ERRORS as error:
            raise StoreUnavailable(f"No connection: {error_text(error)}.") from error
        except NO_ANSWER_ERRORS as error:
            raise StoreAnswerLost(f"No answer: {error_text(error)}.") from error
        if status in (200, 201):
            return answer
        if status in (404, 409, 410):
            raise StoreConflict(f"{path} has another version; read it again.")
        if status == 413:
            raise BodyTooLarge(f"The store rejected {path} as too large.")
        if status == 429:
            raise StoreThrottled(f"The store throttles writes of {path}; retry later.")
        if status in self._no_effect_statuses:
            raise StoreUnavailable(f"The store rejected the write: status {status}.")
        raise StoreAnswerLost(
            f"The store answered {status}; the write may have taken effect."
        )

    async def read_body(self, response):
        """Returns the whole body of a response.

        Raises:
            EndlessBodyError: The answers in progress exceed ``MAX_ANSWER_BYTES``.
        """
        with BodyBuffer(self._held, MAX_ANSWER_BYTES) as buffer:
            async for part in response.aiter_stream():
                buffer.add(part)
            return buffer.join()

    @asynccontextmanager
    async def stream(self, path, read_timeout_s):
        """Opens a GET request whose response is read as it arrives.

        Args:
            path: Path and query after the base URL.
            read_timeout_s: Longest wait for the head, and for the next bytes, in
                seconds.

        Returns:
            An async context manager that yields the response.
        """
        timeouts = _timeouts(read_timeout_s)
        url = f"{self._base_url}/{path}"
        async with AsyncExitStack() as stack:
            with anyio.fail_after(read_timeout_s):
                response = await stack.enter_async_context(
                    self._pool.stream("GET", url, extensions={"timeout": timeouts})
                )
            yield response

    async def _send(self, method, path, body, timeout_s):
        limit_s = self._call_timeout_s if timeout_s is None else timeout_s
        manager = self._pool.stream(
            method,
            f"{self._base_url}/{path}",
            headers=_HEADERS,
            content=body,
            extensions={"timeout": _timeouts(limit_s)},
        )
        with anyio.fail_after(limit_s):
            async with manager as response:
                content = await self.read_body(response)
        if not self.era.record(self._era_of(response)):
            raise _EarlierEraError(
                "The answer came after the store's return from a copy"
            )
        return response.status, content

    def _era_of(self, response):
        for name, value in response.headers:
            is_number = value.isdigit() and len(value) <= MAX_ERA_DIGITS
            if name.lower() == self._era_header and is_number:
                return int(value)
        return None


def check_read(status, body):
    """Raises the error that matches the status of a read; returns None for 200."""
    if status == 200:
        return
    if status == 410:
        raise StoreConflict(
            "The store no longer keeps this version; list the collection again."
        )
    if status == 429:
        raise StoreThrottled("The store throttles reads; retry later.")
    raise StoreUnavailable(f"The store answered {status}: {body[:200]!r}.")


def error_text(error):
    """Returns the text of an error, or the name of its class if it has none."""
    return str(error) or type(error).__name__


def _timeouts(read_s):
    return {
        "connect": min(CONNECT_TIMEOUT_S, read_s),
        "pool": min(CONNECT_TIMEOUT_S, read_s),
        "read": read_s,
        "write": WRITE_TIMEOUT_S,
    }
