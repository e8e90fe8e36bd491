"""Tests which requests of a gateway are reported as in progress at a server's crash.

Guards against a healthy request that is reported for a crash it had no part in, and
against a server that is taken for crashed because it was found at an old address.
"""

from contextlib import asynccontextmanager
from functools import partial
from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.catalog import BackendServer
from pistachiowell.gateway.connections.exchange import ConnectionBroken, NotConnected
from pistachiowell.gateway.servers.server_crashes import ServerCrashes
from pistachiowell.routing import PartInProgress

pytestmark = pytest.mark.anyio


class FakeCandidates:
    """Records the reported crashes."""

    def __init__(self):
        self.reports = []
        self.cleared = []

    def report_crash(self, server, fingerprints, parts):
        self.reports.append((server, fingerprints, parts))

    def clear(self, fingerprint, parts):
        self.cleared += [fingerprint, *parts]


@pytest.fixture
def candidates():
    return FakeCandidates()


@pytest.fixture
async def crashes(candidates):
    """Yields a ``ServerCrashes`` whose checks run."""
    async with anyio.create_task_group() as group:
        crashes = ServerCrashes(candidates, anyio.current_time)
        group.start_soon(crashes.run)
        await anyio.sleep(0)
        yield crashes
        group.cancel_scope.cancel()


def server(port, started_ms=1):
    return BackendServer("s", "desk", "127.0.0.1", port, "east", started_ms=started_ms)


def request(fingerprint, *parts):
    return SimpleNamespace(fingerprint=fingerprint, part_names=parts)


async def run_attempt(crashes, backend, fingerprint, error, until=None, parts=()):
    """Runs an attempt that ends with an error, after an event if one is given."""
    with pytest.raises(type(error)):
        async with crashes.tracked_attempt(backend, request(fingerprint, *parts)):
            if until is not None:
                await until.wait()
            raise error


@asynccontextmanager
async def listening():
    """Yields the port of a server that accepts connections."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")

    async def keep(stream):
        async with stream:
            await anyio.sleep_forever()

    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, keep)
        yield listener.extra(anyio.abc.SocketAttribute.local_port)
        group.cancel_scope.cancel()


async def test_crash_is_reported_once_with_the_requests_that_reached_the_server(
    crashes, candidates, free_port
):
    backend, crashed = server(free_port()), anyio.Event()
    broken = ConnectionBroken("broke off")
    async with anyio.create_task_group() as group:
        for name in ("a", "b"):
            group.start_soon(run_attempt, crashes, backend, name, broken, crashed)
        refused = NotConnected("refused")
        group.start_soon(run_attempt, crashes, backend, "c", refused, crashed)
        async with crashes.tracked_attempt(backend, request("answered")) as attempt:
            attempt.was_answered = True
        await anyio.sleep(0.01)
        crashed.set()
    assert candidates.reports == [("s", ("a", "b"), ())]
    assert candidates.cleared == ["answered"]


async def test_broken_connection_of_a_server_that_listens_is_no_crash(
    crashes, candidates
):
    async with listening() as port:
        await run_attempt(crashes, server(port), "a", ConnectionBroken("broke off"))
        await anyio.sleep(1.2)
    assert candidates.reports == []


async def test_crash_is_missed_as_its_check_is_reset_with_the_port(
    crashes, candidates, free_port, monkeypatch
):
    connect, errors = anyio.connect_tcp, [ConnectionResetError(104, "reset")]

    async def connect_to_port_that_closes(host, port):
        if errors:
            raise OSError("All connection attempts failed") from errors.pop()
        return await connect(host, port)

    monkeypatch.setattr(anyio, "connect_tcp", connect_to_port_that_closes)
    crashed = ConnectionBroken("broke off")
    await run_attempt(crashes, server(free_port()), "a", crashed)
    with anyio.move_on_after(1.2):
        while not candidates.reports:
            await anyio.sleep(0.01)
    assert candidates.reports == [("s", ("a",), ())]


async def test_server_that_moved_is_not_checked_at_its_old_address(
    crashes, candidates, free_port
):
    stays = anyio.Event()
    async with listening() as port, anyio.create_task_group() as group:
        old, new = server(free_port()), server(port, started_ms=2)
        left = NotConnected("refused")
        group.start_soon(run_attempt, crashes, old, "old", left, stays)
        await anyio.sleep(0.01)
        await run_attempt(crashes, new, "new", ConnectionBroken("broke off"))
        await anyio.sleep(1.2)
        stays.set()
    assert candidates.reports == []


async def run_prompt(crashes, backend, name, part, until, *, begun_for_s=None):
    """Runs an attempt on a prompt with a part until its server crashes."""
    with pytest.raises(ConnectionBroken):
        async with crashes.tracked_attempt(backend, request(name, part)) as attempt:
            if begun_for_s is not None:
                attempt.record_begin()
                attempt.begun_at -= begun_for_s
            await until.wait()
            raise ConnectionBroken("broke off")


async def test_parts_are_reported_by_what_the_server_had_begun_to_answer(
    crashes, candidates, free_port
):
    backend, crashed = server(free_port()), anyio.Event()
    async with anyio.create_task_group() as group:
        for name, part, begun_for_s in [
            ("a", "part-1", 0.1),
            ("b", "part-1", None),
            ("c", "part-2", None),
            ("d", "part-3", 5.0),
        ]:
            run = partial(run_prompt, begun_for_s=begun_for_s)
            group.start_soon(run, crashes, backend, name, part, crashed)
        await anyio.sleep(0.01)
        crashed.set()
    (_, names, parts), *others = candidates.reports
    assert (names, others) == (("a", "b", "c", "d"), [])
    assert parts == (
        PartInProgress("part-1", ("a",), ("b",)),
        PartInProgress("part-2", (), ("c",)),
    )


@pytest.mark.parametrize(
    ("status", "is_framed", "cleared"),
    [
        (200, True, ["a", "part-1"]),
        (404, True, ["a"]),
        (500, True, []),
        (200, False, []),
    ],
)
async def test_part_is_cleared_by_an_answer_that_ended_well_only(
    crashes, candidates, status, is_framed, cleared
):
    head = SimpleNamespace(status=status, is_success=status == 200)
    async with listening() as port:
        attempts = crashes.tracked_attempt(server(port), request("a", "part-1"))
        async with attempts as attempt:
            attempt.record_answer(head, is_framed=is_framed)
    assert candidates.cleared == cleared


async def test_answer_that_ends_with_its_connection_does_not_hide_a_crash(
    crashes, candidates, free_port
):
    head = SimpleNamespace(status=200, is_success=True)
    attempts = crashes.tracked_attempt(server(free_port()), request("a", "part-1"))
    async with attempts as attempt:
        attempt.record_begin()
        attempt.record_answer(head, is_framed=False)
    await anyio.sleep(0.05)
    assert candidates.reports == [("s", ("a",), (PartInProgress("part-1", ("a",)),))]
