"""A second attempt runs beside one whose answer is slow.

Guards against callers that wait for one server that was held up, against two answers
or none to one request, and against servers that go on with what nobody waits for.
"""

from collections import Counter
from contextlib import asynccontextmanager
from functools import partial

import anyio
import pytest

from pistachiowell.admission.overload import FairShareOverload
from pistachiowell.gateway.common.report_rounds import RoundSettings
from pistachiowell.gateway.load import time_reports, times_owner
from pistachiowell.gateway.requests import hedges
from pistachiowell.gateway.selection.selection import Selection
from pistachiowell.gateway.servers.server_crashes import ServerCrashes
from pistachiowell.platform.standins import (
    answer_whole,
    close_without_answer,
    head,
)
from pistachiowell.routing import HedgeSettings, RouteRetries

pytestmark = pytest.mark.anyio

LEARNED = 60
SLOW_S = 0.3


def answer_after(delay_s, body):
    """Returns a script that answers after a time, whoever has left meanwhile."""

    async def script(request, stream):
        await anyio.sleep(delay_s)
        text = head(request, Content_Length=str(len(body)))
        await stream.send(f"{text}\r\n{body}".encode())
        return True

    return script


async def wait_for_end(request, stream):
    """Answers nothing and records when the caller ends the request."""
    try:
        await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        request.ended_at = anyio.current_time()
    return False


async def refuse(request, stream):
    """Rejects the request by its id, which counts on a used connection, too."""
    fields = {"Content_Length": "0", "Pistachiowell_Not_Executed": "1"}
    await stream.send((head(request, "503 Full", **fields) + "\r\n").encode())
    return True


async def answer_unsendably(request, stream):
    """Answers with a head that cannot be passed on."""
    text = head(request, Content_Length="2", X_Odd="\x01")
    await stream.send((text + "\r\nno").encode())
    return True


def close_after(delay_s):
    """Returns a script that closes the connection after a time."""

    async def script(request, stream):
        await anyio.sleep(delay_s)
        return False

    return script


@pytest.fixture
def hedged_rig(start_rig, monkeypatch):
    """Starts two servers that have answered fast; the next requests meet scripts.

    Yields the rig and a list of the arrivals since, each a pair of server and request.
    The scripts are used up in the order of the arrivals. If there are two, the first
    one begins once the second request has arrived, however late the hedge is sent.
    """
    # A slow computer is no load here.
    calm = partial(HedgeSettings, max_transit_s=60.0, max_slow_share=1.0)
    monkeypatch.setattr(hedges, "HedgeSettings", calm)

    @asynccontextmanager
    async def start(*scripts, **settings):
        left, arrivals, hedge_came = [], [], anyio.Event()

        def script_of(name):
            async def script(request, stream):
                arrivals.append((name, request))
                is_hedged = len(left) == 2
                own = left.pop(0) if left else answer_whole
                if is_hedged:
                    await hedge_came.wait()
                else:
                    hedge_came.set()
                return await own(request, stream)

            return script

        async with start_rig() as rig:
            for name in ("desk-1", "desk-2"):
                await rig.add_server(name, "desk", script_of(name))
            await rig.add_agent("agent-1")
            await rig.add_gateway(**{"hedge_share": 0.2, **settings})
            for _ in range(LEARNED):
                await rig.send("/read/a")
            rig.learned_with = counts(rig)
            hedge_came = anyio.Event()
            left.extend(scripts)
            arrivals.clear()
            yield rig, arrivals

    return start


def counts(rig):
    """Returns the counts of the hedges by what became of them."""
    values = rig.gateways[0].metrics.values
    hedges = {name: count for name, count in values.items() if "hedges." in name}
    return Counter({n.removeprefix("hedges."): c for n, c in hedges.items()})


def counted(rig):
    """Returns the counts since the servers were learned."""
    return counts(rig) - rig.learned_with


async def test_slow_server_keeps_the_caller_waiting(hedged_rig):
    async with hedged_rig(wait_for_end, answer_after(0.0, "hedge")) as (rig, arrivals):
        status, _, body = await rig.send("/read/a")
        answered_at = anyio.current_time()
        assert (status, body) == (200, b"hedge")
        assert len({server for server, _ in arrivals}) == len(arrivals) == 2
        loser = arrivals[0][1]
        await rig.until(lambda: getattr(loser, "ended_at", None))
        assert loser.ended_at - answered_at < 0.2
        assert counted(rig) == {"sent": 1, "won": 1}
        # A caller that has its answer has not left before it.
        assert "callers.left" not in rig.gateways[0].metrics.values
        # The one that was cancelled is no worse for it.
        assert rig.gateways[0].failures(arrivals[0][0]) == 0


async def test_hedge_goes_on_after_the_first_answer(hedged_rig):
    first = answer_after(SLOW_S, "first")
    async with hedged_rig(first, wait_for_end) as (rig, arrivals):
        status, _, body = await rig.send("/read/a")
        assert (status, body) == (200, b"first")
        await rig.until(lambda: getattr(arrivals[1][1], "ended_at", None))
        assert counted(rig) == {"sent": 1, "cancelled": 1}


async def test_late_answer_of_the_loser_reaches_the_next_caller(hedged_rig):
    late = answer_after(SLOW_S, "late")
    async with hedged_rig(late, answer_after(0.0, "hedge")) as (rig, arrivals):
        bodies = [(await rig.send("/read/a"))[2]]
        while len(bodies) < 40:
            bodies.append((await rig.send("/read/a"))[2])
            await anyio.sleep(0.01)
    assert bodies == [b"hedge"] + [b"ok"] * 39


async def test_two_answers_at_once_are_both_written(hedged_rig):
    scripts = answer_after(0.02, "first"), answer_after(0.02, "hedge")
    async with hedged_rig(*scripts) as (rig, arrivals):
        answers = [await rig.send("/read/a") for _ in range(5)]
    assert [status for status, _, _ in answers] == [200] * 5
    assert answers[0][2] in (b"first", b"hedge")
    assert [body for _, _, body in answers[1:]] == [b"ok"] * 4


@pytest.mark.parametrize("hedge", [refuse, close_without_answer, answer_unsendably])
async def test_failed_hedge_ends_the_first_attempt(hedged_rig, hedge):
    async with hedged_rig(answer_after(SLOW_S, "first"), hedge) as (rig, arrivals):
        status, _, body = await rig.send("/read/a")
        assert (status, body, len(arrivals)) == (200, b"first", 2)
        assert counted(rig) == {"sent": 1}


async def test_failed_first_attempt_ends_the_hedge(hedged_rig):
    scripts = close_after(0.1), answer_after(SLOW_S, "hedge")
    async with hedged_rig(*scripts) as (rig, arrivals):
        status, _, body = await rig.send("/read/a")
        assert (status, body, len(arrivals)) == (200, b"hedge", 2)


@pytest.mark.parametrize("second", [close_without_answer, refuse])
async def test_failure_of_both_is_told_as_not_run_or_sent_a_third_time(
    hedged_rig, second
):
    async with hedged_rig(close_after(0.1), second) as (rig, arrivals):
        status, headers, _ = await rig.send("/read/a")
        # The first attempt may have run. The second has not if it was refused, which
        # leaves the route's second attempt.
        may_send_again = second is refuse
        assert (status, len(arrivals)) == ((200, 3) if may_send_again else (502, 2))
        assert b"retry-after" not in headers


async def test_caller_that_leaves_leaves_both_servers_at_work(hedged_rig):
    async with hedged_rig(wait_for_end, wait_for_end) as (rig, arrivals):
        async with anyio.create_task_group() as caller:
            caller.start_soon(rig.send, "/read/a")
            # Not before: a late loop would leave a request that was not hedged yet.
            await rig.until(lambda: len(arrivals) == 2)
            caller.cancel_scope.cancel()
        await rig.until(
            lambda: [hasattr(r, "ended_at") for _, r in arrivals] == [True, True]
        )
        assert counted(rig) == {"sent": 1}


@pytest.mark.parametrize(
    ("path", "method", "settings"),
    [
        ("/book/a", "POST", {}),
        ("/read/a", "GET", {"hedge_share": 0.0}),
        ("/read/a", "GET", {"retry_ratio": 0.0, "retry_fixed": 0}),
    ],
    ids=["may run once", "off", "no retries left"],
)
async def test_request_is_hedged_that_must_not_be(hedged_rig, path, method, settings):
    scripts = [answer_after(0.1, "first")]
    async with hedged_rig(*scripts, **settings) as (rig, arrivals):
        status, _, body = await rig.send(path, method)
        assert (status, body, len(arrivals)) == (200, b"first", 1)
        assert "sent" not in counted(rig)


async def test_prompt_is_hedged(hedged_rig):
    # Its tokens are reserved once, and a second engine would read it again.
    async with hedged_rig(answer_after(0.1, "first")) as (rig, arrivals):
        status, _, body = await rig.send_chat("/read/a")
        assert (status, body, len(arrivals)) == (200, b"first", 1)


@pytest.mark.parametrize(
    ("owner", "name", "replacement"),
    [
        (Selection, "has_open_move", lambda *args: True),
        (Selection, "choose_hedge", lambda *args: None),
        (ServerCrashes, "check", lambda *args: ("desk-1",)),
        (RouteRetries, "may_send_beside", lambda *args: False),
        (FairShareOverload, "refused_share", 0.01),
    ],
    ids=["open move", "no room", "crash suspect", "no attempts left", "load"],
)
async def test_request_is_hedged_although_something_speaks_against_it(
    hedged_rig, monkeypatch, owner, name, replacement
):
    monkeypatch.setattr(owner, name, replacement)
    async with hedged_rig(answer_after(0.1, "first")) as (rig, arrivals):
        assert (await rig.send("/read/a"))[2] == b"first"
        assert len(arrivals) == 1


async def test_hedge_goes_to_a_server_that_was_refused_a_moment_ago(
    hedged_rig,
):
    async with hedged_rig(refuse) as (rig, arrivals):
        assert (await rig.send("/read/a"))[0] == 200
        arrivals.clear()
        for server in rig.servers.values():
            server.script = answer_after(0.1, "first")
        assert (await rig.send("/read/a"))[2] == b"first"
        assert counted(rig) == {"unsent.load": 1}


async def test_gateways_with_few_answers_each_hedge_nothing(start_rig, monkeypatch):
    calm = partial(HedgeSettings, max_transit_s=60.0, max_slow_share=1.0)
    monkeypatch.setattr(hedges, "HedgeSettings", calm)
    monkeypatch.setattr(time_reports, "REPORT_INTERVAL_S", 0.05)
    rounds = RoundSettings(0.05, 0.05, interval_per_gateway_s=0.0)
    monkeypatch.setattr(times_owner, "ROUNDS", rounds)
    scripts = []

    async def script(request, stream):
        own = scripts.pop(0) if scripts else answer_whole
        return await own(request, stream)

    async with start_rig() as rig:
        for name in ("desk-1", "desk-2"):
            await rig.add_server(name, "desk", script)
        await rig.add_agent("agent-1")
        for name in ("gate-1", "gate-2"):
            gateway = await rig.add_gateway(name, hedge_share=0.2)
            for _ in range(LEARNED // 2):
                await rig.send("/read/a")
        metrics = gateway.metrics
        await rig.until(lambda: metrics.values.get("hedges.known_kinds"))
        scripts.extend([wait_for_end, answer_after(0.0, "hedge")])
        assert (await rig.send("/read/a"))[2] == b"hedge"
        assert metrics.values["hedges.won"] == 1
