"""Implementation of ``Store`` over the platform's object API.

The API's watch is a long poll: a call returns the changes after a revision, or none
after ``WaitMs``, together with the revision to continue from.
"""

from urllib.parse import quote

import anyio
import msgspec

from pistachiowell.core.decoding import DECODE_ERRORS
from pistachiowell.core.errors import (
    BodyTooLarge,
    StoreAnswerLost,
    StoreConflict,
    StoreUnavailable,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.platform.json_parts import elements, members
from pistachiowell.store.calls import StoreCalls
from pistachiowell.store.store import ABSENT, MAX_VALUE_BYTES, Change, Entry

BASE_PATH = "/pistachiowell/objects"
ERA_HEADER = b"store-era"
CALL_TIMEOUT_S = 1.5
WATCH_WAIT_MS = 10_000
# A store that stops answering during a watch, or has returned from an older copy before
# it, is detected only after the wait. The wait is shorter for what only the store
# reports: that a server is leaving, a new configuration, and evacuations.
_COLLECTION_WATCH_WAITS_MS = {"servers": 2_500, "config": 2_500, "evacuations": 2_500}
WATCH_GRACE_S = 0.8
MIN_WATCH_S = 0.02
# Delay after an answer with changes, so that the next call returns several at once.
COALESCE_DELAY_S = 0.25
_COLLECTION_COALESCE_DELAYS_S = {"agents": 0.8, "servers": 0.6}
MAX_PAGES = 1_000
HTTP_UNAVAILABLE = 503

_log = part_logger("store")


class _Metadata(msgspec.Struct, rename="pascal", omit_defaults=True):
    """Metadata of an object.

    Attributes:
        name: Name of the object.
        revision: Store revision of its last change; 0 for an object to be created.
    """

    name: str
    revision: int = 0


class _Object(msgspec.Struct, rename="pascal"):
    """An object.

    Attributes:
        metadata: Name and revision.
        spec: JSON document that the owner of the object wrote.
        status: JSON document that the programs report about it.
    """

    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct, rename="pascal"):
    """One page of a list.

    Attributes:
        items: Objects in the order of their names.
        more: Whether another page follows.
        current_rev: Revision of the store at the time of the list.
    """

    items: list[_Object]
    current_rev: int
    more: bool = False


class _Event(msgspec.Struct, rename="pascal"):
    """A change of an object.

    Attributes:
        object: The object after the change; its last state if it was deleted.
        deleted: Whether the object was deleted.
    """

    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    """Answer to a watch.

    Attributes:
        events: Changes, oldest first.
        current_rev: Revision from which the next watch continues.
    """

    events: list[_Event]
    current_rev: int = msgspec.field(name="CurrentRev")


class ObjectStore:
    """The platform's store; see ``pistachiowell.store.Store``.

    This store answers 503 to a write only if it has not applied it, so such a write
    raises ``StoreUnavailable`` and not ``StoreAnswerLost``.

    Args:
        address: IP address and port, such as ``10.0.0.1:8223``.
    """

    __slots__ = ("_calls",)

    def __init__(self, address):
        self._calls = StoreCalls(
            f"http://{address}{BASE_PATH}",
            CALL_TIMEOUT_S,
            no_effect_statuses=(HTTP_UNAVAILABLE,),
            era_header=ERA_HEADER,
        )

    @property
    def era(self):
        """The ``StoreEra``."""
        return self._calls.era

    async def aclose(self):
        """Closes all connections."""
        await self._calls.aclose()

    async def get(self, collection, name):
        """Returns an ``Entry``, or None."""
        status, body = await self._calls.read(_path(collection, name))
        if status == 404:
            return None
        return self._entry(collection, _decode(body, _Object, _read_object))

    async def put(self, collection, name, value, expected_version):
        """Writes conditionally; see ``Store.put``."""
        if len(value) > MAX_VALUE_BYTES:
            raise BodyTooLarge(f"{collection}/{name} has {len(value)} bytes.")
        is_new = expected_version == ABSENT
        revision = 0 if is_new else self.era.revision(expected_version)
        metadata = _Metadata(name, revision)
        body = msgspec.json.encode(_Object(metadata, msgspec.Raw(value)))
        if is_new:
            return await self._change("POST", _path(collection), body)
        return await self._change("PUT", _path(collection, name), body)

    async def put_status(self, collection, name, status, expected_version):
        """Writes the status of an object conditionally.

        Args:
            collection: Kind of the object.
            name: Name of the object.
            status: JSON document as bytes.
            expected_version: Version last read.

        Returns:
            The new version.

        Raises:
            StoreConflict: The object has another version.
        """
        metadata = _Metadata(name, self.era.revision(expected_version))
        document = _Object(metadata, status=msgspec.Raw(status))
        path = f"{_path(collection, name)}/status"
        return await self._change("PUT", path, msgspec.json.encode(document))

    async def delete(self, collection, name, expected_version):
        """Deletes conditionally; see ``Store.delete``."""
        revision = self.era.revision(expected_version)
        path = f"{_path(collection, name)}?Revision={revision}"
        await self._calls.write("DELETE", path, b"")

    async def list(self, collection):
        """Returns ``(entries, version)``; the version is that of the first page.

        A watch from the first page's version also reports the changes that happened
        while the later pages were read, so none of them is missed.

        Raises:
            StoreConflict: The store has returned from an older copy between two pages.
        """
        entries, version, after = [], None, ""
        for _ in range(MAX_PAGES):
            query = f"?AfterRevision={quote(after, safe='')}" if after else ""
            status, body = await self._calls.read(_path(collection) + query)
            if status == 404:
                raise StoreUnavailable(f"The store has no kind {collection}.")
            page = _decode(body, _Page, _read_page)
            entries += [self._entry(collection, item) for item in page.items]
            page_version = self.era.version(page.current_rev)
            version = page_version if version is None else version
            self.era.revision(version)
            if not page.more or not page.items:
                return entries, version
            after = page.items[-1].metadata.name
        raise StoreUnavailable(f"The list of {collection} has too many pages.")

    async def watch(self, collection, after_version, wait_s=None):
        """Yields each ``Change`` after a version; see ``Store.watch``.

        Also yields None after each answer of the store, which confirms that all changes
        up to now have been yielded.
        """
        version = after_version
        wait_ms = _COLLECTION_WATCH_WAITS_MS.get(collection, WATCH_WAIT_MS)
        if wait_s is not None:
            wait_ms = int(wait_s * 1000)
        timeout_s = wait_ms / 1000 + WATCH_GRACE_S
        coalesce_delay_s = _COLLECTION_COALESCE_DELAYS_S.get(
            collection, COALESCE_DELAY_S
        )
        while True:
            started_at = anyio.current_time()
            revision = self.era.revision(version)
            path = f"{_path(collection)}?Watch={revision}&WaitMs={wait_ms}"
            status, body = await self._read_until_return(path, timeout_s)
            self.era.revision(version)
            if status == 404:
                raise StoreUnavailable(f"The store has no kind {collection}.")
            answer = _decode(body, _Events, _read_events)
            version = max(version, self.era.version(answer.current_rev))
            for change in [self._change_of(event) for event in answer.events]:
                yield change
            yield None
            if answer.events:
                # Changes that happen close together are then returned by one call.
                await anyio.sleep(coalesce_delay_s)
            elif anyio.current_time() - started_at < MIN_WATCH_S:
                raise StoreUnavailable("The store ended a watch too early.")

    async def _read_until_return(self, path, timeout_s):
        with (
            anyio.CancelScope() as scope,
            self.era.cancel_at_return(scope),
        ):
            return await self._calls.read(path, timeout_s)
        raise StoreConflict("The store has returned from an older copy; list again.")

    async def vms(self):
        """Returns an empty list; the platform reports its VMs by signals only."""
        return []

    async def _change(self, method, path, body):
        answer = await self._calls.write(method, path, body)
        try:
            revision = msgspec.json.decode(answer, type=_Object).metadata.revision
        except DECODE_ERRORS as error:
            raise StoreAnswerLost(
                f"A response could not be decoded: {error}."
            ) from error
        return self.era.version(revision)

    def _entry(self, collection, item):
        metadata = item.metadata
        version = self.era.version(metadata.revision)
        value, status = bytes(item.spec), bytes(item.status)
        return Entry(collection, metadata.name, version, value, status)

    def _change_of(self, event):
        metadata = event.object.metadata
        version = self.era.version(metadata.revision)
        value = None if event.deleted else bytes(event.object.spec)
        return Change(metadata.name, version, value, bytes(event.object.status))


def _path(*parts):
    return "/".join(quote(part, safe="") for part in parts)


def _decode(body, cls, read_parts):
    """Decodes an answer; part by part if an object in it cannot be decoded.

    Other writers may write objects that no decoder accepts, and one of them must not
    make the others unreadable.
    """
    try:
        return msgspec.json.decode(body, type=cls)
    except DECODE_ERRORS as error:
        try:
            return read_parts(body)
        except (*DECODE_ERRORS, KeyError):
            raise StoreUnavailable(
                f"A response could not be decoded: {error}."
            ) from error


def _read_page(body):
    parts = members(body)
    items = _read_all(elements(parts[b"Items"]), _read_object)
    revision = msgspec.json.decode(parts[b"CurrentRev"], type=int)
    more = msgspec.json.decode(parts.get(b"More", b"false"), type=bool)
    return _Page(items, revision, more)


def _read_events(body):
    parts = members(body)
    events = _read_all(elements(parts[b"events"]), _read_event)
    return _Events(events, msgspec.json.decode(parts[b"CurrentRev"], type=int))


def _read_event(part):
    parts = members(part)
    deleted = msgspec.json.decode(parts.get(b"Deleted", b"false"), type=bool)
    return _Event(_read_object(parts[b"Object"]), deleted)


def _read_object(part):
    parts = members(part)
    return _Object(
        msgspec.json.decode(parts[b"Metadata"], type=_Metadata),
        msgspec.Raw(parts.get(b"Spec", b"null")),
        msgspec.Raw(parts.get(b"Status", b"null")),
    )


def _read_all(parts, read):
    """Returns the parts that can be read; the others cannot even be named."""
    results = []
    for part in parts:
        try:
            results.append(read(part))
        except (*DECODE_ERRORS, KeyError) as error:
            _log.warning(
                "Ignored an object that cannot be decoded.", error=str(error)[:200]
            )
    return results
