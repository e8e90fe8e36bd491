"""Fake of the store in memory, with faults, for tests."""

from collections import defaultdict

import anyio
import anyio.lowlevel

from pistachiowell.core.errors import (
    BodyTooLarge,
    StoreAnswerLost,
    StoreConflict,
    StoreUnavailable,
)
from pistachiowell.store.http import decode_vm
from pistachiowell.store.store import ABSENT, MAX_VALUE_BYTES, Change, Entry

HISTORY_CHANGES = 10_000


class ObjectTable:
    """Versioned objects with conditional updates and a history; synchronous.

    State machines of the decision packages use it as their model of the store.

    Args:
        history_changes: Changes kept for watches, per collection.

    Examples:
        >>> table = ObjectTable()
        >>> version = table.put("rows", "a", b"1", ABSENT)
        >>> table.get("rows", "a").version == version
        True
    """

    __slots__ = ("_collections", "_forgotten", "_history", "_limit", "_version")

    def __init__(self, history_changes=HISTORY_CHANGES):
        self._collections = defaultdict(dict)
        self._history = defaultdict(list)
        self._forgotten = defaultdict(int)
        self._limit = history_changes
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
            BodyTooLarge: The value has more than a megabyte.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise BodyTooLarge(f"{collection}/{name} has {len(value)} bytes.")
        self._check(collection, name, expected_version)
        version = self._next_version()
        self._collections[collection][name] = Entry(collection, name, version, value)
        self._remember(collection, Change(name, version, value))
        return version

    def delete(self, collection, name, expected_version):
        """Deletes conditionally.

        Raises:
            StoreConflict: The object has another version or is absent.
        """
        if expected_version == ABSENT:
            raise StoreConflict(f"{collection}/{name} is not to be deleted.")
        self._check(collection, name, expected_version)
        del self._collections[collection][name]
        self._remember(collection, Change(name, self._next_version(), None))

    def changes(self, collection, after_version):
        """Returns the changes after a version, oldest first.

        Raises:
            StoreConflict: The version is too old.
        """
        if after_version < self._forgotten[collection]:
            raise StoreConflict("The version is too old; list the collection again.")
        history = self._history[collection]
        return [change for change in history if change.version > after_version]

    def _check(self, collection, name, expected_version):
        entry = self.get(collection, name)
        version = ABSENT if entry is None else entry.version
        if version != expected_version:
            raise StoreConflict(f"{collection}/{name} has another version.")

    def _next_version(self):
        self._version += 1
        return self._version

    def _remember(self, collection, change):
        history = self._history[collection]
        history.append(change)
        if len(history) > self._limit:
            self._forgotten[collection] = history.pop(0).version


class Faults:
    """Faults of a ``MemoryStore``, set by tests.

    Attributes:
        down: Whether every call fails with ``StoreUnavailable``.
        lose_answers: Next writes that take effect but raise ``StoreAnswerLost``.
        drop_writes: Next writes that take no effect and raise ``StoreAnswerLost``.
        conflicts: Next writes that raise ``StoreConflict``.
    """

    __slots__ = ("conflicts", "down", "drop_writes", "lose_answers")

    def __init__(self):
        self.down = False
        self.lose_answers = 0
        self.drop_writes = 0
        self.conflicts = 0


class MemoryStore:
    """The store port on an ``ObjectTable``.

    Args:
        table: Table to share between several stores; None for one of its own.

    Attributes:
        faults: The ``Faults`` in force.
        table: The ``ObjectTable``.
        calls: Number of calls by name of the method.
    """

    __slots__ = ("_wake", "calls", "faults", "table")

    def __init__(self, table=None):
        self.table = ObjectTable() if table is None else table
        self.faults = Faults()
        self.calls = defaultdict(int)
        self._wake = anyio.Event()

    async def aclose(self):
        """Does nothing; the HTTP adapter closes its connections here."""

    async def get(self, collection, name):
        """Returns an ``Entry``, or None."""
        await self._begin("get")
        return self.table.get(collection, name)

    async def list(self, collection):
        """Returns ``(entries, version)``."""
        await self._begin("list")
        return self.table.list(collection)

    async def put(self, collection, name, value, expected_version):
        """Writes conditionally; see ``Store.put``."""
        await self._begin("put")
        return self._write(self.table.put, collection, name, value, expected_version)

    async def delete(self, collection, name, expected_version):
        """Deletes conditionally; see ``Store.delete``."""
        await self._begin("delete")
        self._write(self.table.delete, collection, name, expected_version)

    async def watch(self, collection, after_version):
        """Yields each ``Change`` after a version; see ``Store.watch``."""
        await self._begin("watch")
        version = after_version
        while True:
            if self.faults.down:
                raise StoreUnavailable("The store is down.")
            wake = self._wake
            for change in self.table.changes(collection, version):
                version = change.version
                yield change
            await wake.wait()

    async def vms(self):
        """Returns the platform's list of ``Vm``."""
        entries, _ = await self.list("vms")
        return [decode_vm(entry.name, entry.value) for entry in entries]

    def set_down(self, down):
        """Takes the store down, which ends all watches, or up again."""
        self.faults.down = down
        self._notify()

    async def _begin(self, method):
        self.calls[method] += 1
        await anyio.lowlevel.checkpoint()
        if self.faults.down:
            raise StoreUnavailable("The store is down.")

    def _write(self, function, *args):
        if self._take_fault("drop_writes"):
            raise StoreAnswerLost("The write was dropped.")
        if self._take_fault("conflicts"):
            raise StoreConflict("Another writer came first.")
        result = function(*args)
        self._notify()
        if self._take_fault("lose_answers"):
            raise StoreAnswerLost("The answer was lost.")
        return result

    def _take_fault(self, name):
        left = getattr(self.faults, name)
        if left:
            setattr(self.faults, name, left - 1)
        return left > 0

    def _notify(self):
        self._wake.set()
        self._wake = anyio.Event()
