"""Runs one soak: starts the programs, sends load, injects faults, checks answers."""

import socket
import time
from contextlib import suppress
from pathlib import Path
from random import Random

import anyio
import httpcore

from pistachiowell.bench.ports import free_port
from pistachiowell.budgets.restoring import SETTLE_S
from pistachiowell.gateway.requests import EVENT_END
from pistachiowell.platform.standin_documents import (
    USAGE_HEADER,
    caller_headers,
    soak_configuration,
)
from pistachiowell.platform.standins import chunk, event, head
from pistachiowell.soak.doubles import DoubleAnswers
from pistachiowell.soak.endless import EndlessStream
from pistachiowell.soak.fleet import Fleet
from pistachiowell.soak.losses import PLANNED_KINDS
from pistachiowell.soak.oracle import Oracle, RepeatOracle
from pistachiowell.soak.plan import Fault, draw_faults

REQUESTS_PER_S = 25.0
KINDS = ("read", "book", "chat")
# Of a crowd at one gateway. The rest of it are callers whose requests have no route and
# cost the gateway much more than this process.
CROWD_PER_S = 60.0
CROWD_KINDS = ("read", "book")
CROWD_CALLERS = 12
COSTLY_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n" + b"A: b\r\n" * 1800 + b"\r\n"
# The event loop of this process is late from here on, and what it sees as well.
LATE_S = 0.25
COLD_DELAY_S = 0.1
CALLER_TIMEOUT_S = 3.0
# Share of the callers that leave early, and the latest time at which they do.
LEAVING_SHARE = 0.15
MAX_STAY_S = 0.2
# Share of the callers that send over connections which were used before.
KEPT_SHARE = 0.5
# More than the kernel keeps for a connection over loopback.
SLOW_COPIES = 250_000
SLOW_PART_S = 0.015
STOP_INTERVALS_S = 0.5, 2.5
SLOW_SOCKET = [(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)]
PROMPT_TOKENS = 100
EVENTS_PER_STREAM = 4
TOKENS_PER_EVENT = 5
PREPAID_TOKENS = 12_000
SERVICES = {"read": "desk", "book": "desk", "chat": "pool"}
# Few, so that a soak may reach the limit of repeats.
RETRY_RATIO, RETRY_FIXED, RETRY_WINDOW_S = 0.2, 12.0, 10.0
GATEWAY_SETTINGS = {
    # Makes the room for relayed connections small.
    "cpu_share": 0.2,
    "retry_ratio": RETRY_RATIO,
    "retry_fixed": RETRY_FIXED,
    "retry_window_s": RETRY_WINDOW_S,
}


async def soak(seed, length_s, directory, *, is_planned=False):
    """Runs one soak and checks the promises.

    Args:
        seed: Seed of the faults and of the load.
        length_s: Duration of the load in seconds.
        directory: Directory for settings and logs of the processes.
        is_planned: Whether nothing fails: there is only planned work, beside which no
            answer may be lost, also to callers that read slowly.

    Returns:
        The ``Oracle`` after its last check.
    """
    oracle = Oracle(
        PREPAID_TOKENS, repeats=RepeatOracle(RETRY_RATIO, RETRY_FIXED, RETRY_WINDOW_S)
    )
    async with anyio.create_task_group() as group:
        fleet = Fleet(group, directory, free_port, GATEWAY_SETTINGS, has_places=True)
        try:
            await _start_fleet(fleet, oracle, Random(seed))
            faults = draw_faults(
                seed,
                length_s,
                fleet.process_names,
                fleet.link_names,
                has_agents=True,
                servers=list(fleet.server_states),
                gateways=list(fleet.addresses),
                data_centres=sorted(set(fleet.data_centres.values())),
            )
            if is_planned:
                faults = [fault for fault in faults if fault.kind in PLANNED_KINDS]
                faults += _draw_stops(Random(seed), length_s, list(fleet.addresses))
            group.start_soon(_watch_lateness, fleet.places)
            rng = Random(seed)
            async with anyio.create_task_group() as load:
                for name in fleet.addresses if is_planned else ():
                    load.start_soon(_read_slowly, fleet, oracle, name, length_s)
                load.start_soon(_send_load, fleet, oracle, rng, length_s)
                for fault in faults:
                    load.start_soon(_inject_later, fleet, oracle, rng, fault)
        finally:
            fleet.stop()
            group.cancel_scope.cancel()
    oracle.check_totals()
    fleet.record_relaying()
    for server in fleet.servers:
        for at in server.health_checks:
            fleet.places.record_arrival(server.server_id, None, at)
    oracle.checked = fleet.places.counts()
    oracle.violations += fleet.places.violations()
    oracle.violations += fleet.closing.violations()
    oracle.violations += fleet.processes.early_ends
    oracle.violations += oracle.losses.violations()
    return oracle


async def _start_fleet(fleet, oracle, rng):
    fleet.store.era = 1
    await fleet.start_store()
    fleet.configure(soak_configuration(PREPAID_TOKENS))
    for number, data_centre in ((1, "east"), (2, "west")):
        for service, handler in (("desk", _plain_handler), ("pool", _stream_handler)):
            name = f"{service}-{number}"
            handle = _closing_handler(fleet, oracle, rng, name, handler(oracle))
            await fleet.add_server(name, service, handle, data_centre)
    # Gateways rely on what agents report only with three of them.
    for number in (1, 2, 3):
        await fleet.add_agent(f"agent-{number}")
    for number in (1, 2):
        await fleet.add_gateway(f"gate-{number}")
    await fleet.wait_until_registered(5)
    # In an era that is new to their holders grants don't grow at first.
    await anyio.sleep(SETTLE_S)


def _draw_stops(rng, length_s, gateways):
    """Draws stops of gateways throughout a soak."""
    stops, start_s = [], rng.uniform(*STOP_INTERVALS_S)
    while start_s < length_s:
        stops.append(Fault(start_s, "restart", rng.choice(gateways), 0.0))
        start_s += rng.uniform(*STOP_INTERVALS_S)
    return stops


async def _inject_later(fleet, oracle, rng, fault):
    await anyio.sleep(fault.start_s)
    oracle.losses.record_fault(fault)
    if fault.kind == "crowd":
        await _send_crowd(fleet, oracle, rng, fault)
    else:
        await fleet.inject(fault)


async def _watch_lateness(places):
    while True:
        before = time.monotonic()
        await anyio.sleep(0.05)
        now = time.monotonic()
        if now - before > LATE_S:
            places.record_trouble("", before, now)


async def _send_crowd(fleet, oracle, rng, fault):
    """Sends one gateway more than it can serve."""
    async with anyio.create_task_group() as group:
        for _ in range(CROWD_CALLERS):
            group.start_soon(_send_without_pause, fleet.addresses[fault.target])
        more = (CROWD_PER_S, (fault.target,), CROWD_KINDS)
        await _send_load(fleet, oracle, rng, fault.duration_s, *more)
        group.cancel_scope.cancel()


async def _send_without_pause(address):
    host, _, port = address.partition(":")
    while True:
        with suppress(OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                while True:
                    await stream.send(COSTLY_REQUEST)
                    await stream.receive()
        await anyio.sleep(0.02)


async def _send_load(
    fleet, oracle, rng, length_s, per_s=REQUESTS_PER_S, gateways=(), kinds=KINDS
):
    async with (
        httpcore.AsyncConnectionPool() as kept,
        anyio.create_task_group() as group,
    ):
        with anyio.move_on_after(length_s):
            while True:
                await anyio.sleep(rng.expovariate(per_s))
                kind = rng.choice(kinds)
                gateway = rng.choice(gateways or list(fleet.addresses))
                request_id = f"{kind}-{len(oracle.sent_at) + 1}-at-{gateway}"
                leaves = rng.random() < LEAVING_SHARE
                stay_s = rng.uniform(0.0, MAX_STAY_S) if leaves else CALLER_TIMEOUT_S
                oracle.sent_at[request_id] = now = time.monotonic()
                oracle.repeats.record_request(SERVICES[kind], now)
                pool = kept if rng.random() < KEPT_SHARE else None
                names = gateway, kind, request_id
                group.start_soon(_send_request, fleet, oracle, names, stay_s, pool)


async def _read_slowly(fleet, oracle, gateway, length_s):
    """Sends a gateway one request after the other, and reads large answers slowly."""
    begin, count = time.monotonic(), 0
    while (now := time.monotonic()) < begin + length_s:
        count += 1
        request_id = f"read-slowly-{count}-at-{gateway}"
        oracle.sent_at[request_id] = now
        names = gateway, "read", request_id
        async with httpcore.AsyncConnectionPool(socket_options=SLOW_SOCKET) as pool:
            stay_s = 4 * CALLER_TIMEOUT_S
            await _send_request(fleet, oracle, names, stay_s, pool, SLOW_PART_S)
        await anyio.sleep(0.05)


def _plain_body(request_id):
    copies = SLOW_COPIES if request_id.startswith("read-slowly") else 1
    return request_id.encode() * copies


async def _send_request(fleet, oracle, names, stay_s, pool=None, part_s=0.0):
    if pool is None:
        async with httpcore.AsyncConnectionPool() as pool:
            await _send_request(fleet, oracle, names, stay_s, pool)
        return
    gateway, kind, request_id = names
    max_output_tokens = 2 * EVENTS_PER_STREAM * TOKENS_PER_EVENT
    headers = caller_headers(
        request_id, CALLER_TIMEOUT_S, PROMPT_TOKENS, max_output_tokens
    )
    if kind != "chat":
        # Requests without a prompt cost nothing, so they go on when all is spent.
        headers = [pair for pair in headers if pair[0] != USAGE_HEADER]
    status, body, received, is_lost = 0, None, bytearray(), False
    url = f"http://{fleet.addresses[gateway]}/{kind}/{request_id}"
    method = "GET" if kind == "read" else "POST"
    try:
        with anyio.move_on_after(stay_s):
            async with pool.stream(method, url, headers=headers) as response:
                status = response.status
                async for part in response.aiter_stream():
                    received += part
                    await anyio.sleep(part_s)
                body = received
                if (b"server-leaving", b"1") in response.headers:
                    fleet.closing.record_leaving(request_id, gateway)
    except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
        body, is_lost = None, True
    if is_lost or body is not None:
        runs = oracle.run_counts[request_id]
        sent_at = oracle.sent_at[request_id]
        oracle.losses.record_end(request_id, sent_at, is_lost=is_lost, runs=runs)
    events = received.count(EVENT_END) if kind == "chat" else 0
    if events:
        oracle.record_delivered_tokens(request_id, events * TOKENS_PER_EVENT)
    expected = _stream_body() if kind == "chat" else _plain_body(request_id)
    oracle.check_answer(request_id, kind, status, body, expected)


def _stream_body():
    return b"".join(event(number) for number in range(1, EVENTS_PER_STREAM + 1))


def _closing_handler(fleet, oracle, rng, server_id, handle_open):
    """Returns a handler that answers as the state of a server says."""
    closing = fleet.closing
    service = server_id.partition("-")[0]
    doubles = DoubleAnswers(rng, oracle)

    async def handle(request, stream):
        request_id = request.headers["pistachiowell-attempt-id"]
        gateway = request_id.partition("-at-")[2]
        state, run = fleet.server_states[server_id], fleet.run_of(server_id)
        closing.record_arrival(run, gateway, oracle.sent_at[request_id])
        now = time.monotonic()
        fleet.places.record_arrival(server_id, gateway, now)
        oracle.repeats.record_arrival(service, request_id, now)
        refusal = state.refusal(request)
        if state.is_leaving:
            closing.record_answer(run, request_id)
        if state.is_endless:
            stream = EndlessStream(stream, rng)
        if state.cold_left_s:
            await anyio.sleep(COLD_DELAY_S)
        if refusal is None and state.is_double and service == "desk":
            return await doubles.answer(request, stream, state.headers())
        if refusal is None:
            oracle.record_first_answer(request_id, 200)
            return await handle_open(request, stream, state.headers())
        await stream.send(refusal)
        closing.record_pause(run, gateway, state.paused_until - time.monotonic())
        return True

    return handle


def _plain_handler(oracle):
    async def handle(request, stream, more):
        request_id = request.headers["pistachiowell-attempt-id"]
        oracle.record_run(request_id, 0)
        await anyio.sleep(0.01)
        body = _plain_body(request_id)
        text = head(request, Content_Length=str(len(body)), **more)
        await stream.send(f"{text}\r\n".encode() + body)
        return True

    return handle


def _stream_handler(oracle):
    async def handle(request, stream, more):
        request_id = request.headers["pistachiowell-attempt-id"]
        oracle.record_run(request_id, PROMPT_TOKENS)
        text = head(
            request,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
            **more,
        )
        await stream.send((text + "\r\n").encode())
        # A resumed stream goes on after the last event that the caller has received.
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS_PER_STREAM + 1):
            await anyio.sleep(0.03)
            await stream.send(chunk(event(number)))
        await stream.send(b"0\r\n\r\n")
        return True

    return handle


def create_log_directory(root, seed):
    """Creates the directory for the logs of a seed, if missing, and returns it."""
    directory = Path(root) / f"seed-{seed}"
    directory.mkdir(parents=True, exist_ok=True)
    return directory
