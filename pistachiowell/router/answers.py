"""Assembles the answer of one attempt from the messages of its agent."""

from pistachiowell.core.answer_heads import find_head_fault
from pistachiowell.core.errors import AnswerBroken, Overloaded, ServerFailed
from pistachiowell.routing import ASSEMBLERS, Broken, Deliver, Finished
from pistachiowell.schema.generated.messages_requests import (
    AnswerChunk,
    AnswerStart,
)

FIRST_SERVER_FAULT = 500


class Answer:
    """Assembles the answer of one attempt.

    A streamed answer is sent to the caller chunk by chunk, its start together with the
    first chunk. Any other answer is sent once it is complete. So nothing of an attempt
    that fails before has reached the caller, and the request can be retried. Offsets
    and the total length are checked, so that bytes which are lost, repeated or
    reordered are detected.

    Args:
        request: The ``RunRequest``.
    """

    __slots__ = ("_assembler", "_end", "_has_started", "_parts", "_request", "_start")

    def __init__(self, request):
        self._request = request
        self._assembler = ASSEMBLERS.find("offsets")()
        self._assembler.begin(request.attempt)
        self._start = None
        self._has_started = False
        self._end = None
        self._parts = []

    @property
    def is_complete(self):
        """Whether the answer is complete."""
        return self._end is not None

    @property
    def end(self):
        """The ``AnswerEnd``; None until the answer is complete."""
        return self._end

    @property
    def fault(self):
        """A ``ServerFailed`` if the server answered with a 5xx status, else None."""
        if self._start is None or self._start.status < FIRST_SERVER_FAULT:
            return None
        return ServerFailed(f"The backend server answered {self._start.status}.")

    @property
    def sent_bytes(self):
        """Bytes that the caller may have received."""
        return self._assembler.delivered_bytes if self._has_started else 0

    def add_message(self, message):
        """Adds a message of the agent.

        Args:
            message: An ``AnswerStart``, ``AnswerChunk`` or ``AnswerEnd``.

        Returns:
            The messages to send to the caller now.

        Raises:
            AnswerBroken: The answer is incomplete or inconsistent, or cannot be passed
                on.
        """
        if isinstance(message, AnswerStart):
            _check_start(message)
            self._start = message
            return []
        if self._start is None:
            raise AnswerBroken("The agent sent a part of an answer before its start.")
        if isinstance(message, AnswerChunk):
            return self._add_chunk(message)
        return self._add_end(message)

    def _add_chunk(self, message):
        actions = self._assembler.add_chunk(
            message.attempt, message.offset, message.data
        )
        data = b"".join(a.data for a in actions if isinstance(a, Deliver))
        _check(actions)
        if not self._request.stream:
            self._parts.append(data)
            return []
        return self._messages_to_send(data) if data else []

    def _add_end(self, message):
        actions = self._assembler.end(message.attempt, message.length)
        _check(actions)
        if not any(isinstance(action, Finished) for action in actions):
            raise AnswerBroken("A part of the answer is missing.")
        self._end = message
        return [*self._messages_to_send(b"".join(self._parts)), message]

    def _messages_to_send(self, data):
        messages = [] if self._has_started else [self._start]
        self._has_started = True
        if data:
            offset = self._assembler.delivered_bytes - len(data)
            request = self._request
            chunk = AnswerChunk(request.request_id, request.attempt, offset, data)
            messages.append(chunk)
        return messages


def _check_start(message):
    try:
        content_type = message.content_type.encode("latin-1")
    except UnicodeEncodeError as error:
        raise AnswerBroken("The agent sent a type that no header can have.") from error
    if fault := find_head_fault(message.status, [(b"content-type", content_type)]):
        raise AnswerBroken(f"The agent sent an unusable head. {fault}")


def _check(actions):
    for action in actions:
        if isinstance(action, Broken):
            raise AnswerBroken(f"The answer is inconsistent: {action.reason}.")


class StreamCredit:
    """Flow control credit of one attempt, as a context manager.

    The credit bounds the bytes that are buffered for a caller who reads slowly.

    Args:
        pool: A credit pool.
        stream: Unique id of the attempt.
        account: Name of the client account.
        now: Function that returns the monotonic time in seconds.

    Attributes:
        aborts: ``AbortStream`` items of the streams to abort to free memory.
        first_bytes: Initial credit of the agent in bytes.

    Raises:
        Overloaded: The pool has no room; nothing ran.
    """

    __slots__ = ("_now", "_pool", "_stream", "aborts", "first_bytes")

    def __init__(self, pool, stream, account, now):
        self._pool = pool
        self._stream = stream
        self._now = now
        self.first_bytes, self.aborts = pool.open(stream, account, now())

    def __enter__(self):
        if not self.first_bytes:
            raise Overloaded("The buffers for slow callers are full.", ran="no")
        return self

    def __exit__(self, *exc_info):
        self._pool.close(self._stream)

    def record_received(self, message):
        """Records a message of the agent and returns its size in bytes."""
        size = len(message.data) if isinstance(message, AnswerChunk) else 0
        self._pool.record_received(self._stream, size)
        return size

    def record_sent(self, size):
        """Records bytes sent to the caller and returns the agent's new credit."""
        return (
            self._pool.record_consumed(self._stream, size, self._now()) if size else 0
        )
