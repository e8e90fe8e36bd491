"""A request that crashes the servers that run it, before several real gateways.

Guards against a request that its caller repeats at one gateway after the other and that
crashes one server after the other, because no gateway knows of its earlier crashes.
"""

import time

import anyio
import pytest

from pistachiowell.soak.tests.crashing_fleet import (
    ABSENCES,
    KNOWN_EVERYWHERE_S,
    MARKER,
    MAX_LATE_SENDS,
    running_fleet,
    wait_until_served,
)

pytestmark = pytest.mark.anyio

CRASHES_UNTIL_KNOWN = 3
KINDS = ("read", "book", "chat", "long")


def crash_times(servers, body):
    """Returns the wall times at which a request crashed a server, in order."""
    crashes = {}
    for line in servers.arrivals():
        if line["body"] == body:
            crashes.setdefault((line["server"], line["process"]), line["at"])
    return sorted(crashes.values())


def late_sends(servers, body, since=float("-inf")):
    """Returns the sends of a request after it must be known everywhere, as times.

    Args:
        servers: The ``ServerProcesses``.
        body: Body of the request.
        since: Wall time in seconds before which arrivals are left out.
    """
    times = crash_times(servers, body)
    if len(times) < CRASHES_UNTIL_KNOWN:
        return []
    known_at = max(times[CRASHES_UNTIL_KNOWN - 1] + KNOWN_EVERYWHERE_S, since)
    return [
        line["at"]
        for line in servers.arrivals()
        if line["body"] == body and line["at"] > known_at
    ]


def wrongly_held(callers):
    """Returns the bodies of requests that crash nothing and were quarantined."""
    return [
        body
        for body, _, code in callers.answers
        if code == "quarantined" and MARKER not in body
    ]


@pytest.mark.parametrize(
    ("gateways", "agents", "engines", "desks"), [(3, 3, 5, 3), (4, 4, 6, 4)]
)
async def test_request_that_crashes_servers_is_sent_on_without_end(
    tmp_path, gateways, agents, engines, desks
):
    async with running_fleet(tmp_path, gateways, agents, engines, desks) as parts:
        _, servers, callers = parts
        async with anyio.create_task_group() as group:
            for kind in KINDS:
                for number in range(6):
                    body = f"healthy {kind} {number}"
                    group.start_soon(_repeat, callers, kind, body, 0.25, 13.0)
            for kind in KINDS:
                body = f"{MARKER} {kind}"
                group.start_soon(_repeat, callers, kind, body, 0.4, 13.0)
    sends = {kind: len(late_sends(servers, f"{MARKER} {kind}")) for kind in KINDS}
    assert max(sends.values()) <= MAX_LATE_SENDS, sends
    assert not wrongly_held(callers)
    served = [status for body, status, _ in callers.answers if status == 200]
    assert len(served) > len(callers.answers) / 2


async def _repeat(callers, kind, body, interval_s, length_s):
    await callers.repeat(kind, body, interval_s=interval_s, length_s=length_s)


async def _crash_three_servers(servers, callers, body):
    with anyio.fail_after(20.0):
        while len(crash_times(servers, body)) < CRASHES_UNTIL_KNOWN:
            await callers.send("book", body, "gate-0")
            await anyio.sleep(0.4)


@pytest.mark.parametrize("absence", ABSENCES)
async def test_router_that_was_away_sends_on_a_request_that_crashes_servers(
    tmp_path, absence
):
    fault, gateway = ABSENCES[absence]
    body = f"{MARKER} book"
    async with running_fleet(tmp_path, 3, 3, 1, 6) as (fleet, servers, callers):
        async with fault(fleet):
            await _crash_three_servers(servers, callers, body)
        await wait_until_served(callers, gateway)
        await anyio.sleep(KNOWN_EVERYWHERE_S)
        since = time.time()
        repeats = {"interval_s": 0.3, "length_s": 2.9, "gateways": [gateway]}
        await callers.repeat("book", body, **repeats)
    sends = late_sends(servers, body, since)
    assert len(sends) <= MAX_LATE_SENDS, sends
    assert not wrongly_held(callers)
