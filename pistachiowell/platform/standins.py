"""Small stand-ins of the platform's store and of its backend servers."""

import anyio
import httptools
import msgspec
import uvicorn

from pistachiowell.core.web import EmbeddedServer
from pistachiowell.platform.objects import BASE_PATH

SIGNATURE = "5.1.seal"


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
        lost_answers: Next writes that take effect without an answer.
        calls: Number of calls.
    """

    def __init__(self):
        self.mode = "up"
        self.lost_answers = 0
        self.calls = 0
        self.revision = 10
        self._objects = {}
        self._history = []
        self._forgotten = 0
        self._changed = anyio.Event()

    def put(self, kind, name, spec, status=None):
        """Writes as another writer than the programs under test."""
        self.revision += 1
        document = object_document(name, self.revision, spec, status)
        self._objects.setdefault(kind, {})[name] = document
        self._note(kind, document, False)

    def delete(self, kind, name):
        """Deletes an object."""
        self.revision += 1
        document = self._objects[kind].pop(name)
        document["Metadata"]["Revision"] = self.revision
        self._note(kind, document, True)

    def get(self, kind, name):
        """Returns an object document, or None."""
        return self._objects.get(kind, {}).get(name)

    def names(self, kind):
        """Returns the names of a kind's objects."""
        return sorted(self._objects.get(kind, {}))

    def forget(self):
        """Drops the history and cuts the watches."""
        self._forgotten = self.revision
        self._history.clear()
        self._wake()

    async def __call__(self, scope, receive, send):
        """Answers one call."""
        self.calls += 1
        body = await _read(receive)
        if self.mode == "silent":
            await anyio.sleep_forever()
        if self.mode in ("busy", "many"):
            await _send(send, 503 if self.mode == "busy" else 429, {})
            return
        query = dict(
            item.split("=", 1)
            for item in scope["query_string"].decode().split("&")
            if item
        )
        parts = scope["path"].removeprefix(BASE_PATH + "/").split("/")
        status, document = await self._answer(scope["method"], parts, query, body)
        if scope["method"] != "GET" and self.lost_answers and status == 200:
            self.lost_answers -= 1
            await anyio.sleep_forever()
        await _send(send, status, document)

    async def _answer(self, method, parts, query, body):
        kind = parts[0]
        if method == "GET" and "Watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and len(parts) == 1:
            items = [self._objects.get(kind, {})[n] for n in self.names(kind)]
            return 200, {"Items": items, "More": False, "CurrentRev": self.revision}
        if method == "GET":
            document = self.get(kind, parts[1])
            return (404, {}) if document is None else (200, document)
        return self._write(method, kind, parts[1:], body)

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
        with anyio.move_on_after(int(query["WaitMs"]) / 1000):
            while after >= self._forgotten and not self._after(kind, after):
                await self._changed.wait()
        if after < self._forgotten:
            return 410, {}
        return 200, {"events": self._after(kind, after), "CurrentRev": self.revision}

    def _after(self, kind, revision):
        return [
            {"Object": document, "Deleted": deleted}
            for of_kind, document, deleted in self._history
            if of_kind == kind and document["Metadata"]["Revision"] > revision
        ]

    def _note(self, kind, document, deleted):
        self._history.append((kind, document, deleted))
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


class Seen:
    """A request as a backend server got it.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Values by lower-case name.
        body: The body.
        left: Whether the caller closed the connection before the answer's end.
    """

    def __init__(self):
        self.method = ""
        self.target = ""
        self.headers = {}
        self.body = b""
        self.left = False
        self.is_whole = False

    def on_url(self, url):
        """Takes a part of the target."""
        self.target += url.decode()

    def on_header(self, name, value):
        """Takes a header."""
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, data):
        """Takes a part of the body."""
        self.body += data

    def on_message_complete(self):
        """Takes the end."""
        self.is_whole = True


class BackendStandIn:
    """A backend server whose answers a test scripts.

    Attributes:
        script: Async function of ``Seen`` and the connection that answers.
        seen: The requests that came.
    """

    def __init__(self, server_id, script):
        self.server_id = server_id
        self.script = script
        self.seen = []
        self.port = 0

    async def serve(self, *, task_status):
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._take)

    async def _take(self, stream):
        async with stream:
            try:
                while await self._answer_one(stream):
                    pass
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                return

    async def _answer_one(self, stream):
        seen = Seen()
        parser = httptools.HttpRequestParser(seen)
        while not seen.is_whole:
            parser.feed_data(await stream.receive())
        seen.method = parser.get_method().decode()
        self.seen.append(seen)
        try:
            return await self.script(seen, stream)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            seen.left = True
            raise


def head(seen, status="200 OK", **more):
    """Returns the head of an answer to a request as text."""
    fields = {
        "Pistachiowell-Server-Signature": SIGNATURE,
        "Pistachiowell-Attempt-Id": seen.headers["pistachiowell-attempt-id"],
        "Keep-Alive": "timeout=10",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    lines = [f"{name}: {value}\r\n" for name, value in fields.items() if value]
    return f"HTTP/1.1 {status}\r\n{''.join(lines)}"


def event(number):
    """Returns an event of a stream."""
    return f"id: {number}\ndata: word-{number}\n\n".encode()


def chunk(data):
    """Returns a chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def answer_whole(seen, stream):
    """Answers with a small body."""
    await stream.send((head(seen, Content_Length="2") + "\r\nok").encode())
    return True


async def refuse(seen, stream):
    """Says that the request has not run."""
    text = "HTTP/1.1 503 Full\r\nPistachiowell-Not-Executed: 1\r\n"
    await stream.send((text + "Content-Length: 0\r\n\r\n").encode())
    return True


async def close_without_answer(seen, stream):
    """Closes the connection without an answer."""
    return False


async def answer_of_another(seen, stream):
    """Sends the answer to another request."""
    text = head(seen, Content_Length="4", Pistachiowell_Attempt_Id="another")
    await stream.send((text + "\r\nnope").encode())
    return True


def stream_events(first, last, *, torn=False):
    """Returns a script that streams events and, if torn, breaks off inside the next."""

    async def script(seen, stream):
        start = first
        if "last-event-id" in seen.headers:
            start = int(seen.headers["last-event-id"]) + 1
        text = head(seen, Content_Type="text/event-stream", Transfer_Encoding="chunked")
        await stream.send((text + "\r\n").encode())
        for number in range(start, last + 1):
            await stream.send(chunk(event(number)))
            await anyio.sleep(0.005)
        if torn:
            await stream.send(chunk(event(last + 1)[:7]))
            return False
        await stream.send(b"0\r\n\r\n")
        return True

    return script


async def serve_app(app, *, task_status):
    """Serves an ASGI application; the port is handed to ``task_status``."""
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


async def _read(receive):
    body, more = b"", True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    return body


async def _send(send, status, document):
    body = msgspec.json.encode(document)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
