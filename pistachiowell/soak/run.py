"""One soak: programs, load, faults and checks."""

import itertools
from pathlib import Path
from random import Random

import anyio
import httpcore

from pistachiowell.bench.ports import free_port
from pistachiowell.platform.standin_documents import (
    caller_headers,
    soak_configuration,
)
from pistachiowell.platform.standins import chunk, event, head
from pistachiowell.soak.fleet import Fleet
from pistachiowell.soak.oracle import Oracle
from pistachiowell.soak.plan import draw_faults

REQUESTS_PER_S = 25.0
CALLER_TIMEOUT_S = 3.0
PROMPT_TOKENS = 100
EVENTS = 4
TOKENS_PER_EVENT = 5
PREPAID = 12_000


async def soak(seed, length_s, directory):
    """Runs one soak.

    Args:
        seed: Seed of faults and load.
        length_s: Seconds of load.
        directory: Directory for settings and logs of the processes.

    Returns:
        The ``Oracle`` after its last check.
    """
    oracle = Oracle(PREPAID)
    async with anyio.create_task_group() as group:
        fleet = Fleet(group, directory, free_port)
        try:
            await _start(fleet, oracle)
            faults = draw_faults(seed, length_s, fleet.names, fleet.links)
            async with anyio.create_task_group() as load:
                load.start_soon(_send_load, fleet, oracle, Random(seed), length_s)
                for fault in faults:
                    load.start_soon(_inject_later, fleet, fault)
        finally:
            fleet.stop()
            group.cancel_scope.cancel()
    oracle.finish()
    return oracle


async def _start(fleet, oracle):
    await fleet.start_store()
    fleet.store.put("config", "main", soak_configuration(PREPAID))
    for number in (1, 2):
        await fleet.add_server(f"desk-{number}", "desk", _plain_script(oracle))
        await fleet.add_server(f"pool-{number}", "pool", _stream_script(oracle))
        await fleet.add_agent(f"agent-{number}")
    for number in (1, 2):
        await fleet.add_gateway(f"gate-{number}")
    await fleet.until_registered(4)


async def _inject_later(fleet, fault):
    await anyio.sleep(fault.at_s)
    await fleet.inject(fault)


async def _send_load(fleet, oracle, rng, length_s):
    numbers = itertools.count(1)
    async with anyio.create_task_group() as group:
        with anyio.move_on_after(length_s):
            while True:
                await anyio.sleep(rng.expovariate(REQUESTS_PER_S))
                kind = rng.choice(("read", "book", "chat"))
                address = rng.choice(list(fleet.addresses.values()))
                request_id = f"{kind}-{next(numbers)}"
                group.start_soon(_ask, oracle, address, kind, request_id)


async def _ask(oracle, address, kind, request_id):
    most_tokens = 2 * EVENTS * TOKENS_PER_EVENT
    headers = caller_headers(request_id, CALLER_TIMEOUT_S, PROMPT_TOKENS, most_tokens)
    status, body = 0, None
    url = f"http://{address}/{kind}/{request_id}"
    method = "GET" if kind == "read" else "POST"
    try:
        with anyio.move_on_after(CALLER_TIMEOUT_S):
            async with (
                httpcore.AsyncConnectionPool() as pool,
                pool.stream(method, url, headers=headers) as response,
            ):
                status = response.status
                body = await response.aread()
    except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
        body = None
    expected = _stream_body() if kind == "chat" else request_id.encode()
    oracle.answered(request_id, kind, status, body, expected)


def _stream_body():
    return b"".join(event(number) for number in range(1, EVENTS + 1))


def _plain_script(oracle):
    async def script(seen, stream):
        request_id = seen.headers["pistachiowell-attempt-id"]
        oracle.ran(request_id, 0)
        await anyio.sleep(0.01)
        data = head(seen, Content_Length=str(len(request_id))) + "\r\n" + request_id
        await stream.send(data.encode())
        return True

    return script


def _stream_script(oracle):
    async def script(seen, stream):
        request_id = seen.headers["pistachiowell-attempt-id"]
        oracle.ran(request_id, PROMPT_TOKENS)
        text = head(seen, Content_Type="text/event-stream", Transfer_Encoding="chunked")
        await stream.send((text + "\r\n").encode())
        first = int(seen.headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            await anyio.sleep(0.03)
            await stream.send(chunk(event(number)))
            oracle.generated(request_id, TOKENS_PER_EVENT)
        await stream.send(b"0\r\n\r\n")
        return True

    return script


def log_directory(root, seed):
    """Returns an empty directory for the logs of a seed."""
    directory = Path(root) / f"seed-{seed}"
    directory.mkdir(parents=True, exist_ok=True)
    return directory
