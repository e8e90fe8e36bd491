"""Attempts at silent servers that end as they are given up."""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.core.metrics import Metrics
from pistachiowell.gateway.servers.silence import SilenceMonitor, SilentServer

pytestmark = pytest.mark.anyio


@pytest.fixture
def monitor():
    """Returns a monitor of a process whose time stands still."""
    runtime = SimpleNamespace(now=lambda: 1.0, metrics=Metrics())
    handlers = SimpleNamespace(
        on=lambda message, quick=False: lambda function: function
    )
    loop_watch = SimpleNamespace(add_listener=lambda listener: None)
    return SilenceMonitor(runtime, None, None, handlers, loop_watch)


@pytest.mark.parametrize("has_ended", [True, False])
async def test_answer_that_has_ended_is_given_up(monitor, has_ended):
    outcomes, last_bytes = [], anyio.Event()

    async def attempt():
        server = SimpleNamespace(id="s1")
        try:
            with monitor.watched_attempt(server, 0.1, lambda: True):
                await last_bytes.wait()
                outcomes.append("answered")
        except SilentServer:
            outcomes.append("given up")

    async with anyio.create_task_group() as group:
        group.start_soon(attempt)
        await anyio.sleep(0.01)
        if has_ended:
            last_bytes.set()
        for watch in list(monitor._watches.values()):
            watch.move_on()
    assert outcomes == ["answered" if has_ended else "given up"]
