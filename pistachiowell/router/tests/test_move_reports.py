"""Guards against counts of a move that are lost or counted twice with a report."""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.core.errors import LinkLost, LinkTimeout, PistachiowellError
from pistachiowell.moves.tracker import MoveTracker
from pistachiowell.router.move_reports import MoveReports, OpenMove
from pistachiowell.schema.generated.messages_requests import Failure
from pistachiowell.schema.generated.table import MoveRow
from pistachiowell.wire import Handlers

pytestmark = pytest.mark.anyio

ROW = MoveRow("move", "m1", "chat", "v1", "v2", "2026-01-01T00:00:00Z")


class Evidence:
    """Takes the place of the ``MoveController`` of a holder."""

    is_version_suspected = False

    def __init__(self):
        self.answers = 0
        self.is_suspected = False

    def record_answers(self, answer, began, count):
        self.answers += count

    def suspect_version(self, now):
        self.is_suspected = True

    def share(self):
        return 0.1

    def grant_probes(self, router, probes_left, now):
        return 0


class Router:
    """A router with one open move."""

    def __init__(self, name):
        self.name = self.incarnation = name
        self.hello = SimpleNamespace(id=name, incarnation=name)
        self.handlers, self.fleet = Handlers(), Fleet()
        settings = SimpleNamespace(id=name, data_centre="osu")
        runtime = SimpleNamespace(now=lambda: 100.0, settings=settings)
        self.candidate = SimpleNamespace(
            holder="", fence=1, controller=None, wake=lambda: None
        )
        self.move = OpenMove(MoveTracker(ROW), self.candidate)
        self.is_open = True
        self.reports = MoveReports(
            runtime, self.fleet, self.handlers, lambda name: self.open_move
        )

    @property
    def open_move(self):
        return self.move if self.is_open else None

    def answer(self, failed=False, version="v1"):
        self.move.tracker.record_answer(version, "s1", "osu", failed, 99.0, 99.5)

    def link_to(self, other):
        record = SimpleNamespace(
            id=other.name, incarnation=other.incarnation, data_centre="osu"
        )
        link = Link(self, other)
        self.fleet.routers[other.name] = SimpleNamespace(
            record=record, link=link, usable=True
        )
        return link


class Fleet:
    """The routers that a router knows."""

    def __init__(self):
        self.routers = {}

    def router_of(self, incarnation):
        for peer in self.routers.values():
            if peer.record.incarnation == incarnation and peer.usable:
                return peer
        return None


class Link:
    """A link whose calls may be lost on their way or on their way back."""

    closed = False

    def __init__(self, sender, receiver):
        self.hello = sender.hello
        self.receiver = receiver
        self.is_cut = self.loses_replies = False
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    async def call(self, message, timeout_s):
        if self.is_cut:
            raise LinkLost("The link was lost before the reply.")
        try:
            reply = await self.receiver.handlers.find(message)(self, message)
        except PistachiowellError as error:
            reply = Failure(str(error.code), error.message)
        if self.loses_replies:
            raise LinkTimeout("No reply.")
        return reply or Failure("message_invalid", "No reply.")


@pytest.fixture
def routers():
    """Returns a router, a holder of the move and a router that may take it over."""
    router, holder, other = Router("router"), Router("holder"), Router("other")
    holder.candidate.controller = Evidence()
    router.candidate.holder = "holder"
    return router, holder, other


@pytest.mark.parametrize("fault", ["is_cut", "loses_replies"])
async def test_counts_of_a_report_without_an_answer_are_lost_or_counted_twice(
    routers, fault
):
    router, holder, _ = routers
    link = router.link_to(holder)
    for number in range(5):
        router.answer()
        setattr(link, fault, number % 2 == 0)
        await router.reports.report(router.move)
    assert holder.candidate.controller.answers in (4, 5)
    setattr(link, fault, False)
    await router.reports.report(router.move)
    assert holder.candidate.controller.answers == 5


async def test_trip_of_a_circuit_breaker_is_lost_with_its_report(routers):
    router, holder, _ = routers
    link = router.link_to(holder)
    router.move.tracker.record_trip()
    link.is_cut = True
    await router.reports.report(router.move)
    link.is_cut = False
    await router.reports.report(router.move)
    assert holder.candidate.controller.is_suspected


async def test_counts_that_a_dead_holder_had_not_confirmed_are_lost(routers):
    router, holder, other = routers
    router.link_to(holder).is_cut = True
    router.answer()
    await router.reports.report(router.move)
    del router.fleet.routers["holder"]
    router.link_to(other)
    other.candidate.controller, router.candidate.holder = Evidence(), "other"
    await router.reports.report(router.move)
    assert other.candidate.controller.answers == 1


async def test_counts_in_doubt_reach_two_routers(routers):
    router, watcher, holder = routers
    watcher.candidate.controller = None
    link = router.link_to(watcher)
    link.loses_replies = True
    router.answer()
    await router.reports.report(router.move)
    # The link to the new holder opens while the watcher passes the counts on.
    holder.candidate.controller = Evidence()
    for process in (router, watcher):
        process.link_to(holder)
        process.candidate.holder = "other"
        await process.reports.report(process.move)
    link.loses_replies = False
    await router.reports.send_again(router.move)
    await watcher.reports.report(watcher.move)
    assert holder.candidate.controller.answers == 1


async def test_counts_for_a_router_that_does_not_know_the_move_are_lost(routers):
    router, holder, _ = routers
    router.link_to(holder)
    holder.is_open = False
    router.answer()
    await router.reports.report(router.move)
    holder.is_open = True
    await router.reports.report(router.move)
    assert holder.candidate.controller.answers == 1


async def test_urgent_failure_waits_for_the_next_interval(routers):
    router, holder, _ = routers
    link = router.link_to(holder)
    call = link.call

    async def call_slowly(message, timeout_s):
        await anyio.sleep(0.02)
        return await call(message, timeout_s)

    link.call = call_slowly
    router.answer(failed=True, version="v2")
    async with anyio.create_task_group() as group:
        group.start_soon(router.reports.report, router.move)
        await anyio.sleep(0.01)
        router.answer(failed=True, version="v2")
        group.start_soon(router.reports.report, router.move)
    assert holder.candidate.controller.answers == 2
