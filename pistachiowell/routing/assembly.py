"""Assembly of one answer from the chunks of its attempts."""

from dataclasses import dataclass

from pistachiowell.core.registry import Registry

ASSEMBLERS = Registry("answer assembly")

MAX_EARLY_BYTES = 262144


@dataclass(frozen=True, slots=True)
class Deliver:
    """Bytes that go to the caller next."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Finished:
    """The caller has the whole answer."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The answer cannot be made whole; the caller must be told so."""

    reason: str


@ASSEMBLERS.add("append")
class AppendAssembler:
    """Passes on whatever comes; the naive baseline."""

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
        """Takes a chunk."""
        self._delivered += len(data)
        return [Deliver(data)]

    def end(self, attempt, length):
        """Takes the end of an attempt's answer."""
        return [Finished()]

    def fail(self, attempt, reason):
        """Takes the failure of an attempt."""
        return [Broken(reason)] if self._delivered else []


@ASSEMBLERS.add("offsets")
class OffsetAssembler:
    """Delivers exactly the bytes of one attempt, in order, each once.

    Chunks of abandoned attempts are dropped, repeated bytes are cut, early chunks
    wait for the missing ones up to a bound. Once a byte has been delivered no other
    attempt can take over, as two runs may answer differently.

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

    __slots__ = ("_attempt", "_delivered", "_early", "_early_bytes", "_length", "_over")

    def __init__(self):
        self._attempt = 0
        self._delivered = 0
        self._early = {}
        self._early_bytes = 0
        self._length = None
        self._over = False

    @property
    def delivered_bytes(self):
        """Bytes that went to the caller."""
        return self._delivered

    def begin(self, attempt):
        """Starts an attempt; chunks of earlier ones are dropped from now on.

        Args:
            attempt: Number of the attempt, greater than those before.

        Returns:
            ``[Broken]`` if bytes of an earlier attempt were delivered already.
        """
        self._abandon(attempt)
        if self._over or not self._delivered:
            return []
        return self._break("another attempt began after the first byte")

    def add_chunk(self, attempt, offset, data):
        """Takes a chunk.

        Args:
            attempt: Number of its attempt.
            offset: Bytes of the body before it.
            data: The bytes.

        Returns:
            A list of ``Deliver``, ``Finished`` and ``Broken``.
        """
        if self._over or attempt != self._attempt:
            return []
        if offset > self._delivered:
            return self._keep_early(offset, data)
        fresh = [data[self._delivered - offset :]]
        position = max(self._delivered, offset + len(data))
        position = self._append_early(fresh, position)
        joined = b"".join(fresh)
        self._delivered = position
        delivered = [Deliver(joined)] if joined else []
        return delivered + self._close()

    def end(self, attempt, length):
        """Takes the end of an attempt's answer.

        Args:
            attempt: Number of the attempt.
            length: Length of the whole body in bytes.
        """
        if self._over or attempt != self._attempt:
            return []
        self._length = length
        return self._close()

    def fail(self, attempt, reason):
        """Takes the failure of an attempt.

        Returns:
            ``[Broken]`` if bytes were delivered; nothing if another attempt may
            still answer.
        """
        if self._over or attempt != self._attempt:
            return []
        self._abandon(attempt + 1)
        if not self._delivered:
            return []
        return self._break(reason)

    def _abandon(self, attempt):
        self._attempt = attempt
        self._early.clear()
        self._early_bytes = 0
        self._length = None

    def _keep_early(self, offset, data):
        kept = self._early.get(offset, b"")
        if len(data) > len(kept):
            self._early[offset] = data
            self._early_bytes += len(data) - len(kept)
        if self._early_bytes > MAX_EARLY_BYTES:
            return self._break("too many bytes came out of order")
        return []

    def _append_early(self, fresh, position):
        while ready := [offset for offset in self._early if offset <= position]:
            offset = min(ready)
            data = self._early.pop(offset)
            self._early_bytes -= len(data)
            fresh.append(data[position - offset :])
            position = max(position, offset + len(data))
        return position

    def _close(self):
        if self._length is None or self._delivered < self._length:
            return []
        if self._delivered > self._length:
            return self._break("the answer is longer than announced")
        self._over = True
        return [Finished()]

    def _break(self, reason):
        self._over = True
        return [Broken(reason)]
