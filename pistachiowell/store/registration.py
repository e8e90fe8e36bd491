"""Registrations of the running processes in the platform's store."""

import anyio
import msgspec

from pistachiowell.core.errors import STORE_ERRORS
from pistachiowell.core.logs import part_logger
from pistachiowell.store.store import ABSENT

RETRY_DELAY_S = 0.3

_log = part_logger("registration")


async def register_process(store, collection, record):
    """Writes the registration of this process; retries until it took effect.

    Args:
        store: The platform's store.
        collection: ``routers`` or ``agents``.
        record: ``RouterRecord`` or ``AgentRecord``.
    """
    value = msgspec.json.encode(record)
    while True:
        try:
            entry = await store.get(collection, record.id)
            version = entry.version if entry else ABSENT
            if (
                entry
                and msgspec.json.decode(entry.value)["incarnation"]
                == record.incarnation
            ):
                return
            await store.put(collection, record.id, value, version)
            return
        except STORE_ERRORS as error:
            _log.warning("Registration failed: {}", error)
            await anyio.sleep(RETRY_DELAY_S)


async def unregister_process(store, collection, record):
    """Removes the registration of this process, if it still is this one's."""
    try:
        entry = await store.get(collection, record.id)
        if (
            entry
            and msgspec.json.decode(entry.value)["incarnation"] == record.incarnation
        ):
            await store.delete(collection, record.id, entry.version)
    except STORE_ERRORS as error:
        _log.warning("Registration could not be removed: {}", error)
