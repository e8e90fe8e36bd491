"""One part of a prompt crashes the servers, before several real gateways.

Guards against requests of which no two are alike and that crash one server after the
other, because only whole requests are counted; and against sound requests that are
refused because they share their caller and their other parts with them.
"""

import itertools
import random
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

CRASHES_UNTIL_KNOWN = 5
# Sound requests that share parts with crashing ones are served again this long after
# the fifth crash, at least half as often as before.
SERVED_AGAIN_S = 6.0
MIN_SHARE_SERVED = 0.5
FIRST_PART = "f157"
SESSIONS = 12
SEED = 20261204


def crash_times(servers):
    """Returns the wall times at which servers crashed, in order."""
    crashes = {}
    for line in servers.arrivals():
        if line["crashes"]:
            crashes.setdefault((line["server"], line["process"]), line["at"])
    return sorted(crashes.values())


def sends_after(servers, since):
    """Returns the times after ``since`` at which crashing requests reached servers."""
    return [
        line["at"]
        for line in servers.arrivals()
        if line["crashes"] and line["at"] > since
    ]


def late_sends(servers):
    """Returns the times of crashing requests after they must be known everywhere."""
    times = crash_times(servers)
    if len(times) < CRASHES_UNTIL_KNOWN:
        return []
    return sends_after(servers, times[CRASHES_UNTIL_KNOWN - 1] + KNOWN_EVERYWHERE_S)


def share_served(callers, start, end):
    """Returns the share of sound requests of an interval that were served."""
    statuses = [
        status
        for body, status, _ in callers.answers
        if body.startswith("sound") and start <= callers.sent_at[body] < end
    ]
    assert len(statuses) >= 20
    return statuses.count(200) / len(statuses)


def wrongly_quarantined(callers):
    """Returns the bodies of sound requests that were refused as crashing servers."""
    return [
        body
        for body, _, code in callers.answers
        if code == "quarantined" and body.startswith("sound")
    ]


class Traffic:
    """Requests of which no two are alike, to gateways in turn.

    Args:
        callers: The ``Callers``.
        gateways: Names of the gateways.
        first_part: Part that sound and crashing requests have in common.
    """

    def __init__(self, callers, gateways, first_part=FIRST_PART):
        self._callers = callers
        self._gateways = itertools.cycle(gateways)
        self._numbers = itertools.count(1)
        self._first_part = first_part
        self._rng = random.Random(SEED)

    async def send_crashing(self, gateway=None, kind="chat"):
        """Sends a request with the part that crashes servers; returns its answer."""
        return await self._send("crashing", f"{MARKER}01", gateway, kind)

    async def run(self, name, interval_s, length_s):
        """Sends ``sound`` or ``crashing`` requests for some time."""
        end = anyio.current_time() + length_s
        async with anyio.create_task_group() as group:
            while anyio.current_time() < end:
                kind = self._rng.choice(["chat", "chat", "long"])
                part = f"{MARKER}01"
                if name == "sound":
                    part = f"5e{self._rng.randrange(SESSIONS):02}"
                group.start_soon(self._send, name, part, None, kind)
                await anyio.sleep(interval_s * self._rng.uniform(0.5, 1.5))

    async def _send(self, name, part, gateway, kind):
        number = next(self._numbers)
        parts = (self._first_part, part, f"a{number:04}")
        gateway = gateway or next(self._gateways)
        return await self._callers.send(kind, f"{name} {number}", gateway, parts)


@pytest.mark.parametrize(("gateways", "agents", "engines"), [(3, 3, 5), (4, 4, 6)])
async def test_part_of_a_prompt_crashes_servers_without_end(
    tmp_path, gateways, agents, engines
):
    async with running_fleet(tmp_path, gateways, agents, engines, 0) as parts:
        fleet, servers, callers = parts
        traffic = Traffic(callers, list(fleet.addresses))
        async with anyio.create_task_group() as group:
            started_at = time.time()
            group.start_soon(traffic.run, "sound", 0.06, 22.0)
            await anyio.sleep(3.0)
            first_at = time.time()
            group.start_soon(traffic.run, "crashing", 0.4, 19.0)
        ended_at = time.time() - 1.0
    assert len(late_sends(servers)) <= MAX_LATE_SENDS
    crashes = crash_times(servers)
    known_at = crashes[min(len(crashes), CRASHES_UNTIL_KNOWN) - 1]
    before = share_served(callers, started_at, first_at - 1.0)
    after = share_served(callers, known_at + SERVED_AGAIN_S, ended_at)
    assert after >= MIN_SHARE_SERVED * before
    assert not wrongly_quarantined(callers)


async def _crash_servers_until_known(servers, traffic):
    with anyio.fail_after(30.0):
        while len(crash_times(servers)) < CRASHES_UNTIL_KNOWN:
            _, code = await traffic.send_crashing("gate-0")
            if code == "quarantined":
                return
            await anyio.sleep(0.6)


@pytest.mark.parametrize("absence", ABSENCES)
async def test_router_that_was_away_sends_on_parts_that_crash_servers(
    tmp_path, absence
):
    fault, gateway = ABSENCES[absence]
    # A budget would run out while the store is away.
    running = running_fleet(tmp_path, 3, 3, 6, 1, prepaid=None)
    async with running as (fleet, servers, callers):
        names = ["gate-0", "gate-2"]
        traffic, sound = Traffic(callers, names), Traffic(callers, names)
        async with anyio.create_task_group() as group:
            group.start_soon(sound.run, "sound", 0.1, 60.0)
            async with fault(fleet):
                await _crash_servers_until_known(servers, traffic)
            await wait_until_served(callers, gateway)
            await anyio.sleep(KNOWN_EVERYWHERE_S)
            since = time.time()
            for _ in range(8):
                await traffic.send_crashing(gateway)
                await anyio.sleep(0.3)
            group.cancel_scope.cancel()
    assert len(crash_times(servers)) > 1
    assert len(sends_after(servers, since)) <= MAX_LATE_SENDS
    assert not wrongly_quarantined(callers)
