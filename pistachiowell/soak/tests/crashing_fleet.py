"""Fleets of real processes before servers that crash, for tests."""

import itertools
import signal
import time
from contextlib import asynccontextmanager, suppress

import anyio
import httpcore
import msgspec

from pistachiowell.bench.ports import free_port
from pistachiowell.platform.standin_documents import (
    USAGE_HEADER,
    caller_headers,
    soak_configuration,
)
from pistachiowell.soak.fleet import Fleet
from pistachiowell.soak.plan import Fault
from pistachiowell.soak.server_processes import ServerProcesses

MARKER = "crash"
PREPAID_TOKENS = 1_000_000
CALLER_TIMEOUT_S = 3.0
# A crashing request is known everywhere this long after its last counted crash.
KNOWN_EVERYWHERE_S = 3.0
MAX_LATE_SENDS = 3
AWAY = "gate-1"
DOWN_S = 1.0
LEASE_S = 0.6


class Callers:
    """Sends requests to the gateways of a fleet and records the answers.

    Args:
        fleet: The ``Fleet``.

    Attributes:
        answers: Triples of body, status and code of the error; the code is empty for
            other answers, and the status 0 if the answer is incomplete.
        sent_at: Wall time of the latest sending in seconds by body.
        gateway_of: Name of the gateway by id of the request.
        started_at: Wall time of the sending in seconds by id of the request.
        ends: Pairs of the wall time at which the caller left, served or not, and of the
            status, by id of the request.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._numbers = itertools.count(1)
        self.answers = []
        self.sent_at = {}
        self.ends = {}
        self.gateway_of = {}
        self.started_at = {}

    async def send(self, kind, body, gateway, parts=(), wait_s=CALLER_TIMEOUT_S):
        """Sends one request with a new id and records its answer.

        Args:
            kind: Kind of the request; names its route.
            body: Its body.
            gateway: Name of the gateway.
            parts: Ids of the parts of its prompt.
            wait_s: Seconds after which the caller leaves.
        """
        self.sent_at[body] = time.time()
        request_id = f"{kind}-{next(self._numbers)}"
        self.gateway_of[request_id] = gateway
        self.started_at[request_id] = time.time()
        answer = (0, "")
        with anyio.move_on_after(wait_s):
            with suppress(httpcore.NetworkError, httpcore.ProtocolError, OSError):
                answer = await self._exchange(request_id, kind, body, gateway, parts)
        self.ends[request_id] = (time.time(), answer[0])
        self.answers.append((body, *answer))
        return answer

    async def repeat(self, kind, body, *, interval_s, length_s, gateways=None):
        """Sends the same request again and again, to the gateways in turn."""
        names = itertools.cycle(gateways or list(self._fleet.addresses))
        end = anyio.current_time() + length_s
        async with anyio.create_task_group() as group:
            while anyio.current_time() < end:
                group.start_soon(self.send, kind, body, next(names))
                await anyio.sleep(interval_s)

    async def _exchange(self, request_id, kind, body, gateway, parts):
        headers = caller_headers(request_id, CALLER_TIMEOUT_S, 100, 50, parts)
        if kind in ("read", "book"):
            headers = [h for h in headers if h[0] != USAGE_HEADER]
        headers.append((b"Content-Length", b"%d" % len(body)))
        url = f"http://{self._fleet.addresses[gateway]}/{kind}/x"
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "POST", url, headers=headers, content=body.encode()
            )
        if response.status < 400:
            return response.status, ""
        try:
            code = msgspec.json.decode(response.content)["error"]
        except (msgspec.MsgspecError, KeyError):
            code = ""
        return response.status, code


def not_served(callers):
    """Returns the requests that were not served, with status and code of the error."""
    return [answer for answer in callers.answers if answer[1] != 200]


@asynccontextmanager
async def running_fleet(
    directory, gateways, agents, engines, desks, *, prepaid=PREPAID_TOKENS, **options
):
    """Starts a fleet of real processes and yields fleet, servers and callers.

    Args:
        directory: Directory for settings, logs and records.
        gateways: Number of gateways.
        agents: Number of agents.
        engines: Number of servers that answer with streams.
        desks: Number of servers that answer plainly.
        prepaid: Tokens paid for by the account; None for an account without a budget.
        **options: Further options of ``ServerProcesses``.
    """
    async with anyio.create_task_group() as group:
        fleet = Fleet(group, directory, free_port)
        await fleet.start_store()
        servers = ServerProcesses(
            group,
            fleet.store,
            directory,
            free_port,
            MARKER,
            down_s=DOWN_S,
            lease_s=LEASE_S,
            **options,
        )
        try:
            fleet.store.put("config", "main", soak_configuration(prepaid))
            async with anyio.create_task_group() as start:
                for number in range(engines):
                    start.start_soon(servers.add, f"pool-{number}", "pool")
                for number in range(desks):
                    start.start_soon(servers.add, f"desk-{number}", "desk")
            for number in range(agents):
                await fleet.add_agent(f"agent-{number}")
            for number in range(gateways):
                await fleet.add_gateway(f"gate-{number}")
            await fleet.wait_until_registered(agents + gateways)
            await anyio.sleep(1.0)
            yield fleet, servers, Callers(fleet)
        finally:
            fleet.stop()
            servers.stop()
            group.cancel_scope.cancel()


async def wait_until_served(callers, gateway):
    with anyio.fail_after(30.0):
        while (await callers.send("book", "healthy", gateway))[0] != 200:
            await anyio.sleep(0.2)


@asynccontextmanager
async def _paused(fleet):
    fleet.send_signal(AWAY, signal.SIGSTOP)
    yield
    await anyio.sleep(1.0)
    fleet.send_signal(AWAY, signal.SIGCONT)


@asynccontextmanager
async def _killed(fleet):
    yield
    await fleet.inject(Fault(0.0, "kill", AWAY, 0.0))


@asynccontextmanager
async def _all_killed(fleet):
    yield
    await anyio.sleep(1.0)
    async with anyio.create_task_group() as group:
        for name in fleet.process_names:
            group.start_soon(fleet.inject, Fault(0.0, "kill", name, 0.0))


@asynccontextmanager
async def _cut_from_store(fleet):
    fault = Fault(0.0, "link", f"store-{AWAY}", 20.0, "cut")
    async with anyio.create_task_group() as group:
        group.start_soon(fleet.inject, fault)
        await anyio.sleep(0.5)
        yield
        group.cancel_scope.cancel()


@asynccontextmanager
async def _store_silent(fleet):
    fleet.store.mode = "silent"
    yield


@asynccontextmanager
async def _joined(fleet):
    yield
    await fleet.add_gateway("gate-9")


ABSENCES = {
    "paused": (_paused, AWAY),
    "killed": (_killed, AWAY),
    "all-killed": (_all_killed, AWAY),
    "cut-from-store": (_cut_from_store, AWAY),
    "store-silent": (_store_silent, AWAY),
    "joined": (_joined, "gate-9"),
}
