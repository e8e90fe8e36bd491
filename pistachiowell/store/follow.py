"""Follows a collection of the store by a list and a watch."""

import anyio

from pistachiowell.core.errors import STORE_ERRORS
from pistachiowell.core.logs import part_logger

RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 5.0

_log = part_logger("store")


async def follow_collection(store, collection):
    """Yields the content of a collection each time it changes.

    Outages are waited out: the last content stays in use, and the collection is
    listed anew once the store answers, with a growing delay between tries.

    Args:
        store: The platform's store.
        collection: Name of the collection.

    Yields:
        Mappings from object names to values as bytes; the same mapping is updated
        in place between two of them.
    """
    delay_s = RETRY_DELAY_S
    while True:
        try:
            entries, version = await store.list(collection)
            values = {entry.name: entry.value for entry in entries}
            yield values
            async for change in store.watch(collection, version):
                delay_s = RETRY_DELAY_S
                if change.value is None:
                    values.pop(change.name, None)
                else:
                    values[change.name] = change.value
                yield values
        except STORE_ERRORS as error:
            _log.debug("Following {} was interrupted: {}", collection, error)
        await anyio.sleep(delay_s)
        delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
