"""Single calls to a store over HTTP, with the outcome of each as a typed error."""

import socket

import anyio
import httpcore

from pistachiowell.core.errors import (
    BodyTooLarge,
    StoreAnswerLost,
    StoreConflict,
    StoreThrottled,
    StoreUnavailable,
)

CONNECT_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 16
# Shows within three seconds that a connection has gone silent for good.
KEEP_ALIVE_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
]
_HEADERS = [(b"content-type", b"application/json")]

_NOTHING_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
)


class StoreCalls:
    """Sends calls over a pool of connections.

    Args:
        base_url: URL that all paths are appended to.
        call_timeout_s: Longest wait for one answer in seconds.
        nothing_done: Statuses of a write that certainly took no effect, beside the
            ones that every store shares.
    """

    __slots__ = ("_base_url", "_call_timeout_s", "_nothing_done", "_pool")

    def __init__(self, base_url, call_timeout_s, nothing_done=()):
        self._base_url = base_url.rstrip("/")
        self._call_timeout_s = call_timeout_s
        self._nothing_done = frozenset(nothing_done)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, socket_options=KEEP_ALIVE_OPTIONS
        )

    async def aclose(self):
        """Closes all connections."""
        await self._pool.aclose()

    async def read(self, path, timeout_s=None):
        """Sends a GET.

        Args:
            path: Path and query after the base URL.
            timeout_s: Longest wait in seconds; None for that of all calls.

        Returns:
            Status and body of an answer with status 200 or 404.

        Raises:
            StoreUnavailable: No answer, or one that tells of a fault.
            StoreThrottled: The store limits the rate of calls.
            StoreConflict: The asked history is gone.
        """
        try:
            status, body = await self._send("GET", path, b"", timeout_s)
        except (*HTTP_ERRORS, TimeoutError) as error:
            raise StoreUnavailable(f"No answer: {error_text(error)}.") from error
        if status != 404:
            check_read(status, body)
        return status, body

    async def write(self, method, path, body):
        """Sends a call that changes an object.

        Returns:
            The body of the answer.

        Raises:
            StoreUnavailable: It took no effect.
            StoreAnswerLost: It may have taken effect, now or later.
            StoreThrottled: It took no effect.
            StoreConflict: The object has another version.
            BodyTooLarge: The store refused the size.
        """
        try:
            status, answer = await self._send(method, path, body, None)
        except _NOTHING_SENT as error:
            raise StoreUnavailable(f"No connection: {error_text(error)}.") from error
        except (*HTTP_ERRORS, TimeoutError) as error:
            raise StoreAnswerLost(f"No answer: {error_text(error)}.") from error
        if status in (200, 201):
            return answer
        if status in (404, 409, 410):
            raise StoreConflict(f"{path} has another version.")
        if status == 413:
            raise BodyTooLarge(f"The store refused the size of {path}.")
        if status == 429:
            raise StoreThrottled(f"The store throttles writes of {path}.")
        if status in self._nothing_done:
            raise StoreUnavailable(f"The store answered {status}.")
        raise StoreAnswerLost(f"The store answered {status}.")

    def stream(self, path, read_timeout_s):
        """Opens a GET whose answer is read as it comes.

        Returns:
            An async context manager with the response.
        """
        timeouts = _timeouts(read_timeout_s)
        url = f"{self._base_url}/{path}"
        return self._pool.stream("GET", url, extensions={"timeout": timeouts})

    async def _send(self, method, path, body, timeout_s):
        limit_s = self._call_timeout_s if timeout_s is None else timeout_s
        with anyio.fail_after(limit_s):
            response = await self._pool.request(
                method,
                f"{self._base_url}/{path}",
                headers=_HEADERS,
                content=body,
                extensions={"timeout": _timeouts(limit_s)},
            )
        return response.status, response.content


def check_read(status, body):
    """Raises the error that a read's status stands for; returns None for 200."""
    if status == 200:
        return
    if status == 410:
        raise StoreConflict("The version is too old; list the collection again.")
    if status == 429:
        raise StoreThrottled("The store throttles reads.")
    raise StoreUnavailable(f"The store answered {status}: {body[:200]!r}.")


def error_text(error):
    """Returns an error's text, or its class where it has none."""
    return str(error) or type(error).__name__


def _timeouts(read_s):
    return {
        "connect": min(CONNECT_TIMEOUT_S, read_s),
        "pool": min(CONNECT_TIMEOUT_S, read_s),
        "read": read_s,
        "write": WRITE_TIMEOUT_S,
    }
