"""The gateway's side of the connection to a caller."""

import math

import msgspec

from pistachiowell.core.errors import NOT_RUN

RETRY_STATUSES = frozenset({429, 503})


class AnswerWriter:
    """Sends one answer and knows whether it has begun.

    Args:
        send: ASGI send function.
        is_leaving: Function that tells whether the process has begun to leave.
    """

    __slots__ = ("_has_begun", "_is_leaving", "_send")

    def __init__(self, send, is_leaving):
        self._send = send
        self._is_leaving = is_leaving
        self._has_begun = False

    @property
    def has_begun(self):
        """Whether the caller may have got a part of an answer."""
        return self._has_begun

    async def show(self, head, data):
        """Sends a part of a stream; the head goes with the first one.

        Args:
            head: The ``AnswerHead`` of the server that sent it.
            data: The part as bytes.
        """
        if not self._has_begun:
            await self._start(head.status, head.headers, None)
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self, head):
        """Ends a stream."""
        if not self._has_begun:
            await self._start(head.status, head.headers, None)
        await self._send({"type": "http.response.body", "body": b""})

    async def send_whole(self, head, body):
        """Sends a whole answer of a server."""
        await self._start(head.status, head.headers, len(body))
        await self._send({"type": "http.response.body", "body": body})

    async def fail(self, error):
        """Sends an error of the gateway's own.

        An answer that has begun is left without its end, so that it cannot be taken
        for a whole one.

        Args:
            error: The ``PistachiowellError``.

        Returns:
            Whether the error was sent.
        """
        if self._has_begun:
            return False
        body = msgspec.json.encode(
            {"error": str(error.code), "message": error.message, "ran": error.ran}
        )
        headers = [(b"content-type", b"application/json")]
        if error.http_status in RETRY_STATUSES and error.ran == NOT_RUN:
            delay_ms = math.ceil(max(error.retry_after_s, 0.05) * 1000)
            headers.append((b"retry-after", b"%.3f" % (delay_ms / 1000)))
        await self._start(error.http_status, headers, len(body))
        await self._send({"type": "http.response.body", "body": body})
        return True

    async def _start(self, status, headers, length):
        headers = list(headers)
        if length is not None:
            headers.append((b"content-length", b"%d" % length))
        if self._is_leaving():
            headers.append((b"connection", b"close"))
        self._has_begun = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
