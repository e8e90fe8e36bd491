"""Turns the messages of one attempt into what its caller gets."""

from pistachiowell.core.errors import AnswerBroken, Overloaded, ServerFailed
from pistachiowell.routing import ASSEMBLERS, Broken, Deliver, Finished
from pistachiowell.schema.generated.messages_requests import (
    AnswerChunk,
    AnswerStart,
)

FIRST_SERVER_FAULT = 500


class Answer:
    """The answer of one attempt.

    A streamed answer is passed on part by part, its start with the first part. Any
    other is passed on once it is whole, so that a failed attempt leaves no trace.

    Args:
        request: The ``RunRequest``.
    """

    __slots__ = ("_assembler", "_end", "_parts", "_request", "_start", "_started")

    def __init__(self, request):
        self._request = request
        self._assembler = ASSEMBLERS.find("offsets")()
        self._assembler.begin(request.attempt)
        self._start = None
        self._started = False
        self._end = None
        self._parts = []

    @property
    def ended(self):
        """Whether the answer is whole."""
        return self._end is not None

    @property
    def end(self):
        """The ``AnswerEnd``; None before it."""
        return self._end

    @property
    def fault(self):
        """A ``ServerFailed`` if the whole answer is an error of the server."""
        if self._start is None or self._start.status < FIRST_SERVER_FAULT:
            return None
        return ServerFailed(f"The backend server answered {self._start.status}.")

    @property
    def shown_bytes(self):
        """Bytes that the caller may have got."""
        return self._assembler.delivered_bytes if self._started else 0

    def take(self, message):
        """Takes a message of the agent.

        Returns:
            Messages for the caller.

        Raises:
            AnswerBroken: The answer cannot be made whole.
        """
        if isinstance(message, AnswerStart):
            self._start = message
            return []
        if self._start is None:
            raise AnswerBroken("The answer has no start.")
        if isinstance(message, AnswerChunk):
            return self._take_chunk(message)
        return self._take_end(message)

    def _take_chunk(self, message):
        actions = self._assembler.add_chunk(
            message.attempt, message.offset, message.data
        )
        data = b"".join(a.data for a in actions if isinstance(a, Deliver))
        _check(actions)
        if not self._request.stream:
            self._parts.append(data)
            return []
        return self._show(data) if data else []

    def _take_end(self, message):
        actions = self._assembler.end(message.attempt, message.length)
        _check(actions)
        if not any(isinstance(action, Finished) for action in actions):
            raise AnswerBroken("A part of the answer is missing.")
        self._end = message
        return [*self._show(b"".join(self._parts)), message]

    def _show(self, data):
        shown = [] if self._started else [self._start]
        self._started = True
        if data:
            offset = self._assembler.delivered_bytes - len(data)
            request = self._request
            chunk = AnswerChunk(request.request_id, request.attempt, offset, data)
            shown.append(chunk)
        return shown


def _check(actions):
    for action in actions:
        if isinstance(action, Broken):
            raise AnswerBroken(f"The answer broke: {action.reason}.")


class StreamCredit:
    """The part of the credit pool that one attempt uses; a context manager.

    Args:
        pool: A credit pool.
        stream: Unique id of the attempt.
        account: Name of the client account.
        now: Function that returns the monotonic time in seconds.

    Attributes:
        first_bytes: First credit of the agent.
        victims: ``AbortStream`` for streams that must be ended to make room.

    Raises:
        Overloaded: There is no room; nothing ran.
    """

    __slots__ = ("_now", "_pool", "_stream", "first_bytes", "victims")

    def __init__(self, pool, stream, account, now):
        self._pool = pool
        self._stream = stream
        self._now = now
        self.first_bytes, self.victims = pool.open(stream, account, now())

    def __enter__(self):
        if not self.first_bytes:
            raise Overloaded("Too many bytes are held for callers.", ran="no")
        return self

    def __exit__(self, *exc_info):
        self._pool.close(self._stream)

    def received(self, message):
        """Counts the bytes of a message and returns their number."""
        size = len(message.data) if isinstance(message, AnswerChunk) else 0
        self._pool.record_received(self._stream, size)
        return size

    def passed(self, size):
        """Counts bytes that were passed on; returns the agent's new credit."""
        return (
            self._pool.record_consumed(self._stream, size, self._now()) if size else 0
        )
