"""A store that tells when it stops and starts to answer."""

from contextlib import contextmanager

from pistachiowell.core.errors import StoreAnswerLost, StoreUnavailable
from pistachiowell.core.events import EventKind


class ObservedStore:
    """Passes calls on and notes outages in the time line.

    Args:
        store: The store that answers.
        events: The process's ``EventRing``.
    """

    __slots__ = ("_available", "_events", "_store")

    def __init__(self, store, events):
        self._store = store
        self._events = events
        self._available = True

    async def get(self, collection, name):
        """See ``Store.get``."""
        with self._observed():
            return await self._store.get(collection, name)

    async def put(self, collection, name, value, expected_version):
        """See ``Store.put``."""
        with self._observed():
            return await self._store.put(collection, name, value, expected_version)

    async def put_status(self, collection, name, status, expected_version):
        """See ``pistachiowell.platform.objects.ObjectStore.put_status``."""
        with self._observed():
            return await self._store.put_status(
                collection, name, status, expected_version
            )

    async def delete(self, collection, name, expected_version):
        """See ``Store.delete``."""
        with self._observed():
            await self._store.delete(collection, name, expected_version)

    async def list(self, collection):
        """See ``Store.list``."""
        with self._observed():
            return await self._store.list(collection)

    def watch(self, collection, after_version):
        """See ``Store.watch``; a watch that ends is no sign of an outage."""
        return self._store.watch(collection, after_version)

    async def vms(self):
        """See ``Store.vms``."""
        with self._observed():
            return await self._store.vms()

    @contextmanager
    def _observed(self):
        try:
            yield
        except (StoreUnavailable, StoreAnswerLost) as error:
            self._note(False, str(error.code))
            raise
        self._note(True, "")

    def _note(self, available, text):
        if available == self._available:
            return
        self._available = available
        kind = EventKind.store_recovered if available else EventKind.store_unavailable
        self._events.add(kind, text=text)
