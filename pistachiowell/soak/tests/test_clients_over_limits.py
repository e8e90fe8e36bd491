"""Clients that exceed the limits, before one real process.

Guards against processes that run out of memory or descriptors, or that answer nobody
any more, because of clients that nobody controls. The crowds and the bounds are fixed;
nothing here depends on the speed of the computer.
"""

import resource
from contextlib import asynccontextmanager, contextmanager

import anyio
import httpcore
import pytest

from pistachiowell.core.clock import Stamp
from pistachiowell.platform.headers import READY_PATH
from pistachiowell.platform.standin_documents import caller_headers, soak_configuration
from pistachiowell.platform.standins import head
from pistachiowell.schema.generated.messages_control import StatusQuery
from pistachiowell.soak.fleet import HOST, Fleet
from pistachiowell.soak.tests.client_crowd import Cost, Crowd
from pistachiowell.wire.codec import LENGTH_BYTES, MAX_FRAME_BYTES, encode_frame

pytestmark = pytest.mark.anyio

# Memory of the smallest gateway and of an agent. What clients cause may take a third.
MEMORY_MB = {"gate-1": 152, "agent-1": 232}
GROWTH_SHARE = 1 / 3
DESCRIPTORS = 256
# The rest is left for links, servers and files.
MAX_DESCRIPTORS = 240
# Each more than there are descriptors.
MANY = 300
LARGE_ANSWER = b"x" * 2_000_000
MAX_BODY_BYTES = 4_194_304
ANSWER_LIMIT_S = 30.0

HEADERS = b"".join(
    b"%b: %b\r\n" % pair for pair in caller_headers("read-1", 3.0, 0, 0)[:-1]
)
GET = b"GET /read/x HTTP/1.1\r\n" + HEADERS
GET_LARGE = b"GET /read/large HTTP/1.1\r\n" + HEADERS
POST = b"POST /read/x HTTP/1.1\r\n" + HEADERS
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
WITH_LENGTH = POST + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
NO_KEY = CHUNKED.replace(b"Api-Key", b"Api-Kex")
SHORT_LINES = b"".join(b"x%d: y\r\n" % number for number in range(900))
ODD_LINES = b"!#$~: \t;\r\na:\r\n" * 900
READY = b"GET %b HTTP/1.1\r\nHost: x\r\n" % READY_PATH.encode()
METRICS = b"GET /metrics HTTP/1.1\r\nHost: x\r\n"
CALLS = b"".join(encode_frame(StatusQuery(), n, Stamp(1, 0)) for n in range(1, 500))
UNFINISHED_FRAME = MAX_FRAME_BYTES.to_bytes(LENGTH_BYTES) + bytes(MAX_FRAME_BYTES - 1)

CROWDS = {
    "long-header-lines": Crowd(GET, b"x: %b\r\n" % (b"y" * 4_000) * 16),
    "short-header-lines": Crowd(GET, b"a: b\r\n" * 5_000),
    "one-header-line": Crowd(GET + b"x: ", b"y" * 65_536),
    "a-request-line": Crowd(b"GET /", b"a" * 65_536),
    "empty-lines": Crowd(b"", b"\r\n" * 32_768),
    "trailers": Crowd(CHUNKED + b"0\r\n", b"a: b\r\n" * 5_000),
    "chunk-sizes": Crowd(CHUNKED, b"0" * 65_536),
    "chunk-extensions": Crowd(CHUNKED + b"3;", b"e" * 65_536),
    "heads-of-short-lines": Crowd(b"", (GET + SHORT_LINES + b"\r\n") * 4),
    "heads-of-odd-lines": Crowd(b"", (GET + ODD_LINES + b"\r\n") * 4),
    "heads-of-equal-lines": Crowd(b"", (GET + b"a: b\r\n" * 1_800 + b"\r\n") * 4),
    "answers-not-read": Crowd(b"", (GET + b"\r\n") * 40),
    "large-answers-not-read": Crowd(GET_LARGE + b"\r\n"),
    "bodies-byte-by-byte": Crowd(WITH_LENGTH, b"a", 0.001),
    "bodies-without-an-end": Crowd(WITH_LENGTH + bytes(MAX_BODY_BYTES - 1)),
    "a-body-after-a-refusal": Crowd(NO_KEY, b"ffff\r\n%b\r\n" % bytes(65_535)),
    "connections-that-do-nothing": Crowd(size=MANY),
    "heads-byte-by-byte": Crowd(GET, b"x", 0.2, size=MANY),
    "ready-heads-of-short-lines": Crowd(
        b"", (READY + SHORT_LINES + b"\r\n") * 4, port="ready"
    ),
    "ready-connections-that-do-nothing": Crowd(port="ready", size=MANY),
    "metrics-answers-not-read": Crowd(b"", (METRICS + b"\r\n") * 40, port="metrics"),
    "metrics-connections-that-do-nothing": Crowd(port="metrics", size=MANY),
    "links-connections-that-do-nothing": Crowd(port="link", size=MANY),
    "links-frames-without-an-end": Crowd(UNFINISHED_FRAME, port="link"),
    "links-answers-not-read": Crowd(b"", CALLS, port="link", length_s=2.0),
}


async def answer(request, stream):
    """Answers with a small body, or with a large one if the path says so."""
    body = LARGE_ANSWER if request.target.endswith("large") else b"ok"
    text = head(request, Content_Length=str(len(body))) + "\r\n"
    await stream.send(text.encode() + body)
    return True


@contextmanager
def few_descriptors():
    """Lowers the limit of the processes that are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@asynccontextmanager
async def running_programs(directory, free_port, names):
    """Yields the fleet and the addresses of the attacked ports by name."""
    ports = {name: free_port() for name in ("ready", "metrics")}
    settings = {
        "memory_mb": MEMORY_MB["gate-1"],
        "ready_address": f"{HOST}:{ports['ready']}",
        "metrics_port": ports["metrics"],
        "log_level": "ERROR",
    }
    async with anyio.create_task_group() as group:
        fleet = Fleet(group, directory, free_port, settings)
        try:
            await fleet.start_store()
            fleet.store.put("config", "main", soak_configuration(None))
            await fleet.add_server("desk-1", "desk", answer)
            if "agent-1" in names:
                with few_descriptors():
                    await fleet.add_agent("agent-1")
                ports["link"] = fleet.link_ports["agent-1"]
            with few_descriptors():
                await fleet.add_gateway("gate-1")
            ports["http"] = int(fleet.addresses["gate-1"].rpartition(":")[2])
            if "agent-1" in names:
                await fleet.wait_until_registered(len(names))
            yield fleet, {name: (HOST, port) for name, port in ports.items()}
        finally:
            fleet.stop()
            group.cancel_scope.cancel()


async def ask_until_answered(address):
    """Sends an ordinary request until it is answered, as a refused caller does."""
    url = f"http://{address}/read/x"
    headers = caller_headers("read-2", 3.0, 0, 0)[:-1]
    with anyio.fail_after(ANSWER_LIMIT_S):
        while True:
            try:
                async with httpcore.AsyncConnectionPool() as pool:
                    reply = await pool.request("GET", url, headers=headers)
            except httpcore.NetworkError:
                reply = None
            if reply is not None and reply.status == 200:
                return reply.content
            await anyio.sleep(0.1)


@pytest.mark.parametrize("kind", CROWDS)
async def test_process_outlives_clients_over_the_limits(kind, tmp_path, free_port):
    crowd = CROWDS[kind]
    names = ["gate-1", "agent-1"] if crowd.port == "link" else ["gate-1"]
    name = names[-1]
    async with running_programs(tmp_path, free_port, names) as (fleet, addresses):
        assert await ask_until_answered(fleet.addresses["gate-1"]) == b"ok"
        cost, is_over = Cost(fleet.pid(name)), anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(cost.sample)
            for _ in range(crowd.size):
                group.start_soon(crowd.play_client, addresses[crowd.port], is_over)
            await anyio.sleep(crowd.length_s)
            is_over.set()
            content = await ask_until_answered(fleet.addresses["gate-1"])
            group.cancel_scope.cancel()
        print(f"{kind}: grew by {cost.grown_mb} MB, {cost.descriptors} descriptors")
        assert fleet.exit_code(name) is None
        assert content == b"ok"
        assert cost.grown_mb < MEMORY_MB[name] * GROWTH_SHARE
        assert cost.descriptors <= MAX_DESCRIPTORS
