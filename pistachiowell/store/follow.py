"""Follows a collection of the store by a list and a watch."""

import anyio

from pistachiowell.core.errors import STORE_ERRORS, StoreConflict
from pistachiowell.core.logs import part_logger

RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 5.0
MIN_DELAY_S = 0.02

_log = part_logger("store")


class FollowObserver:
    """Is told how current the content of a followed collection is.

    The methods do nothing here; a subclass does what it needs.
    """

    __slots__ = ()

    def on_confirmed(self):
        """The store has told that the content is current."""

    def on_outage(self, error):
        """The store does not answer."""

    def on_recovery(self):
        """The store answers again; the next content is from a new list."""


async def follow_collection(
    store, collection, *, observer=None, max_delay_s=MAX_RETRY_DELAY_S
):
    """Yields the content of a collection each time it changes.

    Outages are waited out: the last content stays in use, and the collection is
    listed anew once the store answers, with a growing delay between tries.

    Args:
        store: The platform's store.
        collection: Name of the collection.
        observer: A ``FollowObserver``, or None.
        max_delay_s: Longest delay between tries in seconds.

    Yields:
        Mappings from object names to ``Entry`` or ``Change``; the same mapping is
        updated in place between two of them.
    """
    observer = observer or FollowObserver()
    delay_s = RETRY_DELAY_S
    is_lost = False
    while True:
        try:
            entries, version = await store.list(collection)
            if is_lost:
                is_lost = False
                observer.on_recovery()
            observer.on_confirmed()
            objects = {entry.name: entry for entry in entries}
            yield objects
            async for change in store.watch(collection, version):
                delay_s = RETRY_DELAY_S
                observer.on_confirmed()
                if change is None:
                    continue
                if change.value is None:
                    objects.pop(change.name, None)
                else:
                    objects[change.name] = change
                yield objects
        except StoreConflict:
            _log.debug("The history of {} is gone; listing it again.", collection)
            delay_s = MIN_DELAY_S
        except STORE_ERRORS as error:
            if not is_lost:
                is_lost = True
                observer.on_outage(error)
            _log.debug("Following {} was interrupted: {}", collection, error)
        await anyio.sleep(delay_s)
        delay_s = min(max(delay_s, RETRY_DELAY_S / 2) * 2, max_delay_s)


async def follow_values(store, collection):
    """Yields the values of a collection by name; see ``follow_collection``."""
    async for objects in follow_collection(store, collection):
        yield {name: item.value for name, item in objects.items()}
