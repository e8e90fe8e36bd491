"""In-memory fake of the store with injected faults, for tests."""

from collections import defaultdict

import anyio
import anyio.lowlevel

from pistachiowell.core.errors import (
    BodyTooLarge,
    StoreAnswerLost,
    StoreConflict,
    StoreUnavailable,
)
from pistachiowell.store.era import StoreEra
from pistachiowell.store.http import decode_vm
from pistachiowell.store.store import ABSENT, MAX_VALUE_BYTES, Change, Entry

HISTORY_CHANGES = 10_000


class ObjectTable:
    """Versioned objects with conditional writes and a history of changes.

    It is synchronous; Hypothesis state machines use it as their model of the store.

    Args:
        history_changes: Changes that each collection keeps for watches.

    Examples:
        >>> table = ObjectTable()
        >>> version = table.put("rows", "a", b"1", ABSENT)
        >>> table.get("rows", "a").version == version
        True
    """

    __slots__ = (
        "_collections",
        "_discarded_version",
        "_history",
        "_max_changes",
        "_version",
    )

    def __init__(self, history_changes=HISTORY_CHANGES):
        self._collections = defaultdict(dict)
        self._history = defaultdict(list)
        self._discarded_version = defaultdict(int)
        self._max_changes = history_changes
        self._version = 0

    @property
    def version(self):
        """Version of the latest write."""
        return self._version

    def get(self, collection, name):
        """Returns an ``Entry``, or None."""
        return self._collections[collection].get(name)

    def list(self, collection):
        """Returns ``(entries, version)``."""
        return list(self._collections[collection].values()), self._version

    def put(self, collection, name, value, expected_version):
        """Writes conditionally and returns the new version.

        Raises:
            StoreConflict: The object has another version.
            BodyTooLarge: The value has more than ``MAX_VALUE_BYTES``.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise BodyTooLarge(f"{collection}/{name} has {len(value)} bytes.")
        self._check(collection, name, expected_version)
        version = self._next_version()
        self._collections[collection][name] = Entry(collection, name, version, value)
        self._record_change(collection, Change(name, version, value))
        return version

    def delete(self, collection, name, expected_version):
        """Deletes conditionally.

        Raises:
            StoreConflict: The object has another version or is absent.
        """
        if expected_version == ABSENT:
            raise StoreConflict(
                f"{collection}/{name} cannot be deleted without a version."
            )
        self._check(collection, name, expected_version)
        del self._collections[collection][name]
        self._record_change(collection, Change(name, self._next_version(), None))

    def changes(self, collection, after_version):
        """Returns the changes after a version, oldest first.

        Raises:
            StoreConflict: The history after this version is no longer kept.
        """
        if after_version < self._discarded_version[collection]:
            raise StoreConflict(
                "The store no longer keeps this version; list the collection again."
            )
        history = self._history[collection]
        return [change for change in history if change.version > after_version]

    def _check(self, collection, name, expected_version):
        entry = self.get(collection, name)
        version = ABSENT if entry is None else entry.version
        if version != expected_version:
            raise StoreConflict(
                f"{collection}/{name} has another version; read it again."
            )

    def _next_version(self):
        self._version += 1
        return self._version

    def _record_change(self, collection, change):
        history = self._history[collection]
        history.append(change)
        if len(history) > self._max_changes:
            self._discarded_version[collection] = history.pop(0).version


class Faults:
    """Faults that tests inject into a ``MemoryStore``.

    Attributes:
        down: Whether every call fails with ``StoreUnavailable``.
        lose_answers: Number of next writes that take effect but raise
            ``StoreAnswerLost``.
        drop_writes: Number of next writes that take no effect and raise
            ``StoreAnswerLost``.
        conflicts: Number of next writes that raise ``StoreConflict``.
    """

    __slots__ = ("conflicts", "down", "drop_writes", "lose_answers")

    def __init__(self):
        self.down = False
        self.lose_answers = 0
        self.drop_writes = 0
        self.conflicts = 0


class MemoryStore:
    """Implementation of ``Store`` on an ``ObjectTable``.

    Args:
        table: ``ObjectTable`` that several stores share; None to create one.

    Attributes:
        faults: The ``Faults`` to inject.
        table: The ``ObjectTable``.
        calls: Number of calls by method name.
        era: The ``StoreEra``; this store names none.
    """

    __slots__ = ("_changed", "calls", "era", "faults", "table")

    def __init__(self, table=None):
        self.table = ObjectTable() if table is None else table
        self.faults = Faults()
        self.calls = defaultdict(int)
        self.era = StoreEra()
        self._changed = anyio.Event()

    async def aclose(self):
        """Does nothing, since there are no connections to close."""

    async def get(self, collection, name):
        """Returns an ``Entry``, or None."""
        await self._start_call("get")
        return self.table.get(collection, name)

    async def list(self, collection):
        """Returns ``(entries, version)``."""
        await self._start_call("list")
        return self.table.list(collection)

    async def put(self, collection, name, value, expected_version):
        """Writes conditionally; see ``Store.put``."""
        await self._start_call("put")
        return self._write(self.table.put, collection, name, value, expected_version)

    async def delete(self, collection, name, expected_version):
        """Deletes conditionally; see ``Store.delete``."""
        await self._start_call("delete")
        self._write(self.table.delete, collection, name, expected_version)

    async def watch(self, collection, after_version, wait_s=None):
        """Yields each ``Change`` after a version; see ``Store.watch``."""
        del wait_s
        await self._start_call("watch")
        version = after_version
        while True:
            if self.faults.down:
                raise StoreUnavailable("The store is down.")
            changed = self._changed
            for change in self.table.changes(collection, version):
                version = change.version
                yield change
            await changed.wait()

    async def vms(self):
        """Returns the platform's list of ``Vm``."""
        entries, _ = await self.list("vms")
        return [decode_vm(entry.name, entry.value) for entry in entries]

    def set_down(self, down):
        """Starts an outage, which ends all watches, or ends it.

        Args:
            down: Whether calls fail from now on.
        """
        self.faults.down = down
        self._notify()

    async def _start_call(self, method):
        self.calls[method] += 1
        await anyio.lowlevel.checkpoint()
        if self.faults.down:
            raise StoreUnavailable("The store is down.")

    def _write(self, function, *args):
        if self._use_fault("drop_writes"):
            raise StoreAnswerLost("The write was dropped.")
        if self._use_fault("conflicts"):
            raise StoreConflict("Another writer came first.")
        result = function(*args)
        self._notify()
        if self._use_fault("lose_answers"):
            raise StoreAnswerLost("The answer was lost.")
        return result

    def _use_fault(self, name):
        remaining = getattr(self.faults, name)
        if remaining:
            setattr(self.faults, name, remaining - 1)
        return remaining > 0

    def _notify(self):
        self._changed.set()
        self._changed = anyio.Event()
