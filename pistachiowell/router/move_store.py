"""State of one move in the platform's store, protected by its lease."""

import dataclasses

import msgspec

from pistachiowell.core.errors import (
    STORE_ERRORS,
    StoreAnswerLost,
    StoreConflict,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.moves.lease import Lease
from pistachiowell.schema.generated.objects_moves import MoveState
from pistachiowell.store.store import ABSENT

MOVES = "moves"

_log = part_logger("moves")


class MoveStore:
    """Reads and conditionally writes the state of one move.

    Each write is conditional on the version that was read last, and each new holder
    increments the fencing number. So a holder that was frozen and has been replaced
    cannot overwrite the state of its successor, and its orders are refused.

    Args:
        runtime: The process's ``Runtime``.
        row: The ``MoveRow``.
    """

    __slots__ = ("_lease", "_row", "_runtime", "_state")

    def __init__(self, runtime, row):
        self._runtime = runtime
        self._row = row
        self._lease = Lease()
        self._state = None

    @property
    def state(self):
        """The ``MoveState`` read or written last; None if there is none."""
        return self._state

    @property
    def is_held(self):
        """Whether this router holds the lease."""
        return self._lease.is_held(self._runtime.now())

    @property
    def needs_renewal(self):
        """Whether it is time to renew the lease."""
        return self._lease.needs_renewal(self._runtime.now())

    async def read(self):
        """Reads the state.

        Raises:
            StoreUnavailable: The store does not answer.
        """
        entry = await self._runtime.store.get(MOVES, self._row.name)
        version = ABSENT if entry is None else entry.version
        self._lease.observe(version, self._runtime.now())
        self._state = None
        if entry is not None:
            self._state = msgspec.json.decode(entry.value, type=MoveState)
        if not self._matches_row(self._state):
            self._state = None

    async def try_acquire(self):
        """Acquires the lease if it is new or its holder has stopped renewing it.

        Returns:
            Whether this router holds the lease now.
        """
        state = self._state
        if state is not None and not self._lease.may_take_over(self._runtime.now()):
            return False
        fence = state.fence if state is not None else 0
        base = state or self._first_state()
        return await self._put(
            dataclasses.replace(base, holder=self._runtime.incarnation, fence=fence + 1)
        )

    async def write(self, **fields):
        """Writes the state with changed fields, and renews the lease.

        Returns:
            Whether the write took effect and this router holds the lease.
        """
        if not self.is_held:
            return False
        heartbeat = self._state.heartbeat + 1
        state = dataclasses.replace(self._state, heartbeat=heartbeat, **fields)
        return await self._put(state)

    async def _put(self, state):
        sent_at = self._runtime.now()
        store = self._runtime.store
        value = msgspec.json.encode(state)
        version = self._lease.version
        try:
            new_version = await store.put(MOVES, self._row.name, value, version)
        except StoreConflict:
            self._lease.mark_lost()
            return False
        except StoreAnswerLost:
            return await self._resolve_lost_answer(state, sent_at)
        except STORE_ERRORS as error:
            _log.debug("State of move {} was not written: {}", self._row.name, error)
            return False
        self._lease.record_renewal(new_version, sent_at)
        self._state = state
        return True

    async def _resolve_lost_answer(self, state, sent_at):
        """Returns whether a write whose answer was lost has taken effect."""
        try:
            entry = await self._runtime.store.get(MOVES, self._row.name)
        except STORE_ERRORS:
            return False
        if entry is None or msgspec.json.decode(entry.value, type=MoveState) != state:
            return False
        self._lease.record_renewal(entry.version, sent_at)
        self._state = state
        return True

    def _first_state(self):
        row = self._row
        return MoveState(row.name, row.route, row.old, row.new, row.deadline)

    def _matches_row(self, state):
        if state is None:
            return False
        expected = self._first_state()
        fields = ("move", "route", "old", "new", "deadline")
        return all(getattr(state, f) == getattr(expected, f) for f in fields)
