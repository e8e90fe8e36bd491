"""Implementation of ``Store`` over the platform's HTTP API."""

import anyio
import msgspec

from pistachiowell.core.errors import (
    BodyTooLarge,
    StoreAnswerLost,
    StoreUnavailable,
)
from pistachiowell.store.calls import (
    NO_ANSWER_ERRORS,
    StoreCalls,
    check_read,
    error_text,
)
from pistachiowell.store.resources import (
    BASE_PATH,
    DeleteOptions,
    Metadata,
    Preconditions,
    Resource,
    ResourceList,
    Status,
    WatchEvent,
)
from pistachiowell.store.store import ABSENT, MAX_VALUE_BYTES, Change, Entry, Vm

CALL_TIMEOUT_S = 5.0
WATCH_TIMEOUT_S = 30
MIN_WATCH_S = 1.0
MAX_CHANGE_BYTES = 4 * MAX_VALUE_BYTES
_WATCH_GRACE_S = 5.0

_DECODE_ERRORS = (msgspec.MsgspecError, ValueError)


class HttpStore:
    """The platform's store over HTTP.

    Every call has a timeout. A write that gets no response, a server error or an
    unreadable response raises ``StoreAnswerLost``, since it may have taken effect.

    Args:
        url: Base URL, such as ``http://10.0.0.1:8001``.
        call_timeout_s: Timeout of one call in seconds.
    """

    __slots__ = ("_calls",)

    def __init__(self, url, *, call_timeout_s=CALL_TIMEOUT_S):
        self._calls = StoreCalls(url.rstrip("/") + BASE_PATH, call_timeout_s)

    @property
    def era(self):
        """The ``StoreEra``; this store names none."""
        return self._calls.era

    async def aclose(self):
        """Closes all connections."""
        await self._calls.aclose()

    async def get(self, collection, name):
        """Returns an ``Entry``, or None."""
        status, body = await self._calls.read(f"{collection}/{name}")
        if status == 404:
            return None
        return _entry(collection, _decode(body, Resource))

    async def put(self, collection, name, value, expected_version):
        """Writes conditionally; see ``Store.put``."""
        if len(value) > MAX_VALUE_BYTES:
            raise BodyTooLarge(f"{collection}/{name} has {len(value)} bytes.")
        version = "" if expected_version == ABSENT else str(expected_version)
        resource = Resource(
            Metadata(name, version), msgspec.Raw(value), kind=collection
        )
        body = msgspec.json.encode(resource)
        if expected_version == ABSENT:
            answer = await self._calls.write("POST", collection, body)
        else:
            answer = await self._calls.write("PUT", f"{collection}/{name}", body)
        try:
            return _version(msgspec.json.decode(answer, type=Resource).metadata)
        except _DECODE_ERRORS as error:
            raise StoreAnswerLost(
                f"A response could not be decoded: {error}."
            ) from error

    async def delete(self, collection, name, expected_version):
        """Deletes conditionally; see ``Store.delete``."""
        options = DeleteOptions(Preconditions(str(expected_version)))
        body = msgspec.json.encode(options)
        await self._calls.write("DELETE", f"{collection}/{name}", body)

    async def list(self, collection):
        """Returns ``(entries, version)``."""
        status, body = await self._calls.read(collection)
        if status == 404:
            raise StoreUnavailable(f"The store has no collection {collection}.")
        answer = _decode(body, ResourceList)
        entries = [_entry(collection, item) for item in answer.items]
        return entries, _checked_version(answer.metadata)

    async def watch(self, collection, after_version, wait_s=None):
        """Yields each ``Change`` after a version; see ``Store.watch``.

        The store ends each watch after ``WATCH_TIMEOUT_S``, and another one continues
        from the last version received. A store that ends a watch within
        ``MIN_WATCH_S`` is treated as failed, so that the loop does not flood it with
        requests.
        """
        del wait_s
        version = after_version
        while True:
            started_at = anyio.current_time()
            async for change in self._watch_once(collection, version):
                version = change.version
                yield change
            if anyio.current_time() - started_at < MIN_WATCH_S:
                raise StoreUnavailable("The store ended a watch too early.")

    async def vms(self):
        """Returns the platform's list of ``Vm``."""
        entries, _ = await self.list("vms")
        return [_vm(entry) for entry in entries]

    async def _watch_once(self, collection, version):
        path = (
            f"{collection}"
            f"?watch=true&resourceVersion={version}&timeoutSeconds={WATCH_TIMEOUT_S}"
        )
        timeout_s = WATCH_TIMEOUT_S + _WATCH_GRACE_S
        try:
            async with self._calls.stream(path, timeout_s) as response:
                if response.status != 200:
                    check_read(response.status, await self._calls.read_body(response))
                buffer = bytearray()
                async for data in response.aiter_stream():
                    buffer += data
                    if len(buffer) > MAX_CHANGE_BYTES:
                        raise StoreUnavailable("A change in a watch has no end.")
                    for line in _pop_lines(buffer):
                        yield _change(line)
        except NO_ANSWER_ERRORS as error:
            raise StoreUnavailable(
                f"A watch was interrupted: {error_text(error)}."
            ) from error


def _pop_lines(buffer):
    end = buffer.rfind(b"\n")
    if end < 0:
        return []
    lines = bytes(buffer[:end]).split(b"\n")
    del buffer[: end + 1]
    return [line for line in lines if line]


def _change(line):
    event = _decode(line, WatchEvent)
    if event.type == "ERROR":
        status = _decode(event.object, Status)
        check_read(status.code, status.message.encode())
    resource = _decode(event.object, Resource)
    value = None if event.type == "DELETED" else bytes(resource.spec)
    metadata = resource.metadata
    return Change(metadata.name, _checked_version(metadata), value)


def _decode(body, cls):
    try:
        return msgspec.json.decode(body, type=cls)
    except _DECODE_ERRORS as error:
        raise StoreUnavailable(f"A response could not be decoded: {error}.") from error


def _entry(collection, resource):
    metadata = resource.metadata
    version = _checked_version(metadata)
    return Entry(collection, metadata.name, version, bytes(resource.spec))


def _version(metadata):
    return int(metadata.resource_version)


def _checked_version(metadata):
    try:
        return _version(metadata)
    except ValueError as error:
        raise StoreUnavailable(
            f"A response has no valid resourceVersion: {error}."
        ) from error


def _vm(entry):
    return decode_vm(entry.name, entry.value)


def decode_vm(name, value):
    """Decodes an object of the collection ``vms``.

    Args:
        name: Name of the VM.
        value: JSON document with ``host`` and ``leaving``.

    Returns:
        A ``Vm``.

    Raises:
        StoreUnavailable: The document cannot be decoded.
    """
    spec = _decode(value, _VmSpec)
    return Vm(name, spec.host, spec.leaving)


class _VmSpec(msgspec.Struct, frozen=True):
    host: str
    leaving: bool = False
