"""Byte credits of answer streams.

A caller that reads slower than its backend server answers would fill the memory of the
process with bytes that wait for it. An agent may send only the bytes that it has credit
for, and a caller earns new credit by reading.
"""

from dataclasses import dataclass

from pistachiowell.core.registry import Registry

CREDIT_POOLS = Registry("credit pool")


@dataclass(frozen=True, slots=True)
class CreditSettings:
    """Settings of a credit pool.

    Attributes:
        process_bytes: Maximum of bytes that are held or granted as credit in this
            process.
        account_share: Largest share of them for one client account.
        stream_min_bytes: First credit of a stream in bytes.
        stream_max_bytes: Largest credit of a stream in bytes.
        stream_overhead_bytes: Bytes that each stream may hold outside of its credit,
            in the write buffer of its connection.
        stall_s: Seconds without a byte read after which a stream that holds bytes may
            be aborted to make room for another.
    """

    process_bytes: int = 16 * 1024 * 1024
    account_share: float = 0.5
    stream_min_bytes: int = 4 * 1024
    stream_max_bytes: int = 256 * 1024
    stream_overhead_bytes: int = 8 * 1024
    stall_s: float = 10.0


@dataclass(frozen=True, slots=True)
class AbortStream:
    """An instruction to cancel a stream to free its memory.

    Attributes:
        stream: Id of the stream.
    """

    stream: str


@dataclass(slots=True)
class _Stream:
    account: str
    reserved_bytes: int
    held_bytes: int
    consumed_at: float


@CREDIT_POOLS.add("unbounded")
class UnboundedPool:
    """Grants the largest credit to every stream; the baseline without bounds.

    Args:
        settings: ``CreditSettings``.
    """

    __slots__ = ("_held", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._held = {}

    @property
    def held_bytes(self):
        """Bytes received and not yet read by their callers."""
        return sum(self._held.values())

    def open(self, stream, account, now):
        """Opens a stream and returns its first credit and no streams to abort."""
        self._held[stream] = 0
        return self._settings.stream_max_bytes, []

    def record_received(self, stream, size):
        """Records bytes that the agent sent."""
        self._held[stream] += size

    def record_consumed(self, stream, size, now):
        """Records bytes that the caller read and returns the new credit."""
        self._held[stream] -= size
        return size

    def close(self, stream):
        """Frees what the stream held."""
        self._held.pop(stream, None)


@CREDIT_POOLS.add("bounded")
class CreditPool:
    """Shares a fixed number of bytes among the streams of a process.

    A stream's reservation covers both the bytes held for it and the credit that its
    agent may still use, so the sum of the reservations bounds the memory. A reader that
    keeps up gets a larger reservation, but only while half of the pool and half of its
    account's share are free, so that new streams find room. If there is none, the
    stream that has stalled longest is aborted, so that callers that stop reading cannot
    block new requests. If the account is at its own bound, only its own streams are
    aborted, as others would free nothing for it.

    Args:
        settings: ``CreditSettings``.

    Examples:
        >>> pool = CreditPool(CreditSettings(process_bytes=20000, account_share=1.0))
        >>> pool.open("a", "acme", 0.0)
        (4096, [])
        >>> pool.record_received("a", 1000)
        >>> pool.record_consumed("a", 1000, 0.1)
        1000
        >>> pool.open("b", "acme", 1.0)
        (0, [])
    """

    __slots__ = ("_account_bytes", "_reserved_bytes", "_settings", "_streams")

    def __init__(self, settings):
        self._settings = settings
        self._streams = {}
        self._account_bytes = {}
        self._reserved_bytes = 0

    @property
    def held_bytes(self):
        """Bytes received and not yet read by their callers."""
        return sum(stream.held_bytes for stream in self._streams.values())

    @property
    def reserved_bytes(self):
        """Bytes held or granted as credit, with the overhead of the streams."""
        return self._reserved_bytes

    def open(self, stream, account, now):
        """Opens a stream, if need be by aborting stalled ones.

        Args:
            stream: Unique id of the stream.
            account: Name of the client account.
            now: Present time in seconds.

        Returns:
            The first credit in bytes, 0 if there is no room, and a list of
            ``AbortStream`` for the streams that must be cancelled first.
        """
        size = self._settings.stream_min_bytes
        aborts = []
        while self._free_bytes(account) < size + self._settings.stream_overhead_bytes:
            stalled = self._longest_stalled(account, now)
            if stalled is None:
                return 0, aborts
            self.close(stalled)
            aborts.append(AbortStream(stalled))
        self._streams[stream] = _Stream(account, size, 0, now)
        self._add_reserved(account, size + self._settings.stream_overhead_bytes)
        return size, aborts

    def record_received(self, stream, size):
        """Records bytes that the agent sent within the stream's credit."""
        entry = self._streams.get(stream)
        if entry is not None:
            entry.held_bytes += size

    def record_consumed(self, stream, size, now):
        """Records bytes that the caller read.

        Args:
            stream: Id of the stream.
            size: Number of bytes.
            now: Present time in seconds.

        Returns:
            The new credit in bytes to send to the agent.
        """
        entry = self._streams.get(stream)
        if entry is None:
            return 0
        entry.held_bytes -= size
        entry.consumed_at = now
        entry.reserved_bytes -= size
        self._add_reserved(entry.account, -size)
        credit = min(self._wanted_bytes(entry), self._free_bytes(entry.account))
        entry.reserved_bytes += credit
        self._add_reserved(entry.account, credit)
        return credit

    def close(self, stream):
        """Frees what the stream held."""
        entry = self._streams.pop(stream, None)
        if entry is not None:
            size = entry.reserved_bytes + self._settings.stream_overhead_bytes
            self._add_reserved(entry.account, -size)

    def _wanted_bytes(self, entry):
        """Returns the credit that a stream is to get, without more than half in use."""
        settings = self._settings
        least = max(0, settings.stream_min_bytes - entry.reserved_bytes)
        if entry.held_bytes:
            return least
        account_bound = int(settings.process_bytes * settings.account_share)
        room = min(
            settings.process_bytes // 2 - self._reserved_bytes,
            account_bound // 2 - self._account_bytes.get(entry.account, 0),
        )
        # Doubles the reservation.
        growth = min(
            entry.reserved_bytes, settings.stream_max_bytes - entry.reserved_bytes
        )
        return max(least, min(growth, room))

    def _free_bytes(self, account):
        settings = self._settings
        process_free = settings.process_bytes - self._reserved_bytes
        account_bound = int(settings.process_bytes * settings.account_share)
        return min(process_free, account_bound - self._account_bytes.get(account, 0))

    def _longest_stalled(self, account, now):
        account_full = self._account_is_full(account)
        stalled = [
            (entry.consumed_at, stream)
            for stream, entry in self._streams.items()
            if entry.held_bytes
            and now - entry.consumed_at >= self._settings.stall_s
            and (entry.account == account or not account_full)
        ]
        return min(stalled)[1] if stalled else None

    def _account_is_full(self, account):
        account_bound = int(self._settings.process_bytes * self._settings.account_share)
        used = self._account_bytes.get(account, 0)
        settings = self._settings
        needed = settings.stream_min_bytes + settings.stream_overhead_bytes
        return account_bound - used < needed

    def _add_reserved(self, account, size):
        self._reserved_bytes += size
        total = self._account_bytes.get(account, 0) + size
        if total:
            self._account_bytes[account] = total
        else:
            self._account_bytes.pop(account, None)
