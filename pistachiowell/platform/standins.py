"""Stand-ins of the platform's store and of its backend servers, for tests."""

import copy

import anyio
import httptools
import msgspec
import uvicorn

from pistachiowell.core.web import EmbeddedServer
from pistachiowell.platform.objects import BASE_PATH

SIGNATURE = "5.1.seal"
HEALTHY_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
COLD_ANSWER = HEALTHY_ANSWER[:-2] + b"Pistachiowell-Cold-Ms: %d\r\n\r\n"


def object_document(name, revision, spec, status=None):
    """Returns an object as the store sends it."""
    metadata = {
        "Name": name,
        "Revision": revision,
        "Created": 1,
        "Finalizers": [],
        "Deleting": False,
    }
    return {"Metadata": metadata, "Spec": spec, "Status": status}


class ObjectServer:
    """The platform's store in memory, as an ASGI application.

    Attributes:
        mode: ``"up"``, ``"busy"`` (503), ``"many"`` (429) or ``"silent"``.
        missing_kinds: Kinds of objects that the store answers 404 for.
        lost_answers: Number of next writes that take effect but get no answer.
        calls: Number of calls received.
        call_log: Method, path and query of each call as text, in order.
        revision: Revision of the latest write.
        era: Number of the present era; None for a store that does not report one.
    """

    def __init__(self):
        self.mode = "up"
        self.lost_answers = 0
        self.calls = 0
        self.missing_kinds = set()
        self.call_log = []
        self.revision = 10
        self.era = None
        self._objects = {}
        self._history = []
        self._discarded_revision = 0
        self._changed = anyio.Event()

    def put(self, kind, name, spec, status=None):
        """Writes an object as a writer other than the programs under test."""
        self.revision += 1
        document = object_document(name, self.revision, spec, status)
        self._objects.setdefault(kind, {})[name] = document
        self._record_change(kind, document, False)

    def delete(self, kind, name):
        """Deletes an object."""
        self.revision += 1
        document = self._objects[kind].pop(name)
        document["Metadata"]["Revision"] = self.revision
        self._record_change(kind, document, True)

    def get(self, kind, name):
        """Returns an object document, or None."""
        return self._objects.get(kind, {}).get(name)

    def names(self, kind):
        """Returns the names of a kind's objects."""
        return sorted(self._objects.get(kind, {}))

    def discard_history(self):
        """Discards the history; watches from earlier revisions end with status 410."""
        self._discarded_revision = self.revision
        self._history.clear()
        self._notify_watches()

    def take_copy(self):
        """Returns a copy of the store for ``return_from_copy``."""
        return _StoreCopy(self.revision, self._objects, self._history)

    def return_from_copy(self, taken):
        """Continues from an earlier copy, as after a loss of the newer data.

        What was written since is gone, and its revisions are given out again. The era
        rises by one. Watches that are waiting continue to wait.

        Args:
            taken: A result of ``take_copy``.
        """
        self.era += 1
        self.revision = taken.revision
        self._objects = copy.deepcopy(taken.objects)
        self._history = list(taken.history)

    async def __call__(self, scope, receive, send):
        """Answers one call."""
        self.calls += 1
        query_string = scope["query_string"].decode()
        self.call_log.append(f"{scope['method']} {scope['path']}?{query_string}")
        body = await _read_body(receive)
        if self.mode == "silent":
            await anyio.sleep_forever()
        if self.mode in ("busy", "many"):
            status = 503 if self.mode == "busy" else 429
            await _send_json(send, status, {}, self.era)
            return
        query = dict(item.split("=", 1) for item in query_string.split("&") if item)
        parts = scope["path"].removeprefix(BASE_PATH + "/").split("/")
        status, document = await self._answer(scope["method"], parts, query, body)
        if scope["method"] != "GET" and self.lost_answers and status == 200:
            self.lost_answers -= 1
            await anyio.sleep_forever()
        await _send_json(send, status, document, self.era)

    async def _answer(self, method, parts, query, body):
        kind = parts[0]
        if kind in self.missing_kinds:
            return 404, {}
        if method == "GET" and "Watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and len(parts) == 1:
            items = [self._objects.get(kind, {})[n] for n in self.names(kind)]
            return 200, {"Items": items, "More": False, "CurrentRev": self.revision}
        if method == "GET":
            document = self.get(kind, parts[1])
            return (404, {}) if document is None else (200, document)
        if method == "DELETE":
            return self._delete(kind, parts[1], query)
        return self._write(method, kind, parts[1:], body)

    def _delete(self, kind, name, query):
        known = self.get(kind, name)
        if known is None:
            return 404, {}
        if known["Metadata"]["Revision"] != int(query["Revision"]):
            return 409, known
        self.delete(kind, name)
        return 200, known

    def _write(self, method, kind, rest, body):
        sent = msgspec.json.decode(body)
        name = sent["Metadata"]["Name"]
        known = self.get(kind, name)
        if method == "POST":
            if known is not None:
                return 409, known
            self.put(kind, name, sent["Spec"])
            return 200, self.get(kind, name)
        if known is None:
            return 404, {}
        if known["Metadata"]["Revision"] != sent["Metadata"]["Revision"]:
            return 409, known
        if rest[-1] == "status":
            self.put(kind, name, known["Spec"], sent["Status"])
        else:
            self.put(kind, name, sent["Spec"], known["Status"])
        return 200, self.get(kind, name)

    async def _watch(self, kind, query):
        after = int(query["Watch"])
        if after > self.revision:
            return 410, {}
        with anyio.move_on_after(int(query["WaitMs"]) / 1000):
            while after >= self._discarded_revision and not self._changes_after(
                kind, after
            ):
                await self._changed.wait()
        if after < self._discarded_revision:
            return 410, {}
        return 200, {
            "events": self._changes_after(kind, after),
            "CurrentRev": self.revision,
        }

    def _changes_after(self, kind, revision):
        return [
            {"Object": document, "Deleted": deleted}
            for changed_kind, document, deleted in self._history
            if changed_kind == kind and document["Metadata"]["Revision"] > revision
        ]

    def _record_change(self, kind, document, deleted):
        self._history.append((kind, document, deleted))
        self._notify_watches()

    def _notify_watches(self):
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


class _StoreCopy:
    """Content of the store at one moment.

    Attributes:
        revision: Revision of the latest write.
        objects: Documents by kind and name.
        history: The changes that watches can still get.
    """

    __slots__ = ("history", "objects", "revision")

    def __init__(self, revision, objects, history):
        self.revision = revision
        self.objects = copy.deepcopy(objects)
        self.history = list(history)


class ReceivedRequest:
    """A request as a backend server received it; the callbacks of its parser fill it.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Values by lower-case name.
        body: The body.
        caller_left: Whether the caller closed the connection before the end of the
            answer.
        is_whole: Whether the whole request has arrived.
    """

    def __init__(self):
        self.method = ""
        self.target = ""
        self.headers = {}
        self.body = b""
        self.caller_left = False
        self.is_whole = False

    def on_url(self, url):
        """Appends a part of the target."""
        self.target += url.decode()

    def on_header(self, name, value):
        """Stores a header."""
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, data):
        """Appends a part of the body."""
        self.body += data

    def on_message_complete(self):
        """Records the end of the request."""
        self.is_whole = True


class BackendStandIn:
    """A backend server whose answers are scripted by a test.

    A ``GET`` request without an id is a health check; the script does not see it.

    Attributes:
        health_answer: Bytes of the answer to each health check.
        health_checks: Times of the health checks in seconds, in order.
        server_id: Id of the server.
        script: Async function ``script(request, stream)`` that answers a
            ``ReceivedRequest`` and returns whether the connection stays open.
        requests: The requests received, in order.
        port: TCP port; 0 for any, until ``serve`` listens.
    """

    def __init__(self, server_id, script, port=0):
        self.server_id = server_id
        self.script = script
        self.requests = []
        self.health_answer = HEALTHY_ANSWER
        self.health_checks = []
        self.port = port

    async def serve(self, *, task_status):
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream):
        async with stream:
            try:
                while await self._answer_one(stream):
                    pass
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                return

    async def _answer_one(self, stream):
        request = ReceivedRequest()
        parser = httptools.HttpRequestParser(request)
        while not request.is_whole:
            parser.feed_data(await stream.receive())
        request.method = parser.get_method().decode()
        if (
            request.method == "GET"
            and "pistachiowell-attempt-id" not in request.headers
        ):
            self.health_checks.append(anyio.current_time())
            await stream.send(self.health_answer)
            return True
        self.requests.append(request)
        try:
            return await self.script(request, stream)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            request.caller_left = True
            raise


def head(request, status="200 OK", **more):
    """Returns the head of an answer to a request as text.

    Args:
        request: The ``ReceivedRequest``.
        status: Status code and reason phrase.
        more: Further headers by name with ``_`` for ``-``; empty values are left out.
    """
    fields = {
        "Pistachiowell-Server-Signature": SIGNATURE,
        "Pistachiowell-Attempt-Id": request.headers["pistachiowell-attempt-id"],
        "Keep-Alive": "timeout=10",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    lines = [f"{name}: {value}\r\n" for name, value in fields.items() if value]
    return f"HTTP/1.1 {status}\r\n{''.join(lines)}"


def event(number):
    """Returns an event of a stream as bytes."""
    return f"id: {number}\ndata: word-{number}\n\n".encode()


def chunk(data):
    """Returns data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def answer_whole(request, stream):
    """Answers with a small body."""
    await stream.send((head(request, Content_Length="2") + "\r\nok").encode())
    return True


async def refuse(request, stream):
    """Rejects the request and states that it has not run."""
    text = "HTTP/1.1 503 Full\r\nPistachiowell-Not-Executed: 1\r\n"
    await stream.send((text + "Content-Length: 0\r\n\r\n").encode())
    return True


async def refuse_another(request, stream):
    """Refuses another request, as an extra answer that arrives late does."""
    text = head(
        request, "503 Full", Content_Length="0", Pistachiowell_Attempt_Id="another"
    )
    await stream.send((text + "Pistachiowell-Not-Executed: 1\r\n\r\n").encode())
    return True


async def close_without_answer(request, stream):
    """Closes the connection without an answer."""
    return False


async def answer_of_another(request, stream):
    """Sends an answer with the id of another request."""
    text = head(request, Content_Length="4", Pistachiowell_Attempt_Id="another")
    await stream.send((text + "\r\nnope").encode())
    return True


def repeat_without_end(prefix, block, *, interval_s=0.0, headers=None):
    """Returns a script that sends bytes until the caller closes the connection.

    Args:
        prefix: Bytes to send first, after the head of an answer if there are headers.
        block: Bytes to repeat.
        interval_s: Seconds between two blocks.
        headers: Headers of the head by name with ``_`` for ``-``; None for no head.
    """

    async def script(request, stream):
        request.sent_bytes = 0
        if headers is not None:
            await stream.send((head(request, **headers) + "\r\n").encode())
        await stream.send(prefix)
        while True:
            await stream.send(block)
            request.sent_bytes += len(block)
            await anyio.sleep(interval_s)

    return script


def stream_events(first, last, *, truncated=False, framed=True):
    """Returns a script that streams events.

    Args:
        first: Number of the first event, unless the request resumes a stream.
        last: Number of the last whole event.
        truncated: Whether the connection is closed within the event after the last.
        framed: Whether the answer is sent in chunks; otherwise it has no length either
            and ends with its connection.
    """
    encode = chunk if framed else bytes

    async def script(request, stream):
        start = first
        if "last-event-id" in request.headers:
            start = int(request.headers["last-event-id"]) + 1
        encoding = "chunked" if framed else ""
        text = head(
            request, Content_Type="text/event-stream", Transfer_Encoding=encoding
        )
        await stream.send((text + "\r\n").encode())
        for number in range(start, last + 1):
            await stream.send(encode(event(number)))
            await anyio.sleep(0.005)
        if truncated:
            await stream.send(encode(event(last + 1)[:7]))
        if truncated or not framed:
            return False
        await stream.send(b"0\r\n\r\n")
        return True

    return script


async def serve_app(app, *, task_status):
    """Serves an ASGI application and reports its port through ``task_status``."""
    config = uvicorn.Config(
        app,
        host="127.0.0.1",
        port=0,
        lifespan="off",
        log_level="critical",
        ws="none",
    )
    server = EmbeddedServer(config)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.002)
        task_status.started(server.servers[0].sockets[0].getsockname()[1])


async def _read_body(receive):
    body, more = b"", True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    return body


async def _send_json(send, status, document, era):
    body = msgspec.json.encode(document)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
    ]
    if era is not None:
        headers.append((b"store-era", b"%d" % era))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
