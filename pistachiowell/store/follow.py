"""Follows a collection of the store by listing it and then watching for changes.

The watch starts at the version of the list, so no change between the two is missed. If
the watch fails, changes may be missing, so the collection is listed again.
"""

import anyio

from pistachiowell.core.errors import STORE_ERRORS, StoreConflict
from pistachiowell.core.logs import part_logger

RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 5.0
MIN_DELAY_S = 0.02

_log = part_logger("store")


class FollowObserver:
    """Receives reports on whether the content of a followed collection is current.

    The methods do nothing; subclasses override the ones they need.
    """

    __slots__ = ()

    def on_list(self):
        """Handles a list, before its confirmation; changes before it may be missing."""

    def on_confirmed(self):
        """Handles a confirmation by the store that the content is current."""

    def on_outage(self, error):
        """Handles the start of an outage.

        Args:
            error: The first error of the store.
        """

    def on_recovery(self):
        """Handles the end of an outage; the next content is from a new list."""

    def on_content(self, version):
        """Handles the version of the content that is yielded next.

        Args:
            version: Version of the list, or of the change after it.
        """

    def on_return(self):
        """Handles a return of the store from an older copy of its content.

        The next content is from a new list. What the copy lacks may be written again.
        """


async def follow_collection(
    store, collection, *, observer=None, max_delay_s=MAX_RETRY_DELAY_S, wait_s=None
):
    """Yields the content of a collection each time it changes.

    During an outage the caller keeps the last content. The list is retried with an
    exponential delay, to limit the load on a store that fails. A watch whose
    history the store no longer has, also as it has returned from an older copy, is
    replaced by a new list after ``MIN_DELAY_S``.

    Args:
        store: The platform's store.
        collection: Name of the collection.
        observer: A ``FollowObserver``, or None.
        max_delay_s: Longest delay between attempts in seconds.
        wait_s: See ``Store.watch``.

    Yields:
        A mapping from object names to ``Entry`` or ``Change``. Until the next list, the
        same mapping is updated in place and yielded again.
    """
    observer = observer or FollowObserver()
    delay_s = RETRY_DELAY_S
    is_unavailable = False
    era = None
    while True:
        try:
            entries, version = await store.list(collection)
            if era not in (None, store.era.number):
                observer.on_return()
            era = store.era.number
            if is_unavailable:
                is_unavailable = False
                observer.on_recovery()
            observer.on_list()
            observer.on_confirmed()
            objects = {entry.name: entry for entry in entries}
            observer.on_content(version)
            yield objects
            async for change in store.watch(collection, version, wait_s):
                delay_s = RETRY_DELAY_S
                observer.on_confirmed()
                if change is None:
                    continue
                if change.value is None:
                    objects.pop(change.name, None)
                else:
                    objects[change.name] = change
                observer.on_content(change.version)
                yield objects
        except StoreConflict:
            _log.debug(
                "History of {} is no longer kept; listing the collection again.",
                collection,
            )
            delay_s = MIN_DELAY_S
        except STORE_ERRORS as error:
            if not is_unavailable:
                is_unavailable = True
                observer.on_outage(error)
            _log.debug(
                "Store failed while following {}; listing it again: {}",
                collection,
                error,
            )
        await anyio.sleep(delay_s)
        delay_s = min(max(delay_s, RETRY_DELAY_S / 2) * 2, max_delay_s)
