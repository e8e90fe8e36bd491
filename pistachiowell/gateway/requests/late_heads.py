"""Reads the heads of answers to requests that were given up meanwhile.

Load pattern: callers leave before a full server has turned them away. A gateway that
hangs up at once never reads that the server wants a pause, and sends it the next one.
"""

import socket
from contextlib import suppress

import anyio
import httptools

from pistachiowell.core.logs import part_logger
from pistachiowell.store.calls import HTTP_ERRORS

# The server is told at once that nobody waits, and need not bear the connection longer.
LATE_HEAD_S = 0.25
# Each may hold one read of the event loop, which is of up to 256 KiB.
MAX_CONNECTIONS = 64
MAX_HEAD_BYTES = 16_384
MAX_HEADERS = 100
FIRST_FINAL_STATUS = 200

_NO_HEAD_ERRORS = (
    OSError,
    *HTTP_ERRORS,
    httptools.HttpParserError,
    # No error in the parser's terms: what follows is of another protocol.
    httptools.HttpParserUpgrade,
)
_log = part_logger("dispatch")


class LateHeads:
    """Waits a moment for the heads of given-up answers and reports what they say.

    Time, bytes and headers of each are limited, and so is their number: the server may
    be in trouble and send bytes without end.

    Args:
        codec: Codec of heads; see ``pistachiowell.platform.headers``.
        record: Function of the ``BackendServer``, the ``AnswerHead`` and the id of the
            request that records what the head says of its server.
    """

    __slots__ = ("_codec", "_group", "_open", "_record")

    def __init__(self, codec, record):
        self._codec = codec
        self._record = record
        self._group = None
        self._open = 0

    async def run(self):
        """Reads heads until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            try:
                await anyio.sleep_forever()
            finally:
                # Requests are given up while the gateway stops too.
                self._group = None

    def take(self, server, request_id, stream):
        """Takes over the connection of a request that was given up.

        Args:
            server: The ``BackendServer``.
            request_id: Id of the request.
            stream: The ``httpcore.AsyncNetworkStream``.

        Returns:
            Whether the connection is closed here; if not, the caller has to close it.
        """
        if self._group is None or self._open >= MAX_CONNECTIONS:
            return False
        self._open += 1
        self._group.start_soon(self._read, server, request_id, stream)
        return True

    async def _read(self, server, request_id, stream):
        try:
            await self._record_head(server, request_id, stream)
        except Exception:
            # What one server says must not end the process.
            _log.exception("A late head cannot be read.", server=server.id)

    async def _record_head(self, server, request_id, stream):
        parser = _HeadParser()
        try:
            with anyio.move_on_after(LATE_HEAD_S), suppress(*_NO_HEAD_ERRORS):
                # Ends the request for the server, which can still answer.
                stream.get_extra_info("socket").shutdown(socket.SHUT_WR)
                await parser.read(stream)
        finally:
            self._open -= 1
            with anyio.CancelScope(shield=True):
                await stream.aclose()
        if parser.is_complete:
            head = self._codec.read_answer_head(parser.status, parser.headers)
            self._record(server, head, request_id)


class _HeadTooLongError(Exception):
    """A head has more headers than ``MAX_HEADERS``."""


class _HeadParser:
    """Reads the head of an answer, and no body.

    Attributes:
        headers: Pairs of bytes.
        is_complete: Whether the head of a final answer is complete.
        status: HTTP status of the final answer.
    """

    def __init__(self):
        self._parser = httptools.HttpResponseParser(self)
        self._left_headers = MAX_HEADERS
        self.headers = []
        self.is_complete = False
        self.status = 0

    async def read(self, stream):
        """Reads until the head is complete, too large or the connection ends.

        Raises:
            httptools.HttpParserError: The bytes are no head, or it has too many lines.
            httptools.HttpParserUpgrade: The server goes on in another protocol.
        """
        left_bytes = MAX_HEAD_BYTES
        while not self.is_complete and left_bytes > 0:
            data = await stream.read(left_bytes)
            if not data:
                return
            left_bytes -= len(data)
            self._parser.feed_data(data)

    def on_header(self, name, value):
        """Stores a header."""
        self._count_line()
        if not self.is_complete:
            self.headers.append((name, value))

    def on_headers_complete(self):
        """Ends the head, unless it is that of an informational answer."""
        self._count_line()
        if self.is_complete:
            return
        self.status = self._parser.get_status_code()
        self.is_complete = self.status >= FIRST_FINAL_STATUS
        if not self.is_complete:
            self.headers.clear()

    def _count_line(self):
        # An error ends the parsing of what was read with it.
        self._left_headers -= 1
        if self._left_headers < 0:
            raise _HeadTooLongError
