"""Credit of answer streams: bounds on the bytes held for slow readers."""

from dataclasses import dataclass

from pistachiowell.core.registry import Registry

CREDIT_POOLS = Registry("credit pool")


@dataclass(frozen=True, slots=True)
class CreditSettings:
    """Settings of a credit pool.

    Attributes:
        process_bytes: Most bytes held or promised in this process.
        account_share: Largest part of them for one client account.
        stream_min_bytes: First credit of a stream.
        stream_max_bytes: Largest credit of a stream.
        stream_overhead_bytes: Bytes that each stream may hold below the pool, in
            the write buffer of its connection.
        stall_s: Seconds without a byte taken after which a reader may be given up
            to make room for another.
    """

    process_bytes: int = 16 * 1024 * 1024
    account_share: float = 0.5
    stream_min_bytes: int = 4 * 1024
    stream_max_bytes: int = 256 * 1024
    stream_overhead_bytes: int = 8 * 1024
    stall_s: float = 10.0


@dataclass(frozen=True, slots=True)
class AbortStream:
    """The stream must be cancelled to free memory."""

    stream: str


@dataclass(slots=True)
class _Stream:
    account: str
    reserved: int
    held: int
    taken_at: float


@CREDIT_POOLS.add("unbounded")
class UnboundedPool:
    """Grants a large credit to every stream; the naive baseline.

    Args:
        settings: ``CreditSettings``.
    """

    __slots__ = ("_held", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._held = {}

    @property
    def held_bytes(self):
        """Bytes received and not yet taken by their callers."""
        return sum(self._held.values())

    def open(self, stream, account, now):
        """Returns the first credit of a stream and the streams to give up."""
        self._held[stream] = 0
        return self._settings.stream_max_bytes, []

    def record_received(self, stream, size):
        """Counts bytes that came from the agent."""
        self._held[stream] += size

    def record_consumed(self, stream, size, now):
        """Counts bytes that the caller took and returns the new credit."""
        self._held[stream] -= size
        return size

    def close(self, stream):
        """Frees what the stream held."""
        self._held.pop(stream, None)


@CREDIT_POOLS.add("bounded")
class CreditPool:
    """Shares a fixed number of bytes among the streams of a process.

    A stream's reservation covers both the bytes held for it and the credit that its
    agent may still use, so the sum of reservations bounds the memory. Readers that
    keep up get a larger one while half of the pool and of their account's part of it
    is free, so that new streams find room.

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

    __slots__ = ("_accounts", "_reserved", "_settings", "_streams")

    def __init__(self, settings):
        self._settings = settings
        self._streams = {}
        self._accounts = {}
        self._reserved = 0

    @property
    def held_bytes(self):
        """Bytes received and not yet taken by their callers."""
        return sum(stream.held for stream in self._streams.values())

    @property
    def reserved_bytes(self):
        """Bytes held or promised."""
        return self._reserved

    def open(self, stream, account, now):
        """Opens a stream.

        Args:
            stream: Unique id.
            account: Name of the client account.
            now: Present time in seconds.

        Returns:
            The first credit in bytes, 0 if there is no room, and a list of
            ``AbortStream`` for streams that must be cancelled first.
        """
        size = self._settings.stream_min_bytes
        victims = []
        while self._room(account) < size + self._settings.stream_overhead_bytes:
            victim = self._stalled(account, now)
            if victim is None:
                return 0, victims
            self.close(victim)
            victims.append(AbortStream(victim))
        self._streams[stream] = _Stream(account, size, 0, now)
        self._reserve(account, size + self._settings.stream_overhead_bytes)
        return size, victims

    def record_received(self, stream, size):
        """Counts bytes that came from the agent, within the stream's credit."""
        entry = self._streams.get(stream)
        if entry is not None:
            entry.held += size

    def record_consumed(self, stream, size, now):
        """Counts bytes that the caller took.

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
        entry.held -= size
        entry.taken_at = now
        entry.reserved -= size
        self._reserve(entry.account, -size)
        credit = max(0, self._target(entry) - entry.reserved)
        credit = min(credit, self._room(entry.account))
        entry.reserved += credit
        self._reserve(entry.account, credit)
        return credit

    def close(self, stream):
        """Frees what the stream held."""
        entry = self._streams.pop(stream, None)
        if entry is not None:
            size = entry.reserved + self._settings.stream_overhead_bytes
            self._reserve(entry.account, -size)

    def _target(self, entry):
        settings = self._settings
        account_bytes = self._accounts.get(entry.account, 0)
        account_bound = settings.process_bytes * settings.account_share
        crowded = (
            self._reserved * 2 > settings.process_bytes
            or account_bytes * 2 > account_bound
        )
        if crowded or entry.held:
            return settings.stream_min_bytes
        return min(
            settings.stream_max_bytes,
            max(settings.stream_min_bytes, 2 * entry.reserved),
        )

    def _room(self, account):
        settings = self._settings
        process_room = settings.process_bytes - self._reserved
        account_bound = int(settings.process_bytes * settings.account_share)
        return min(process_room, account_bound - self._accounts.get(account, 0))

    def _stalled(self, account, now):
        account_full = self._account_is_full(account)
        stalled = [
            (entry.taken_at, stream)
            for stream, entry in self._streams.items()
            if entry.held
            and now - entry.taken_at >= self._settings.stall_s
            and (entry.account == account or not account_full)
        ]
        return min(stalled)[1] if stalled else None

    def _account_is_full(self, account):
        bound = int(self._settings.process_bytes * self._settings.account_share)
        used = self._accounts.get(account, 0)
        settings = self._settings
        needed = settings.stream_min_bytes + settings.stream_overhead_bytes
        return bound - used < needed

    def _reserve(self, account, size):
        self._reserved += size
        total = self._accounts.get(account, 0) + size
        if total:
            self._accounts[account] = total
        else:
            self._accounts.pop(account, None)
