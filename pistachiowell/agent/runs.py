"""State of the attempts in progress at an agent."""

import anyio

from pistachiowell.schema.generated.messages_requests import AnswerChunk
from pistachiowell.wire import try_send


class Run:
    """One attempt in progress.

    The router grants credit in bytes as its caller reads the answer. The agent sends
    nothing beyond it, as the router would otherwise buffer whole answers for callers
    that read slowly and run out of memory.

    Args:
        link: Link to the router.
        request: The ``RunRequest``.

    Attributes:
        scope: The ``CancelScope`` that the attempt runs in.
        slot: The ``Slot`` that it occupies; None before it is admitted.
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
        """Pair of request id and attempt number."""
        return (self.request.request_id, self.request.attempt)

    @property
    def offset(self):
        """Bytes of the body sent so far."""
        return self._offset

    def add_credit(self, size_bytes):
        """Adds credit for a number of bytes of the body."""
        self._credit_bytes += size_bytes
        self._wake.set()

    def send(self, message):
        """Sends a message to the router unless the link is closed or too slow."""
        try_send(self.link, message)

    async def send_body(self, data):
        """Sends a part of the body, and waits for credit whenever it is used up."""
        while data:
            while self._credit_bytes <= 0:
                self._wake = anyio.Event()
                await self._wake.wait()
            part, data = data[: self._credit_bytes], data[self._credit_bytes :]
            self._credit_bytes -= len(part)
            self.send(AnswerChunk(*self.key, self._offset, part))
            self._offset += len(part)


class Progress:
    """Progress of an attempt, which decides what its failure reports and costs.

    Attributes:
        claim_refused: Whether its key was refused by the claims. Its failure then
            reports the ``ran`` of that error, as an earlier request with the key may
            have run; without this, the caller would be told that nothing ran.
        sent: Whether its request may have reached the backend server.
        prompt_tokens: Tokens of the prompt; 0 until the server has reported them.
        completion_tokens: Tokens generated so far.
    """

    __slots__ = ("completion_tokens", "claim_refused", "prompt_tokens", "sent")

    def __init__(self):
        self.claim_refused = False
        self.sent = False
        self.prompt_tokens = 0
        self.completion_tokens = 0
