"""Guards against reports that are lost with the link that has queued them."""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.core.clock import HybridClock
from pistachiowell.core.metrics import Metrics
from pistachiowell.schema.generated.messages_membership import SuspectCleared
from pistachiowell.schema.generated.messages_requests import Hello
from pistachiowell.wire import AcknowledgedReports, Handlers, LinkSet, connect, serve
from pistachiowell.wire.tests.lossy_links import LossyLink

pytestmark = pytest.mark.anyio


class Process:
    """A process that sends and receives reports over real links."""

    def __init__(self, name):
        self.clock = HybridClock(lambda: 1)
        self.hello = Hello("router", name, name, "osu")
        self.handlers = Handlers()
        self.links = LinkSet()
        runtime = SimpleNamespace(now=anyio.current_time, metrics=Metrics())
        self.reports = AcknowledgedReports(runtime, self.links, self.handlers)
        self.received = []
        self.on_report = lambda: None
        self.reports.on(SuspectCleared)(self._record)
        self.kept = lambda: runtime.metrics.values["reports.kept"]

    async def _record(self, link, message):
        del link
        self.received.append(int(message.fingerprint))
        self.on_report()


async def until(condition):
    """Waits until a condition holds, or for two seconds."""
    with anyio.move_on_after(2.0):
        while not condition():
            await anyio.sleep(0.01)


@pytest.fixture
async def sender(free_port):
    """Returns a process that serves at ``sender.port``."""
    process = Process("agent")
    process.port = free_port()
    async with anyio.create_task_group() as group:

        async def run(*, task_status):
            await serve(
                "127.0.0.1",
                process.port,
                process.hello,
                process.handlers,
                process.clock,
                on_link=process.links.add,
                task_status=task_status,
            )

        await group.start(run)
        yield process
        group.cancel_scope.cancel()


def linked(process, port):
    return connect("127.0.0.1", port, process.hello, process.handlers, process.clock)


async def test_report_that_a_lost_link_had_queued_is_lost(sender):
    gateway = Process("gateway")
    async with linked(gateway, sender.port):
        await until(lambda: len(sender.links))
        sender.reports.broadcast(SuspectCleared("1"))
        await until(lambda: not sender.kept())
        sender.reports.broadcast(SuspectCleared("2"))
        # Nothing that is queued is written any more.
        sender.links.links[0]._lose()
        await until(lambda: not len(sender.links))
    sender.reports.broadcast(SuspectCleared("3"))
    assert (gateway.received, sender.kept()) == ([1], 2)
    async with linked(gateway, sender.port):
        await until(lambda: not sender.kept())
        assert gateway.received == [1, 2, 3]
    async with linked(gateway, sender.port):
        await until(lambda: len(sender.links))
        sender.reports.broadcast(SuspectCleared("4"))
        await until(lambda: not sender.kept())
    assert gateway.received == [1, 2, 3, 4]


async def test_report_that_is_passed_on_has_the_number_of_another_sender():
    router, agent, other = Process("router"), LossyLink("agent"), LossyLink("other")
    router.links.add(other)

    @router.reports.on(SuspectCleared)
    async def pass_on(link, message):
        router.links.broadcast(message)

    handle = router.handlers.find(SuspectCleared("1"))
    await handle(agent, SuspectCleared("1", number=7))
    assert other.sent == [SuspectCleared("1")]


async def test_report_that_was_applied_and_not_acknowledged_is_applied_again(sender):
    gateway = Process("gateway")
    async with linked(gateway, sender.port) as link:
        await until(lambda: len(sender.links))
        # It is lost after the report was applied, before that is acknowledged.
        gateway.on_report = link._lose
        sender.reports.broadcast(SuspectCleared("1"))
        await until(lambda: not len(sender.links))
    assert (gateway.received, sender.kept()) == ([1], 1)
    gateway.on_report = lambda: None
    async with linked(gateway, sender.port):
        await until(lambda: not sender.kept())
    assert (gateway.received, sender.kept()) == ([1], 0)
