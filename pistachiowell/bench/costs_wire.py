"""Marginal costs of messages and links between processes.

They are measured in this process; both ends of a link run in it, over loopback.
"""

import gc
import time
import tracemalloc
from contextlib import AsyncExitStack

import anyio

from pistachiowell.bench.marginal_costs import (
    US_PER_S,
    MarginalCost,
    cpu_us,
    measurement,
)
from pistachiowell.bench.ports import free_port
from pistachiowell.core.clock import HybridClock, Stamp
from pistachiowell.schema.generated.messages_budgets import (
    ReserveTokens,
    SettleTokens,
    TokensReserved,
    TokensSettled,
)
from pistachiowell.schema.generated.messages_requests import (
    AnswerChunk,
    AnswerCredit,
    AnswerEnd,
    AnswerStart,
    Hello,
    LoadReport,
    Ping,
    Pong,
    RunRequest,
)
from pistachiowell.schema.generated.messages_tables import RowsNotice, RowsQuery
from pistachiowell.wire import FrameReader, Handlers, connect, encode_frame, serve

MESSAGE_COUNT = 5000
CALL_COUNT = 2000
LINK_COUNT = 100
CHUNK_BYTES = 210
BODY_BYTES = 600

_REQUEST = "request-0123456789abcdef0123456789abcdef"
_GRANT = "grant-0123456789abcdef0123456789abcdef"
_HOLDER = "router-0123456789abcdef0123456789abcdef"
_STAMP = Stamp(1_790_000_000_000_000_000, 3)

SAMPLES = (
    Ping(table_revision=123456),
    Pong(table_revision=123456),
    RowsNotice(revision=123456),
    RowsQuery(after_revision=123456),
    LoadReport("model-server-123", "belt-model-1", 7, 2, 16, table_revision=123456),
    ReserveTokens("shop-kumasi", _REQUEST, 1500),
    TokensReserved(_REQUEST, _GRANT, _HOLDER, 1500),
    SettleTokens("shop-kumasi", _REQUEST, _GRANT, 400),
    TokensSettled(_REQUEST),
    RunRequest(
        _REQUEST,
        1,
        "shop-kumasi",
        "chat",
        "belt-model-1",
        "POST",
        "/v1/chat/completions",
        b"x" * BODY_BYTES,
        grant_id=_GRANT,
        holder=_HOLDER,
    ),
    AnswerStart(_REQUEST, 1, 200, "text/event-stream"),
    AnswerChunk(_REQUEST, 1, 4096, b"x" * CHUNK_BYTES),
    AnswerCredit(_REQUEST, 1, CHUNK_BYTES),
    AnswerEnd(_REQUEST, 1, 8192, 100, 250),
)


@measurement("messages")
def measure_messages():
    """Measures the encoding and decoding of each control and data message."""
    costs = []
    for message in SAMPLES:
        name = type(message).__name__
        data = encode_frame(message, 0, _STAMP)
        costs.append(
            MarginalCost(
                f"encode {name}",
                MESSAGE_COUNT,
                cpu_us(lambda n, m=message: _encode(m, n), MESSAGE_COUNT),
                len(data),
            )
        )
        costs.append(
            MarginalCost(
                f"decode {name}",
                MESSAGE_COUNT,
                cpu_us(lambda n, d=data: _decode(d, n), MESSAGE_COUNT),
                len(data),
            )
        )
    return costs


def _encode(message, count):
    for _ in range(count):
        encode_frame(message, 0, _STAMP)


def _decode(data, count):
    reader = FrameReader()
    for _ in range(count):
        reader.feed(data)


@measurement("links")
def measure_links():
    """Measures one-way messages, calls and the memory of idle links."""
    return anyio.run(_measure_links)


async def _measure_links():
    hello = Hello("router", "bench", "bench", "osu")
    clock = HybridClock(time.time_ns)
    handlers = Handlers()
    received = [0]
    complete = anyio.Event()

    @handlers.on(Ping, quick=True)
    async def answer(link, message):
        return Pong()

    @handlers.on(LoadReport)
    async def count_report(link, message):
        received[0] += 1
        if received[0] == CALL_COUNT:
            complete.set()

    port = free_port()
    async with anyio.create_task_group() as group:
        await group.start(_serve, port, hello, handlers, clock)
        async with connect("127.0.0.1", port, hello, Handlers(), clock) as link:
            started = time.process_time()
            for _ in range(CALL_COUNT):
                await link.call(Ping(), 5.0)
            calls_s = time.process_time() - started
            report = SAMPLES[4]
            started = time.process_time()
            for _ in range(CALL_COUNT):
                link.send(report)
                await anyio.sleep(0)
                await anyio.sleep(0)
            await complete.wait()
            sends_s = time.process_time() - started
        link_bytes = await _measure_link_memory(port, hello, clock)
        group.cancel_scope.cancel()
    return [
        MarginalCost("link held, both ends", LINK_COUNT, memory_bytes=link_bytes),
        MarginalCost("call Ping, both ends", CALL_COUNT, _us(calls_s, CALL_COUNT)),
        MarginalCost(
            "send LoadReport, both ends", CALL_COUNT, _us(sends_s, CALL_COUNT)
        ),
    ]


async def _measure_link_memory(port, hello, clock):
    """Returns the memory of both ends of one idle link in bytes."""
    gc.collect()
    tracemalloc.start()
    async with AsyncExitStack() as stack:
        for _ in range(LINK_COUNT):
            context = connect("127.0.0.1", port, hello, Handlers(), clock)
            link = await stack.enter_async_context(context)
            await link.call(Ping(), 5.0)
        total_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(total_bytes / LINK_COUNT)


async def _serve(port, hello, handlers, clock, *, task_status):
    await serve("127.0.0.1", port, hello, handlers, clock, task_status=task_status)


def _us(seconds, count):
    return round(seconds / count * US_PER_S, 2)
