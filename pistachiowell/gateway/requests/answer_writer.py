"""Writes answers to callers over ASGI."""

import math

import msgspec

from pistachiowell.core.errors import NOT_RUN

RETRY_AFTER_STATUSES = frozenset({429, 503})
REQUEST_TIMEOUT_STATUS = 408


class AnswerWriter:
    """Sends one answer to a caller and records whether it has started.

    Args:
        send: ASGI send function.
        closes_connection: Function that returns whether answers ask the caller to
            close its connection, as when the process has begun to shut down.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_closes_connection", "_now", "_send", "_started_at")

    def __init__(self, send, closes_connection, now):
        self._send = send
        self._closes_connection = closes_connection
        self._now = now
        self._started_at = None

    @property
    def has_started(self):
        """Whether the caller may have received a part of an answer."""
        return self._started_at is not None

    @property
    def started_at(self):
        """Time at which the answer has started in seconds; None before."""
        return self._started_at

    async def send_chunk(self, head, data):
        """Sends a part of a stream, and the head before the first part.

        Args:
            head: The ``AnswerHead`` of the server that sent the part.
            data: The part as bytes.
        """
        if not self.has_started:
            await self._send_head(head.status, head.headers, None)
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, head):
        """Finishes a stream, which marks the answer as complete."""
        if not self.has_started:
            await self._send_head(head.status, head.headers, None)
        await self._send({"type": "http.response.body", "body": b""})

    async def send_complete(self, head, body):
        """Sends a complete answer of a server."""
        await self._send_head(head.status, head.headers, len(body))
        await self._send({"type": "http.response.body", "body": body})

    async def send_error(self, error):
        """Sends an error of the gateway itself, unless an answer has started.

        An answer that has started is left without its final chunk: the caller sees a
        broken transfer and cannot mistake the partial answer for a complete one.

        Args:
            error: The ``PistachiowellError``.

        Returns:
            Whether the error was sent.
        """
        if self.has_started:
            return False
        body = msgspec.json.encode(
            {"error": str(error.code), "message": error.message, "ran": error.ran}
        )
        headers = [(b"content-type", b"application/json")]
        if error.http_status in RETRY_AFTER_STATUSES and error.ran == NOT_RUN:
            delay_ms = math.ceil(max(error.retry_after_s, 0.05) * 1000)
            headers.append((b"retry-after", b"%.3f" % (delay_ms / 1000)))
        if error.closes_connection or error.http_status == REQUEST_TIMEOUT_STATUS:
            headers.append((b"connection", b"close"))
        await self._send_head(error.http_status, headers, len(body))
        await self._send({"type": "http.response.body", "body": body})
        return True

    async def _send_head(self, status, headers, length):
        headers = list(headers)
        if length is not None:
            headers.append((b"content-length", b"%d" % length))
        if self._closes_connection() and (b"connection", b"close") not in headers:
            headers.append((b"connection", b"close"))
        self._started_at = self._now()
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
