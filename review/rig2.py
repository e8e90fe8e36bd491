"""A small deployment of the project's own programs on loopback addresses.

The programs run as separate processes with the commands of the deploy file and with its
templates, filled in. The store, backend servers and clients are stand-ins of this
process. Each machine has a loopback address of its own.
"""

import asyncio
import itertools
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request
from pathlib import Path

import anyio
import anyio.lowlevel

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "k-review"
SETTINGS_VARIABLE = "PISTACHIOWELL_CONFIG"
BASE = "/pistachiowell/objects/"
HELD, BROKEN, NOT_RUN = 0, 1, 2
PLATFORM_BOUNDS = {
    "StableWindowMs": 3000,
    "DrainMs": 2000,
    "GraceS": 8,
    "ConfigApplyMs": 2000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetSlack": 52,
    "ExposureShare": 0.1,
    "ExposureSlack": 50,
}
HEARTBEAT_S = 1.2
SERVERS_HOST = "127.83.2.1"


def has_trouble():
    """Returns whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host):
    """Returns a TCP port that is unused at an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to ``record.txt``.

    Args:
        folder: The folder of the case.
    """

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self._started

    def add(self, what, **fields):
        """Adds a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {text}\n")
        self._file.flush()


class Template:
    """Fills in the templates of the deploy file as ``DEPLOY.md`` tells it.

    Args:
        text: Text of the template.
    """

    _SECTION = re.compile(r"\{\{([#^])([\w.@]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
    _VALUE = re.compile(r"\{\{([\w.@]+)(\|json)?\}\}")

    def __init__(self, text):
        self._text = text

    def fill(self, fields):
        """Returns the text with the values of ``fields``."""
        return self._fill(self._text, [fields])

    def _fill(self, text, scopes):
        text = self._SECTION.sub(lambda m: self._section(m, scopes), text)
        return self._VALUE.sub(lambda m: self._value(m, scopes), text)

    def _section(self, match, scopes):
        kind, name, body = match.groups()
        value = self._find(name, scopes)
        if kind == "^":
            return "" if value else self._fill(body, scopes)
        if not value:
            return ""
        if not isinstance(value, dict):
            return self._fill(body, scopes)
        parts = []
        for number, (key, item) in enumerate(value.items()):
            comma = "," if number < len(value) - 1 else ""
            part = body.replace("{{@}}", key).replace("{{.}}", str(item))
            parts.append(self._fill(part.replace("{{,}}", comma), scopes))
        return "".join(parts)

    def _value(self, match, scopes):
        value = self._find(match[1], scopes)
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    def _find(self, path, scopes):
        value = scopes[-1]
        for name in path.split("."):
            if isinstance(value, list):
                value = value[int(name)]
            else:
                value = (value or {}).get(name)
        return value


class Programs:
    """The processes of the gateways and agents.

    Args:
        folder: Folder for settings and logs.
        bounds: The ``Bounds`` of the settings.
    """

    def __init__(self, folder, bounds=None):
        self._folder = Path(folder)
        self._bounds = bounds or PLATFORM_BOUNDS
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._numbers = itertools.count(11)
        self._processes = {}
        self._roles = {}
        self.fields = {}

    def add(self, name, role, zone, store, app="", limits=None):
        """Starts a program on a machine of its own and returns its settings' fields."""
        ip = f"127.83.1.{next(self._numbers)}"
        ports = [free_port(ip), free_port(ip)]
        self.fields[name] = {
            "NodeName": name,
            "Zone": zone,
            "Region": "south",
            "Zones": {"east": "south", "west": "south", "north": "south"},
            "Ip": ip,
            "Listen": {
                "Front": f"{ip}:{free_port(ip)}",
                "Ready": f"{ip}:{free_port(ip)}",
            },
            "InternalPorts": ports,
            "Limits": {
                "CpuShare": 0.817 if role == "router" else 0.86,
                "Cores": 1,
                "MemoryMb": 300 if role == "router" else 232,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                **(limits or {}),
            },
            "Platform": {"Address": store},
            "Bounds": self._bounds,
            "app": app,
        }
        self._roles[name] = role
        self.start(name)
        return self.fields[name]

    def start(self, name):
        """Starts the process of a program."""
        spec = self._deploy["roles"][self._roles[name]]
        template = Template((ROOT / spec["template"]).read_text())
        text = template.fill(self.fields[name])
        port = free_port(self.fields[name]["Ip"])
        text = text.replace("metrics_port: 9464", f"metrics_port: {port}")
        path = self._folder / f"{name}.yaml"
        path.write_text(text)
        variables = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            SETTINGS_VARIABLE: str(path),
        }
        command = shlex.split(spec["run"])
        command[0] = sys.executable if command[0] == "python3" else command[0]
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, env=variables, cwd=ROOT
            )

    def front(self, name):
        """Returns host and port at which a gateway takes clients."""
        host, _, port = self.fields[name]["Listen"]["Front"].partition(":")
        return host, int(port)

    def log(self, name):
        """Returns what a program has logged."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def signal(self, name, number):
        """Sends a signal to a program that was started here."""
        if self._processes[name].poll() is None:
            self._processes[name].send_signal(number)

    def ended(self):
        """Returns the names of the programs that have ended."""
        return [
            n for n, process in self._processes.items() if process.poll() is not None
        ]

    async def wait_until_ready(self, names, limit_s=40.0):
        """Waits until gateways answer the balancer's question with 200."""
        with anyio.fail_after(limit_s):
            for name in names:
                url = f"http://{self.fields[name]['Listen']['Ready']}"
                while not await asyncio.to_thread(_is_ready, url):
                    await anyio.sleep(0.2)

    def stop(self):
        """Ends all processes that were started here."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def _is_ready(url):
    try:
        with urllib.request.urlopen(f"{url}/pistachiowell/readyz", timeout=1) as answer:
            return answer.status == 200
    except OSError:
        return False


class Request:
    """A request as it was read.

    Attributes:
        body: Its body.
        headers: Values by lower-case name.
        method: Its method.
        target: Path and query.
    """

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_request(reader):
    """Reads a request with a body that has a length; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    pairs = [line.partition(":")[::2] for line in lines]
    headers = {name.lower(): value.strip() for name, value in pairs}
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


class Store:
    """The platform's store, as ``PROTOCOL.md`` and the news tell it.

    It can be away, and can come back from a copy of itself.

    Args:
        record: The ``Record``.

    Attributes:
        era: Number of the present era.
        is_away: Whether channels to it are reset.
        revision: Revision of the latest change.
        watched: Time and revision of each watch by the program and the kind.
    """

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._history = []
        self._changed = asyncio.Event()
        self._writers = set()
        self.era = 1
        self.is_away = False
        self.revision = 10
        self.watched = {}

    async def listen(self, name):
        """Begins to serve a program and returns the address for it."""

        async def serve(reader, writer):
            await self._serve(name, reader, writer)

        server = await asyncio.start_server(serve, "127.83.0.1", 0, backlog=512)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def known_at(self, name, kind, revision):
        """Returns when a program first watched a kind from a revision or a later one.

        It has then read all changes up to it. None if it has not.
        """
        times = [
            at for at, seen in self.watched.get((name, kind), ()) if seen >= revision
        ]
        return min(times, default=None)

    def put(self, kind, name, spec, status=None):
        """Writes an object; one that does not change keeps its revision."""
        known = self._objects.get((kind, name))
        if known is not None and (known["Spec"], known["Status"]) == (spec, status):
            return known
        self.revision += 1
        if kind == "servers":
            self._record.add("entry", name=name, state=spec["State"])
        metadata = {"Name": name, "Revision": self.revision, "Created": 1}
        metadata |= {"Finalizers": [], "Deleting": False}
        document = {"Metadata": metadata, "Spec": spec, "Status": status}
        self._objects[kind, name] = document
        self._note(kind, document, deleted=False)
        return document

    def get(self, kind, name):
        """Returns an object or None."""
        return self._objects.get((kind, name))

    def delete(self, kind, name):
        """Removes an object."""
        document = self._objects.pop((kind, name), None)
        if document is None:
            return
        self.revision += 1
        document = json.loads(json.dumps(document))
        document["Metadata"]["Revision"] = self.revision
        self._note(kind, document, deleted=True)

    def copy(self):
        """Returns a copy of all that the store holds."""
        return json.dumps(
            [self.revision, [[*key, doc] for key, doc in self._objects.items()]]
        )

    def go_away(self):
        """Resets all channels, and new ones."""
        self.is_away = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self, copy=None):
        """Serves again; from a copy, in a new era, if one is given."""
        if copy is not None:
            self.revision, items = json.loads(copy)
            self._objects = {(kind, name): doc for kind, name, doc in items}
            self._history = []
            self._oldest = self.revision
            self.era += 1
        self.is_away = False
        self._wake()

    _oldest = 0

    def _note(self, kind, document, *, deleted):
        self._history.append((self.revision, kind, document, deleted))
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, name, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(0.004)
                status, document = await self._answer(name, request)
                body = json.dumps(document).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, program, request):
        path, _, query_text = request.target.partition("?")
        query = dict(p.partition("=")[::2] for p in query_text.split("&") if p)
        kind, *rest = path.removeprefix(BASE).split("/")
        if request.method == "GET" and "Watch" in query:
            return await self._watch(program, kind, query)
        if request.method == "GET" and not rest:
            names = sorted(name for k, name in self._objects if k == kind)
            items = [self._objects[kind, name] for name in names]
            return 200, {"Items": items, "More": False, "CurrentRev": self.revision}
        if request.method == "GET":
            known = self.get(kind, rest[0])
            return (200, known) if known is not None else (404, {})
        return self._change(request, kind, rest, query)

    def _change(self, request, kind, rest, query):
        sent = json.loads(request.body) if request.body else {}
        metadata = sent.get("Metadata", {})
        name = rest[0] if rest else metadata["Name"]
        known = self.get(kind, name)
        if request.method == "POST":
            if known is not None:
                return 409, known
            return 200, self.put(kind, name, sent.get("Spec"))
        if known is None:
            return 404, {}
        condition = metadata.get("Revision") or int(query.get("Revision", 0))
        if condition and condition != known["Metadata"]["Revision"]:
            return 409, known
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, known
        if rest[-1] == "status":
            return 200, self.put(kind, name, known["Spec"], sent.get("Status"))
        return 200, self.put(kind, name, sent.get("Spec"), known["Status"])

    async def _watch(self, program, kind, query):
        after = int(query["Watch"])
        self.watched.setdefault((program, kind), []).append((self._record.now(), after))
        if after > self.revision or after < self._oldest:
            return 410, {}
        ends_at = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            events = [
                {"Object": document, "Deleted": deleted}
                for revision, k, document, deleted in self._history
                if k == kind and revision > after
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "CurrentRev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
            if after > self.revision:
                return 410, {}


class Server:
    """A backend server that writes its entry in the store and says when it leaves.

    Args:
        store: The ``Store``.
        record: The ``Record``.
        name: Its id.
        service: Its service.
        zone: Its zone.
        work_s: Seconds that a request takes.

    Attributes:
        arrivals: Time and id of each request that has reached it.
        spec: What it writes as its entry; None once the entry is removed.
        crashes: Time of each crash.
        in_progress: Requests at work.
        is_down: Whether it has crashed and is not back.
        is_leaving: Whether its answers say that it leaves.
        on_request: Async function of a ``Request`` and the writer that answers in place
            of the server; None for the usual answer.
    """

    def __init__(self, store, record, name, service, zone, work_s=0.015):
        self._store = store
        self._record = record
        self._work_s = work_s
        self._task = None
        self._listener = None
        self._writers = set()
        self.name = name
        self.arrivals = []
        self.crashes = []
        self.is_down = False
        self.in_progress = 0
        self.is_leaving = False
        self.on_request = None
        self.port = 0
        self.spec = {
            "Service": service,
            "Zone": zone,
            "Version": "v1",
            "Slots": 32,
            "State": "ready",
            "ColdLeftMs": 0,
            "Sequence": 0,
            "born": int(time.time() * 1000),
        }

    async def serve(self):
        """Begins to serve and to write the entry."""
        await self._listen()
        self.spec["Address"] = f"{SERVERS_HOST}:{self.port}"
        self.begin_beat()

    async def _listen(self):
        self._listener = await asyncio.start_server(
            self._serve, SERVERS_HOST, self.port, backlog=512
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def crash(self, down_s):
        """Ends all channels and the port, and is back after some seconds."""
        if self.is_down:
            return
        self.is_down = True
        self.crashes.append(self._record.now())
        self._record.add("crash", server=self.name)
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        await self._listen()
        self.is_down = False

    def begin_beat(self):
        """Writes the entry now and after each interval from now on."""
        if self._task is not None:
            self._task.cancel()
        self.write()
        self._task = asyncio.create_task(self._beat())

    def write(self):
        """Writes the entry, or removes it, unless the store is away."""
        if self._store.is_away:
            return False
        if self.spec is None:
            self._store.delete("servers", self.name)
        else:
            self._store.put("servers", self.name, dict(self.spec))
        return True

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        request_id = request.headers.get("pistachiowell-attempt-id")
        if request_id is None:
            status = "503 Leaving" if self.is_leaving else "200 OK"
            text = f"HTTP/1.1 {status}\r\nPistachiowell-Instance-Id: {self.name}\r\n"
            text += "Server-Leaving: 1\r\n" if self.is_leaving else ""
            writer.write(f"{text}Content-Length: 0\r\n\r\n".encode())
            return
        self.arrivals.append((self._record.now(), request_id))
        self._record.add(
            "reached", server=self.name, id=request_id, leaving=self.is_leaving
        )
        if self.on_request is not None:
            await self.on_request(request, writer)
            return
        self.in_progress += 1
        await asyncio.sleep(self._work_s)
        self.in_progress -= 1
        writer.write(self.answer_head(request, 2).encode() + b"ok")
        await writer.drain()

    def answer_head(self, request, length):
        """Returns the head of a success with a body of a length."""
        text = (
            "HTTP/1.1 200 OK\r\nPistachiowell-Server-Signature: 5.1.seal\r\n"
            f"Pistachiowell-Attempt-Id: {request.headers['pistachiowell-attempt-id']}"
            "\r\nKeep-Alive: timeout=10\r\n"
        )
        text += "Server-Leaving: 1\r\n" if self.is_leaving else ""
        return f"{text}Content-Length: {length}\r\n\r\n"


def stream_head(request):
    """Returns the head of a stream as bytes."""
    text = (
        "HTTP/1.1 200 OK\r\nPistachiowell-Server-Signature: 5.1.seal\r\n"
        f"Pistachiowell-Attempt-Id: {request.headers['pistachiowell-attempt-id']}\r\n"
        "Content-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    return text.encode()


async def write_stream(request, writer, events, pause_s):
    """Answers with a stream of events."""
    writer.write(stream_head(request))
    first = int(request.headers.get("last-event-id", 0)) + 1
    for number in range(first, events + 1):
        await asyncio.sleep(pause_s)
        event = f"id: {number}\ndata: word\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


class Answer:
    """What a client has got.

    Attributes:
        at: Time of the end, in seconds of the record.
        body: The body.
        request_id: Id of the client attempt.
        sent_at: Time of the sending.
        status: HTTP status; 0 without an answer.
    """

    def __init__(self, request_id, sent_at, at, status, body):
        self.request_id = request_id
        self.sent_at = sent_at
        self.at = at
        self.status = status
        self.body = body


async def read_chunks(reader):
    """Returns a body that is sent in chunks."""
    body = b""
    while size := int((await reader.readline()).strip() or b"-1", 16):
        if size < 0:
            raise ConnectionError("The body has no end.")
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readline()
    return body


_ids = itertools.count(1)
_run = f"{random.getrandbits(32):08x}"


def new_id():
    """Returns a new id for a client attempt."""
    return f"{_run}{next(_ids):08x}"


async def send(
    record, address, path, *, limit_s, method="GET", more="", body=b"", key=KEY
):
    """Sends one client attempt on a channel of its own and returns the ``Answer``.

    The client closes its channel when its time limit has passed.
    """
    request_id = new_id()
    sent_at = record.now()
    status, text = 0, b""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {key}\r\n"
        f"Pistachiowell-Attempt-Id: {request_id}\r\n"
        f"Pistachiowell-Deadline-Ms: {int(limit_s * 1000)}\r\n{more}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    record.add("sent", id=request_id, path=path, to=address[0])
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head.encode() + body)
            raw = await reader.readuntil(b"\r\n\r\n")
            status = int(raw.split(b" ", 2)[1])
            found = re.search(rb"content-length: (\d+)", raw.lower())
            if found:
                text = await reader.readexactly(int(found[1]))
            elif b"chunked" in raw.lower():
                text = await read_chunks(reader)
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        text = type(error).__name__.encode()
    finally:
        if writer is not None:
            writer.transport.abort()
    record.add("answered", id=request_id, status=status, text=text[:60])
    return Answer(request_id, sent_at, record.now(), status, text)


def manifest(version, routes, services, tenants=None):
    """Returns a manifest."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": tenants or [{"Name": "acme", "ApiKeys": [KEY]}],
    }


def route(name, kind, service, *, timeout_ms=600, attempts=2, **more):
    """Returns a route of a manifest."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "RouteKind": kind,
        "TimeoutMs": timeout_ms,
        "GoalMs": 125,
        "Priority": 0,
        "MaxAttempts": attempts,
        "Service": service,
        **more,
    }


def run_case(folder, case):
    """Runs a case and exits with its result.

    Args:
        folder: Folder of the case, for ``record.txt``.
        case: Async function of a ``Record`` and a temporary folder that returns the
            exit code.
    """
    record = Record(folder)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = anyio.run(case, record, temporary)
        except Exception as error:  # The case could not run.
            record.add("failed", error=repr(error))
            print(f"could not run: {error!r}")
            code = NOT_RUN
    record.add("end", code=code)
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
