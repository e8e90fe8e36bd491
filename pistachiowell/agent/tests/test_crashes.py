"""Guards against a server that stands still and is taken for one that has crashed.

Guards as well against a crash of which a router never hears, as its link is lost.
"""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.agent import crashes
from pistachiowell.agent.crashes import CrashDetector
from pistachiowell.core.metrics import Metrics
from pistachiowell.engines import HttpBackend, http
from pistachiowell.wire import AcknowledgedReports, Handlers, LinkSet
from pistachiowell.wire.tests.lossy_links import LossyLink

pytestmark = pytest.mark.anyio


@pytest.fixture
def detects(monkeypatch):
    """Returns a function that checks the server at a port after a lost connection."""
    monkeypatch.setattr(http, "CONNECT_TIMEOUT_S", 0.1)
    monkeypatch.setattr(crashes, "PROBE_DELAYS_S", (0.0, 0.02))

    async def detect(port, links=()):
        detect.link_set = link_set = LinkSet()
        runtime = SimpleNamespace(
            now=anyio.current_time,
            metrics=Metrics(),
            events=SimpleNamespace(add=lambda kind, text: None),
            settings=SimpleNamespace(server="s1"),
        )
        backend = HttpBackend(f"http://127.0.0.1:{port}")
        gate = SimpleNamespace(refuse_fingerprints=lambda *args: None)
        reports = AcknowledgedReports(runtime, link_set, Handlers())
        detector = CrashDetector(runtime, reports, backend, gate)
        for link in links:
            link_set.add(link)
        detector.record_start("r1", "f1")
        return await detector.detect_crash()

    return detect


async def test_server_that_takes_no_connection_in_time_counts_as_crashed(
    detects, free_port
):
    port = free_port()
    connections = []
    async with await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=port, backlog=1
    ):
        # Nobody accepts, so connections wait once the queue is full.
        with anyio.move_on_after(0.5):
            for _ in range(10):
                connections.append(await anyio.connect_tcp("127.0.0.1", port))
        assert not await detects(port)
    for connection in connections:
        await connection.aclose()


async def test_server_without_a_listener_counts_as_crashed(detects, free_port):
    assert await detects(free_port())


async def test_router_never_hears_of_a_crash_as_its_link_is_lost(detects, free_port):
    lost = LossyLink("router-1")
    assert await detects(free_port(), [lost])
    assert [report.server for report in lost.sent] == ["s1"]
    lost.lose()
    await anyio.sleep(0.1)
    link = LossyLink("router-1")
    detects.link_set.add(link)
    [again], [report] = link.sent, lost.sent
    assert (again.crash_id, again.number) == (report.crash_id, report.number)
    assert again.age_s >= 0.1
