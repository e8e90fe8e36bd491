"""A store wrapper that records outages as events."""

from contextlib import contextmanager

from pistachiowell.core.errors import StoreAnswerLost, StoreUnavailable
from pistachiowell.core.events import EventKind


class ObservedStore:
    """Forwards calls to a store and records the start and end of each outage.

    A call that ends in ``StoreUnavailable`` or ``StoreAnswerLost`` starts an outage,
    the next call without an error ends it. Other errors, such as a conflict, change
    nothing. Only the transitions are recorded, so that a long outage does not fill the
    event ring.

    Args:
        store: The store that handles the calls.
        events: The process's ``EventRing``.
    """

    __slots__ = ("_available", "_events", "_store")

    def __init__(self, store, events):
        self._store = store
        self._events = events
        self._available = True

    @property
    def era(self):
        """The ``StoreEra`` of the store."""
        return self._store.era

    async def get(self, collection, name):
        """See ``Store.get``."""
        with self._observe_call():
            return await self._store.get(collection, name)

    async def put(self, collection, name, value, expected_version):
        """See ``Store.put``."""
        with self._observe_call():
            return await self._store.put(collection, name, value, expected_version)

    async def put_status(self, collection, name, status, expected_version):
        """See ``pistachiowell.platform.objects.ObjectStore.put_status``."""
        with self._observe_call():
            return await self._store.put_status(
                collection, name, status, expected_version
            )

    async def delete(self, collection, name, expected_version):
        """See ``Store.delete``."""
        with self._observe_call():
            await self._store.delete(collection, name, expected_version)

    async def list(self, collection):
        """See ``Store.list``."""
        with self._observe_call():
            return await self._store.list(collection)

    def watch(self, collection, after_version, wait_s=None):
        """See ``Store.watch``; the end of a watch is not recorded as an outage."""
        return self._store.watch(collection, after_version, wait_s)

    async def vms(self):
        """See ``Store.vms``."""
        with self._observe_call():
            return await self._store.vms()

    @contextmanager
    def _observe_call(self):
        try:
            yield
        except (StoreUnavailable, StoreAnswerLost) as error:
            self._record_availability(False, str(error.code))
            raise
        self._record_availability(True, "")

    def _record_availability(self, available, text):
        if available == self._available:
            return
        self._available = available
        kind = EventKind.store_recovered if available else EventKind.store_unavailable
        self._events.add(kind, text=text)
