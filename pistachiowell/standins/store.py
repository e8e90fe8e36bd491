"""Stand-in for the platform's store: an HTTP server in memory with injected faults.

Imitates versioned objects with conditional writes, lists that lag, watches, rate
limits, and writes whose answer is lost.

Run ``python -m pistachiowell.standins.store --port 8001``. ``POST /control`` sets
faults (see ``StoreFaults``), and ``GET /control`` returns them and the counts of calls.
"""

import time
from collections import Counter, defaultdict, deque
from urllib.parse import parse_qsl

import anyio
import msgspec
import uvicorn
from absl import app, flags

from pistachiowell.store.resources import (
    BASE_PATH,
    DeleteOptions,
    Metadata,
    Resource,
    ResourceList,
    Status,
    WatchEvent,
)

_PORT = flags.DEFINE_integer("port", 8001, "TCP port.")
_HOST = flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")

MAX_HISTORY_CHANGES = 10_000
MAX_BODY_BYTES = 1024 * 1024 + 4096
RETRY_AFTER_S = 1
_VM_COLLECTION = "vms"
_VERBS = {
    ("GET", True): "get",
    ("GET", False): "list",
    ("POST", False): "create",
    ("PUT", True): "update",
    ("DELETE", True): "delete",
}


class StoreFaults(msgspec.Struct):
    """Faults that are in force.

    Attributes:
        down: Whether every call is answered with status 503 and every watch is closed.
        slow_s: Delay of each call in seconds.
        lose_answers: Number of next writes that take effect but whose answer is lost.
        drop_writes: Number of next writes that take no effect and are not answered;
            their caller cannot tell them from writes whose answer is lost.
        reads_per_s: Limit of reads per second, where a watch counts as one read; 0
            for no limit.
        writes_per_s: Limit of writes per second; 0 for no limit.
        list_lag_s: Age in seconds of the state that lists return, by collection.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    drop_writes: int = 0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0
    list_lag_s: dict[str, float] = {}


class ApiError(Exception):
    """A call that is answered with an error status.

    Args:
        status: HTTP status.
        reason: Reason as the API of the store spells it.
    """

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class _Change:
    """One change of an object, with its time and version."""

    __slots__ = ("at", "kind", "resource", "version")

    def __init__(self, at, kind, version, resource):
        self.at = at
        self.kind = kind
        self.version = version
        self.resource = resource

    @property
    def watch_line(self):
        raw = msgspec.Raw(msgspec.json.encode(self.resource))
        return msgspec.json.encode(WatchEvent(self.kind, raw)) + b"\n"


class Collection:
    """Objects of one collection, with the history for watches and lagging lists.

    The oldest changes are compacted: they are applied to a base state and removed from
    the history.

    Args:
        name: Name of the collection.

    Attributes:
        compacted_version: Version of the newest change that was compacted.
        name: Name of the collection.
        objects: ``Resource`` by name.
    """

    __slots__ = (
        "_compacted_objects",
        "_history",
        "compacted_version",
        "name",
        "objects",
    )

    def __init__(self, name):
        self.name = name
        self.objects = {}
        self.compacted_version = 0
        self._compacted_objects = {}
        self._history = deque()

    def apply(self, kind, name, version, spec):
        """Applies a change to an object and returns the object.

        Args:
            kind: ``ADDED``, ``MODIFIED`` or ``DELETED``.
            name: Name of the object.
            version: New version of the object.
            spec: Content of the object.
        """
        metadata = Metadata(name, str(version))
        resource = Resource(metadata, spec, kind=self.name)
        change = _Change(time.monotonic(), kind, version, resource)
        _apply_change(self.objects, change)
        self._history.append(change)
        if len(self._history) > MAX_HISTORY_CHANGES:
            oldest = self._history.popleft()
            self.compacted_version = oldest.version
            _apply_change(self._compacted_objects, oldest)
        return resource

    def changes_after(self, version):
        """Returns the changes after a version, oldest first.

        Raises:
            ApiError: Changes after this version were compacted, so a watch that
                went on from it would miss them; its caller has to list again.
        """
        if version < self.compacted_version:
            raise ApiError(410, "Expired")
        changes = []
        for change in reversed(self._history):
            if change.version <= version:
                break
            changes.append(change)
        return changes[::-1]

    def snapshot_at(self, at):
        """Returns ``(objects, version)`` as of an earlier time.

        Args:
            at: Time by ``time.monotonic()`` in seconds.
        """
        objects = dict(self._compacted_objects)
        version = self.compacted_version
        for change in self._history:
            if change.at > at:
                break
            _apply_change(objects, change)
            version = change.version
        return objects, version


def _apply_change(objects, change):
    name = change.resource.metadata.name
    if change.kind == "DELETED":
        del objects[name]
    else:
        objects[name] = change.resource


class RateLimit:
    """Token bucket with a capacity of the calls of one second, at least one."""

    __slots__ = ("_tokens", "_updated_at")

    def __init__(self):
        self._updated_at = time.monotonic()
        self._tokens = 1.0

    def try_acquire(self, per_s):
        """Spends a token and returns whether there was one.

        Args:
            per_s: Tokens added per second; 0 for no limit.
        """
        if not per_s:
            return True
        now = time.monotonic()
        burst = max(per_s, 1.0)
        self._tokens = min(burst, self._tokens + (now - self._updated_at) * per_s)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class StoreServer:
    """ASGI application of the store stand-in.

    Attributes:
        calls: Number of calls by verb and collection.
        faults: The ``StoreFaults`` in force.
        throttled: Number of calls answered with status 429.
        watches: Number of open watches.
    """

    __slots__ = (
        "_collections",
        "_limits",
        "_state_changed",
        "_version",
        "calls",
        "faults",
        "throttled",
        "watches",
    )

    def __init__(self):
        self._collections = {}
        self._limits = {"read": RateLimit(), "write": RateLimit()}
        self._version = 0
        self._state_changed = anyio.Event()
        self.calls = defaultdict(Counter)
        self.faults = StoreFaults()
        self.throttled = 0
        self.watches = 0

    async def __call__(self, scope, receive, send):
        """Answers one HTTP request."""
        if scope["type"] != "http":
            return
        try:
            body = await _read_body(receive)
            if scope["path"] == "/control":
                await _send_answer(
                    send, 200, self._handle_control(scope["method"], body)
                )
            else:
                await self._handle_call(scope, body, receive, send)
        except ApiError as error:
            status = Status(error.status, error.reason)
            await _send_answer(send, error.status, msgspec.json.encode(status))

    def _handle_control(self, method, body):
        if method == "POST":
            try:
                changes = msgspec.json.decode(body, type=dict)
                merged = msgspec.to_builtins(self.faults) | changes
                self.faults = msgspec.convert(merged, type=StoreFaults)
            except msgspec.MsgspecError as error:
                raise ApiError(400, str(error)) from error
            self._wake_watches()
        report = {
            "calls": self.calls,
            "faults": self.faults,
            "throttled": self.throttled,
            "version": self._version,
            "watches": self.watches,
        }
        return msgspec.json.encode(report)

    async def _handle_call(self, scope, body, receive, send):
        query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
        collection, name = _split_path(scope["path"])
        verb = _call_verb(scope["method"], name, query)
        self.calls[verb][collection] += 1
        await anyio.sleep(self.faults.slow_s)
        if self.faults.down:
            raise ApiError(503, "ServiceUnavailable")
        self._check_rate("read" if verb in ("get", "list", "watch") else "write")
        if verb == "watch":
            await self._watch(collection, query, receive, send)
        elif verb == "get":
            await _send_answer(
                send, 200, msgspec.json.encode(self._get(collection, name))
            )
        elif verb == "list":
            await _send_answer(send, 200, msgspec.json.encode(self._list(collection)))
        else:
            await self._write(verb, collection, name, body, send)

    def _check_rate(self, kind):
        per_s = getattr(self.faults, f"{kind}s_per_s")
        if not self._limits[kind].try_acquire(per_s):
            self.throttled += 1
            raise ApiError(429, "TooManyRequests")

    def _collection(self, name):
        return self._collections.setdefault(name, Collection(name))

    def _get(self, collection, name):
        resource = self._collection(collection).objects.get(name)
        if resource is None:
            raise ApiError(404, "NotFound")
        return resource

    def _list(self, name):
        collection = self._collection(name)
        objects, version = collection.objects, self._version
        lag_s = self.faults.list_lag_s.get(name, 0.0)
        if lag_s:
            objects, version = collection.snapshot_at(time.monotonic() - lag_s)
        return ResourceList(Metadata("", str(version)), list(objects.values()))

    async def _write(self, verb, collection, name, body, send):
        if self.faults.drop_writes:
            self.faults.drop_writes -= 1
            await _send_incomplete_answer(send)
            return
        if verb == "delete":
            resource = self._delete(collection, name, _decode(body, DeleteOptions))
        else:
            resource = self._put(verb, collection, name, _decode(body, Resource))
        self._wake_watches()
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            await _send_incomplete_answer(send)
            return
        status = 201 if verb == "create" else 200
        await _send_answer(send, status, msgspec.json.encode(resource))

    def _put(self, verb, collection_name, name, resource):
        collection = self._collection(collection_name)
        name = name or resource.metadata.name
        current = collection.objects.get(name)
        if verb == "create" and current is not None:
            raise ApiError(409, "AlreadyExists")
        if verb == "update" and collection_name != _VM_COLLECTION:
            _check_version(current, resource.metadata.resource_version)
        self._version += 1
        kind = "ADDED" if current is None else "MODIFIED"
        return collection.apply(kind, name, self._version, resource.spec)

    def _delete(self, collection_name, name, options):
        collection = self._collection(collection_name)
        current = collection.objects.get(name)
        _check_version(current, options.preconditions.resource_version)
        self._version += 1
        return collection.apply("DELETED", name, self._version, current.spec)

    async def _watch(self, collection_name, query, receive, send):
        collection = self._collection(collection_name)
        version = _parse_number(query.get("resourceVersion", "0"))
        # Rejects a compacted version while the answer can still carry a status.
        collection.changes_after(version)
        self.watches += 1
        try:
            await _send_start(send, 200, [])
            with anyio.move_on_after(
                _parse_number(query.get("timeoutSeconds", "3600"))
            ):
                async with anyio.create_task_group() as group:
                    group.start_soon(_cancel_on_disconnect, receive, group)
                    await self._send_changes(collection, version, send)
                    group.cancel_scope.cancel()
            await _send_body(send, b"", more=False)
        finally:
            self.watches -= 1

    async def _send_changes(self, collection, version, send):
        while not self.faults.down:
            # Read before the changes, so that one made during a send ends the wait.
            state_changed = self._state_changed
            for change in collection.changes_after(version):
                version = change.version
                await _send_body(send, change.watch_line, more=True)
            await state_changed.wait()

    def _wake_watches(self):
        self._state_changed.set()
        self._state_changed = anyio.Event()


def _split_path(path):
    prefix = f"{BASE_PATH}/"
    parts = path.removeprefix(prefix).split("/")
    if not path.startswith(prefix) or len(parts) > 2 or not parts[0]:
        raise ApiError(404, "NotFound")
    return parts[0], parts[1] if len(parts) == 2 else ""


def _call_verb(method, name, query):
    verb = _VERBS.get((method, bool(name)))
    if verb is None:
        raise ApiError(405, "MethodNotAllowed")
    return "watch" if verb == "list" and query.get("watch") == "true" else verb


def _check_version(current, version):
    if current is None:
        raise ApiError(404, "NotFound")
    if current.metadata.resource_version != version:
        raise ApiError(409, "Conflict")


def _parse_number(text):
    if not text.isdecimal():
        raise ApiError(400, "BadRequest")
    return int(text)


def _decode(body, cls):
    try:
        return msgspec.json.decode(body, type=cls)
    except (msgspec.MsgspecError, ValueError) as error:
        raise ApiError(400, str(error)) from error


async def _read_body(receive):
    body = bytearray()
    while True:
        message = await receive()
        body += message.get("body", b"")
        if len(body) > MAX_BODY_BYTES:
            raise ApiError(413, "RequestEntityTooLarge")
        if not message.get("more_body"):
            return bytes(body)


async def _cancel_on_disconnect(receive, group):
    while (await receive())["type"] != "http.disconnect":
        pass
    group.cancel_scope.cancel()


async def _send_start(send, status, headers):
    headers = [(b"content-type", b"application/json"), *headers]
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def _send_body(send, body, *, more):
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def _send_answer(send, status, body):
    headers = [(b"content-length", str(len(body)).encode())]
    if status == 429:
        headers.append((b"retry-after", str(RETRY_AFTER_S).encode()))
    await _send_start(send, status, headers)
    await _send_body(send, body, more=False)


async def _send_incomplete_answer(send):
    # The server closes the connection, since the announced body is not sent.
    await _send_start(send, 200, [(b"content-length", b"1")])


def main(argv):
    """Serves until a signal stops it."""
    del argv
    uvicorn.run(
        StoreServer(),
        host=_HOST.value,
        port=_PORT.value,
        http="httptools",
        loop="asyncio",
        lifespan="off",
        access_log=False,
        log_level="critical",
        timeout_graceful_shutdown=1,
    )


if __name__ == "__main__":
    app.run(main)
