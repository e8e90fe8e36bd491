"""Attempts in progress at an agent."""

import anyio

from pistachiowell.schema.generated.messages_requests import AnswerChunk


class Run:
    """One attempt in progress.

    Args:
        link: Link to the router.
        request: The ``RunRequest``.

    Attributes:
        slot: The ``Slot`` that it holds at the backend server.
    """

    __slots__ = (
        "_credit_bytes",
        "_offset",
        "_wake",
        "link",
        "request",
        "scope",
        "slot",
    )

    def __init__(self, link, request):
        self.link = link
        self.request = request
        self.scope = anyio.CancelScope()
        self.slot = None
        self._credit_bytes = request.credit_bytes
        self._offset = 0
        self._wake = anyio.Event()

    @property
    def key(self):
        """Request id and attempt number."""
        return (self.request.request_id, self.request.attempt)

    @property
    def offset(self):
        """Bytes of the body sent so far."""
        return self._offset

    def add_credit(self, size_bytes):
        """Allows more bytes to be sent."""
        self._credit_bytes += size_bytes
        self._wake.set()

    def send(self, message):
        """Sends a message to the router unless the link is lost."""
        if not self.link.closed:
            self.link.send(message)

    async def send_body(self, data):
        """Sends a part of the body as credit comes for it."""
        while data:
            while self._credit_bytes <= 0:
                self._wake = anyio.Event()
                await self._wake.wait()
            part, data = data[: self._credit_bytes], data[self._credit_bytes :]
            self._credit_bytes -= len(part)
            self.send(AnswerChunk(*self.key, self._offset, part))
            self._offset += len(part)


class Progress:
    """How far an attempt has come.

    Attributes:
        decided: Whether the claims have refused its key.
        sent: Whether its request may have reached the backend server.
        prompt_tokens: Tokens of the prompt that the server has told.
        completion_tokens: Tokens generated so far.
    """

    __slots__ = ("completion_tokens", "decided", "prompt_tokens", "sent")

    def __init__(self):
        self.decided = False
        self.sent = False
        self.prompt_tokens = 0
        self.completion_tokens = 0
