"""Network streams to servers that bound the head of an answer in bytes and time.

A server in trouble may send bytes that are no answer without end. A parser then waits
for the end of the head, or skips one informational answer after the other.
"""

import math
import socket
import struct

import anyio
import httpcore

from pistachiowell.core.socket_state import has_taken_all, unacknowledged_bytes

MAX_HEAD_BYTES = 65_536
MAX_HEAD_S = 1.0
# A sound server may pause within a head: no wait for the next byte counts for more.
MAX_COUNTED_WAIT_S = 0.1
# Lingering for a time of zero: closing resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class EndlessHeadError(Exception):
    """A server has not ended the head of its answer within the limits."""


class HeadLimit:
    """Limits the bytes of a head and the time in which they keep coming.

    A server that sends nothing is no matter of this limit, whether it has begun its
    head or not: it may go on until the deadline of the request.

    Args:
        now: Function that returns the monotonic time in seconds.

    Examples:
        >>> times = iter([5.0, 7.0])
        >>> limit = HeadLimit(lambda: next(times))
        >>> limit.begin(); limit.record(100); limit.record(100); limit.left_s
        0.9
    """

    __slots__ = ("_bytes", "_is_active", "_now", "_read_at", "left_s")

    def __init__(self, now):
        self._now = now
        self._is_active = False
        self._bytes = 0
        self._read_at = None
        self.left_s = MAX_HEAD_S

    @property
    def is_awaited(self):
        """Whether the head is still awaited."""
        return self._is_active

    def begin(self):
        """Starts to wait for a head."""
        self._is_active = True
        self._bytes = 0
        self._read_at = None
        self.left_s = MAX_HEAD_S

    def end(self):
        """Ends the limits, as the head is complete."""
        self._is_active = False

    def record(self, size):
        """Records received bytes.

        Raises:
            EndlessHeadError: A limit is exceeded.
        """
        if not self._is_active:
            return
        now = self._now()
        if self._read_at is not None:
            self.left_s -= min(now - self._read_at, MAX_COUNTED_WAIT_S)
        self._read_at = now
        self._bytes += size
        if self._bytes > 2 * MAX_HEAD_BYTES:
            # One read may hold a whole head and as many bytes of the body.
            raise EndlessHeadError(f"Its head exceeds {MAX_HEAD_BYTES} bytes.")
        if self.left_s <= 0:
            raise EndlessHeadError(f"Its head did not end within {MAX_HEAD_S} s.")


class BoundedStream(httpcore.AsyncNetworkStream):
    """Network stream whose reads keep to a ``HeadLimit``.

    Args:
        stream: The ``httpcore.AsyncNetworkStream`` that does the I/O.
        limit: The ``HeadLimit``.
        hand_over: Function of the stream that does the I/O; called in place of closing
            it after a wait for a head was cancelled. Returns whether the stream is
            closed elsewhere.
    """

    __slots__ = (
        "_hand_over",
        "_has_ended",
        "_is_handed_over",
        "_limit",
        "_stream",
        "_was_cancelled",
    )

    def __init__(self, stream, limit, hand_over):
        self._stream = stream
        self._limit = limit
        self._hand_over = hand_over
        self._has_ended = False
        self._was_cancelled = False
        self._is_handed_over = False

    async def read(self, max_bytes, timeout=None):
        """Reads bytes; see ``httpcore.AsyncNetworkStream.read``."""
        try:
            data = await self._stream.read(max_bytes, timeout)
        except anyio.get_cancelled_exc_class():
            self._was_cancelled = True
            raise
        self._has_ended = not data
        self._limit.record(len(data))
        return data

    async def has_ended_in_order(self, *, has_body):
        """Returns whether the server had the whole request, if it has ended the stream.

        An answer without a length ends with its connection. So does the part that was
        sent by a server that ends on the way.

        Args:
            has_body: Whether the request has a body.
        """
        if not self._has_ended:
            return True
        return await has_taken_all(
            self._stream.get_extra_info("socket"), has_body=has_body
        )

    async def write(self, buffer, timeout=None):
        """Writes bytes; see ``httpcore.AsyncNetworkStream.write``."""
        await self._stream.write(buffer, timeout)

    async def aclose(self):
        """Closes the stream; drops what has not arrived of an unanswered request.

        A plain close would still deliver it to a server that reads again later.
        """
        if self._is_handed_over:
            return
        sock = self._stream.get_extra_info("socket")
        if self._limit.is_awaited and sock is not None:
            if _has_unsent_bytes(sock):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            elif self._was_cancelled and self._hand_over(self._stream):
                self._is_handed_over = True
                return
        await self._stream.aclose()

    def get_extra_info(self, info):
        """Returns information on the stream that does the I/O."""
        return self._stream.get_extra_info(info)


def _has_unsent_bytes(sock):
    """Returns whether the peer has not acknowledged all that was sent to it."""
    if sock.fileno() < 0:
        return False  # closed before
    try:
        return unacknowledged_bytes(sock) > 0
    except OSError:
        return False


class BoundedBackend(httpcore.AsyncNetworkBackend):
    """Opens network streams that keep to a ``HeadLimit``.

    Args:
        limit: The ``HeadLimit``.
        deadline: Function that returns a cancel scope of so many seconds, such as
            ``LoopWatch.deadline``: a process that is late itself has not given the
            server its time.
        hand_over: See ``BoundedStream``; None to close the stream always.
    """

    __slots__ = ("_backend", "_deadline", "_hand_over", "_limit")

    def __init__(self, limit, deadline=anyio.move_on_after, hand_over=None):
        self._hand_over = hand_over or (lambda stream: False)
        self._backend = httpcore.AnyIOBackend()
        self._limit = limit
        self._deadline = deadline

    async def connect_tcp(
        self, host, port, timeout=None, local_address=None, socket_options=None
    ):
        """Connects to a server; see ``httpcore.AsyncNetworkBackend``."""
        with self._deadline(math.inf if timeout is None else timeout) as scope:
            stream = await self._backend.connect_tcp(
                host, port, None, local_address, socket_options
            )
        if scope.cancelled_caught:
            raise httpcore.ConnectTimeout
        return BoundedStream(stream, self._limit, self._hand_over)
