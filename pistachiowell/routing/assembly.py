"""Assembly of one answer from the chunks of its attempts.

Chunks of an attempt may arrive late, twice or out of order, and those of an earlier
attempt after a retry has begun. Without the checks here a caller could get bytes twice,
in the wrong order or from two different answers.
"""

from dataclasses import dataclass

from pistachiowell.core.registry import Registry

ASSEMBLERS = Registry("answer assembly")

MAX_EARLY_BYTES = 262144


@dataclass(frozen=True, slots=True)
class Deliver:
    """An instruction to send bytes to the caller.

    Attributes:
        data: The bytes.
    """

    data: bytes


@dataclass(frozen=True, slots=True)
class Finished:
    """The answer is complete."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The answer cannot be completed; the caller must get an error.

    Attributes:
        reason: Reason in a few words, for the error message.
    """

    reason: str


@ASSEMBLERS.add("append")
class AppendAssembler:
    """Delivers every chunk as it arrives; the baseline without checks."""

    __slots__ = ("_delivered",)

    def __init__(self):
        self._delivered = 0

    @property
    def delivered_bytes(self):
        """Bytes that went to the caller."""
        return self._delivered

    def begin(self, attempt):
        """Starts an attempt."""
        return []

    def add_chunk(self, attempt, offset, data):
        """Adds a chunk, which is delivered at once."""
        self._delivered += len(data)
        return [Deliver(data)]

    def end(self, attempt, length):
        """Handles the end of the answer of an attempt."""
        return [Finished()]

    def fail(self, attempt, reason):
        """Handles the failure of an attempt."""
        return [Broken(reason)] if self._delivered else []


@ASSEMBLERS.add("offsets")
class OffsetAssembler:
    """Delivers exactly the bytes of one attempt, in order, each once.

    Chunks of earlier attempts are discarded, repeated bytes are cut off, and chunks
    that arrive early are buffered, up to ``MAX_EARLY_BYTES``, until the missing ones
    arrive.
    Once a byte has been delivered, no other attempt can continue the answer, as two
    runs may answer differently.

    Examples:
        >>> assembler = OffsetAssembler()
        >>> assembler.begin(2)
        []
        >>> assembler.add_chunk(1, 0, b"old")
        []
        >>> assembler.add_chunk(2, 2, b"c")
        []
        >>> assembler.add_chunk(2, 0, b"ab")
        [Deliver(data=b'abc')]
        >>> assembler.end(2, 3)
        [Finished()]
    """

    __slots__ = (
        "_attempt",
        "_delivered",
        "_early_bytes",
        "_early_chunks",
        "_is_finished",
        "_length",
    )

    def __init__(self):
        self._attempt = 0
        self._delivered = 0
        self._early_chunks = {}
        self._early_bytes = 0
        self._length = None
        self._is_finished = False

    @property
    def delivered_bytes(self):
        """Bytes that went to the caller."""
        return self._delivered

    def begin(self, attempt):
        """Starts an attempt; chunks of earlier attempts are discarded from then on.

        Args:
            attempt: Number of the attempt, greater than those before.

        Returns:
            ``[Broken]`` if bytes of an earlier attempt were delivered already.
        """
        self._discard_before(attempt)
        if self._is_finished or not self._delivered:
            return []
        return self._abort("another attempt began after the first byte")

    def add_chunk(self, attempt, offset, data):
        """Adds a chunk of an attempt.

        Args:
            attempt: Number of its attempt.
            offset: Position of its first byte in the body.
            data: The bytes.

        Returns:
            A list of ``Deliver``, ``Finished`` and ``Broken``.
        """
        if self._is_finished or attempt != self._attempt:
            return []
        if offset > self._delivered:
            return self._buffer_early(offset, data)
        parts = [data[self._delivered - offset :]]
        position = max(self._delivered, offset + len(data))
        position = self._append_early(parts, position)
        joined = b"".join(parts)
        self._delivered = position
        delivered = [Deliver(joined)] if joined else []
        return delivered + self._finish_if_complete()

    def end(self, attempt, length):
        """Handles the end of the answer of an attempt.

        Args:
            attempt: Number of the attempt.
            length: Length of the whole body in bytes.
        """
        if self._is_finished or attempt != self._attempt:
            return []
        self._length = length
        return self._finish_if_complete()

    def fail(self, attempt, reason):
        """Handles the failure of an attempt.

        Returns:
            ``[Broken]`` if bytes were delivered; nothing if another attempt may
            still answer.
        """
        if self._is_finished or attempt != self._attempt:
            return []
        self._discard_before(attempt + 1)
        if not self._delivered:
            return []
        return self._abort(reason)

    def _discard_before(self, attempt):
        self._attempt = attempt
        self._early_chunks.clear()
        self._early_bytes = 0
        self._length = None

    def _buffer_early(self, offset, data):
        buffered = self._early_chunks.get(offset, b"")
        if len(data) > len(buffered):
            self._early_chunks[offset] = data
            self._early_bytes += len(data) - len(buffered)
        if self._early_bytes > MAX_EARLY_BYTES:
            return self._abort("too many bytes came out of order")
        return []

    def _append_early(self, parts, position):
        while ready := [offset for offset in self._early_chunks if offset <= position]:
            offset = min(ready)
            data = self._early_chunks.pop(offset)
            self._early_bytes -= len(data)
            parts.append(data[position - offset :])
            position = max(position, offset + len(data))
        return position

    def _finish_if_complete(self):
        if self._length is None or self._delivered < self._length:
            return []
        if self._delivered > self._length:
            return self._abort("the answer is longer than announced")
        self._is_finished = True
        return [Finished()]

    def _abort(self, reason):
        self._is_finished = True
        return [Broken(reason)]
