"""Registrations of the running processes in the platform's store.

A registration names the incarnation, which identifies one run of a process. A process
that starts again under the same id replaces the registration of its earlier run, and
the earlier run, if it is still shutting down, does not remove that of its successor.
"""

import anyio
import msgspec

from pistachiowell.core.decoding import decode_entries
from pistachiowell.core.errors import STORE_ERRORS
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.objects_membership import AgentRecord, RouterRecord
from pistachiowell.store.store import ABSENT

RETRY_DELAY_S = 0.3

_log = part_logger("registration")


def agent_record(runtime, server, *, is_deputy=False):
    """Returns the ``AgentRecord`` of this process.

    Args:
        runtime: The process's ``Runtime``.
        server: Id of the backend server that runs beside this process.
        is_deputy: Whether a gateway does an agent's work.
    """
    settings = runtime.settings
    return AgentRecord(
        id=settings.id,
        incarnation=runtime.incarnation,
        data_centre=settings.data_centre,
        host=settings.host,
        port=settings.advertised_port or settings.port,
        server=server,
        is_deputy=is_deputy,
    )


def router_record(runtime, http_host, http_port, fleet_started_ms=0):
    """Returns the ``RouterRecord`` of this process.

    Args:
        runtime: The process's ``Runtime``.
        http_host: IP address on which callers connect.
        http_port: TCP port on which callers connect.
        fleet_started_ms: See ``find_fleet_start_ms``; 0 if it is not known.
    """
    settings = runtime.settings
    return RouterRecord(
        id=settings.id,
        incarnation=runtime.incarnation,
        data_centre=settings.data_centre,
        peer_host=settings.peer_host,
        peer_port=settings.advertised_port or settings.peer_port,
        http_host=http_host,
        http_port=http_port,
        fleet_started_ms=fleet_started_ms,
    )


async def find_fleet_start_ms(store, collection, now_ms):
    """Returns the time since which routers are registered without a gap.

    Each router passes on the time that the others name, so that it outlasts all runs.

    Args:
        store: The platform's store.
        collection: That of the routers.
        now_ms: Present Unix time in milliseconds.

    Returns:
        A Unix time in milliseconds: now if no router is registered, 0 if one does not
        name it.
    """
    while True:
        try:
            entries, _ = await store.list(collection)
        except STORE_ERRORS as error:
            _log.warning("Listing the routers failed; retrying: {}", error)
            await anyio.sleep(RETRY_DELAY_S)
            continue
        records = decode_entries(entries, RouterRecord)
        return min([now_ms, *(record.fleet_started_ms for _, record in records)])


async def register_process(store, collection, record):
    """Writes the registration of this process and retries until it is stored.

    The write is conditional on the version read before. After a write whose answer was
    lost, the next attempt reads the registration first and ends if it already names
    this incarnation, so the registration is not written twice.

    Args:
        store: The platform's store.
        collection: ``routers`` or ``agents``.
        record: ``RouterRecord`` or ``AgentRecord``.

    Returns:
        Whether an earlier run of this process was registered. One that stops in order
        removes its registration, so that run was killed.
    """
    follows_run = None
    value = msgspec.json.encode(record)
    while True:
        try:
            entry = await store.get(collection, record.id)
            version = entry.version if entry else ABSENT
            is_own = entry is not None and _is_of(record, entry)
            if follows_run is None:
                follows_run = entry is not None and not is_own
            if not is_own:
                await store.put(collection, record.id, value, version)
            return follows_run
        except STORE_ERRORS as error:
            _log.warning("Registration failed; retrying: {}", error)
            await anyio.sleep(RETRY_DELAY_S)


async def keep_registered(store, collection, record, on_registered=None):
    """Registers this process, and again after each return of the store.

    The copy that the store returns from may lack the registration, and nobody else
    would write it again.

    Args:
        store: The platform's store.
        collection: ``routers`` or ``agents``.
        record: ``RouterRecord`` or ``AgentRecord``.
        on_registered: Function that is told the result of the first
            ``register_process``; None to tell nobody.
    """
    returned = anyio.Event()

    def record_return(number):
        del number
        returned.set()

    store.era.add_listener(record_return)
    follows_run = await register_process(store, collection, record)
    if on_registered is not None:
        on_registered(follows_run)
    while True:
        await returned.wait()
        returned = anyio.Event()
        await register_process(store, collection, record)


def _is_of(record, entry):
    """Returns whether a registration is of the run of a process that a record names."""
    return any(
        stored.incarnation == record.incarnation
        for _, stored in decode_entries([entry], type(record))
    )


async def unregister_process(store, collection, record):
    """Removes the registration of this process, unless another run replaced it.

    It is tried once; after a failure the registration stays in the store.
    """
    try:
        entry = await store.get(collection, record.id)
        if entry and _is_of(record, entry):
            await store.delete(collection, record.id, entry.version)
    except STORE_ERRORS as error:
        _log.warning(
            "Registration could not be removed and stays in the store: {}", error
        )
