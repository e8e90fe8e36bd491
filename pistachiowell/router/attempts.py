"""Sends attempts to agents and receives their answers."""

import math

import anyio

from pistachiowell.core.errors import (
    DeadlineExceeded,
    LinkLost,
    ServerFailed,
    error_class,
)
from pistachiowell.schema.generated.messages_requests import (
    AnswerChunk,
    AnswerCredit,
    AnswerEnd,
    AnswerFailed,
    AnswerStart,
    CancelRequest,
)
from pistachiowell.wire import try_send


class Attempt:
    """One attempt at one agent, as a context manager.

    Leaving the context before the end of the answer cancels the attempt at the agent,
    so that no capacity is spent on an answer that is no longer needed.

    Args:
        attempts: The ``Attempts`` that it belongs to.
        request: The ``RunRequest``.
        link: The link to the agent.
        deadline: Time of the caller's deadline on the clock of ``attempts``.

    Attributes:
        request: The ``RunRequest``.
        link: The link to the agent.
    """

    __slots__ = (
        "_attempts",
        "_deadline",
        "_ended",
        "_receive_stream",
        "_send_stream",
        "link",
        "request",
    )

    def __init__(self, attempts, request, link, deadline):
        self._attempts = attempts
        self._deadline = deadline
        self._ended = False
        self._send_stream, self._receive_stream = anyio.create_memory_object_stream(
            math.inf
        )
        self.request = request
        self.link = link

    @property
    def key(self):
        """Request id and attempt number."""
        return (self.request.request_id, self.request.attempt)

    def __enter__(self):
        self._attempts.add(self)
        self.link.add_close_listener(self._on_link_closed)
        return self

    def __exit__(self, *exc_info):
        self._attempts.remove(self)
        self.link.remove_close_listener(self._on_link_closed)
        if not self._ended:
            try_send(self.link, CancelRequest(*self.key))
        self._send_stream.close()
        self._receive_stream.close()

    def start(self):
        """Sends the request to the agent.

        Raises:
            ServerFailed: The link was lost before the request was sent, so it did
                not run.
        """
        try:
            self.link.send(self.request)
        except LinkLost as error:
            self._ended = True
            raise ServerFailed(
                "The link to the agent was lost before the request was sent.", ran="no"
            ) from error

    def deliver(self, message):
        """Queues a message of the agent."""
        self._send_stream.send_nowait(message)

    async def receive(self):
        """Waits for the next message of the answer.

        Raises:
            DeadlineExceeded: The caller's deadline has passed.
            ServerFailed: The link was lost; the request may have run.
            PistachiowellError: The agent reported a failure.
        """
        left_s = self._deadline - self._attempts.now()
        message = None
        with anyio.move_on_after(max(0.0, left_s)) as scope:
            message = await self._receive_stream.receive()
        if scope.cancelled_caught:
            raise DeadlineExceeded("The deadline of the request has passed.")
        if message is None:
            lost = LinkLost("The link was lost before the end of the answer.")
            raise ServerFailed(
                "The link to the agent was lost after the request was sent."
            ) from lost
        self._ended = isinstance(message, AnswerEnd | AnswerFailed)
        if isinstance(message, AnswerFailed):
            raise error_class(message.code)(
                message.message,
                ran=str(message.ran),
                retry_after_s=message.retry_after_s,
            )
        return message

    def grant_credit(self, size_bytes):
        """Grants the agent credit to send more bytes.

        Args:
            size_bytes: Additional credit in bytes; 0 sends nothing.
        """
        if size_bytes > 0:
            try_send(self.link, AnswerCredit(*self.key, size_bytes))

    def _on_link_closed(self):
        self._send_stream.send_nowait(None)


class Attempts:
    """Dispatches the messages of agents to the attempts in progress.

    Messages for cancelled attempts, and messages that come over another link than that
    of the attempt, are dropped.

    Args:
        handlers: Handlers of the links to agents; this adds its own.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_by_key", "now")

    def __init__(self, handlers, now):
        self._by_key = {}
        self.now = now
        for cls in (AnswerStart, AnswerChunk, AnswerEnd, AnswerFailed):
            handlers.on(cls)(self._deliver)

    def add(self, attempt):
        """Registers an attempt."""
        self._by_key[attempt.key] = attempt

    def remove(self, attempt):
        """Removes an attempt."""
        self._by_key.pop(attempt.key, None)

    async def _deliver(self, link, message):
        attempt = self._by_key.get((message.request_id, message.attempt))
        if attempt is not None and attempt.link is link:
            attempt.deliver(message)
