"""Guards against surges of gateways that have not seen how an evacuation ended."""

from types import SimpleNamespace

import pytest

from pistachiowell.catalog import BackendServer, Evacuations, Service
from pistachiowell.core.metrics import Metrics
from pistachiowell.gateway.feeds.evacuation_watch import (
    EvacuationWatcher,
    encode_history,
    encode_version,
)
from pistachiowell.gateway.servers.cold_servers import ColdServers
from pistachiowell.platform import evacuations as codec
from pistachiowell.schema.generated.messages_gateway import AgentReport, EvacuationEnd

COLD_S = 3.0
VERSION = (1, 7)


class Process:
    """A process on a clock that a test sets; it has read that nothing is evacuated."""

    def __init__(self, **settings):
        self.now_s = 100.0
        settings = {"cold_overshoot": 1.5, "cold_extra": 5.0, "regions": {}} | settings
        self.runtime = SimpleNamespace(
            now=lambda: self.now_s,
            metrics=Metrics(),
            settings=SimpleNamespace(id="g1", **settings),
        )
        services = {"desk": Service("desk", 50, cold_s=COLD_S, cold_per_s=12.0)}
        self.state = SimpleNamespace(
            catalog=SimpleNamespace(services=services),
            evacuations=Evacuations(is_used=True),
            has_servers=False,
            servers=SimpleNamespace(known={}),
        )
        self.cold = ColdServers(self.runtime, self.state, lambda: 1e6 + self.now_s)
        self.watcher = EvacuationWatcher(self.runtime, self.state, codec)
        self.state.evacuations.apply((), VERSION, self.now_s)
        self.state.evacuations.confirm(self.now_s)

    def apply(self, known_s, *ends, follows=True, names=(), version=VERSION):
        """Applies the report of an agent."""
        report = AgentReport(
            evacuations=list(names),
            evacuations_version=encode_version(version),
            follows_evacuations=follows,
            evacuation_ends=[EvacuationEnd(*end) for end in ends],
            evacuations_known_s=known_s,
        )
        self.watcher.apply_report("agent-1", report)

    def cold_left_s(self, data_centre):
        """Returns for how long a server that started long ago is cold."""
        server = BackendServer("d1", "desk", "10.0.0.1", 80, data_centre)
        return self.cold.left_s(server)


@pytest.fixture
def process():
    return Process()


def test_ends_that_agents_have_seen_are_missed_or_all_servers_stay_cold(process):
    assert process.cold_left_s("west") == COLD_S
    process.apply(COLD_S, ("east", 1.0))
    assert process.cold_left_s("east") == 2.0
    assert process.cold_left_s("west") == 0.0
    # What a report of a moment before says again is no news.
    process.now_s += 0.4
    process.apply(COLD_S, ("east", 0.0))
    assert process.cold_left_s("east") == pytest.approx(1.6)


@pytest.mark.parametrize(
    ("known_s", "follows"), [(0.0, True), (COLD_S, False), (float("nan"), True)]
)
def test_agent_that_has_not_seen_the_past_vouches_for_it(process, known_s, follows):
    process.now_s += 1.0
    process.apply(known_s, ("east", float("nan")), follows=follows)
    assert process.cold_left_s("east") == COLD_S - 1.0
    process.apply(2.0)
    assert process.cold_left_s("east") == 1.0


def test_end_that_an_agent_has_not_read_yet_is_missed(process):
    process.apply(COLD_S, names=["east"], version=(1, 5))
    assert process.cold_left_s("east") == COLD_S
    assert process.cold_left_s("west") == 0.0


def test_registration_of_before_the_start_ends_the_time(process):
    process.apply(COLD_S, ("east", 1.5))
    server = BackendServer("d1", "desk", "10.0.0.1", 80, "east", cold_left_s=0.0)
    process.cold.record_registration(server)
    assert process.cold.left_s(server) == 1.5


def test_evacuation_that_a_return_has_lost_is_not_told(process):
    process.apply(COLD_S, ("east", -4.0), ("west", -1e9))
    in_force = process.state.evacuations.in_force(process.now_s + 3.9)
    assert in_force == {"east", "west"}
    process.now_s += 4.1
    assert process.cold_left_s("east") == pytest.approx(COLD_S - 0.1)
    ends, _ = encode_history(process.runtime, process.state)
    assert ends == [EvacuationEnd("west", -6.0), EvacuationEnd("east", 0.0)]


def test_report_changes_all_the_time(process):
    told = set()
    for _ in range(100):
        told.add(encode_history(process.runtime, process.state)[1])
        process.now_s += 0.035
    assert len(told) <= 2 * COLD_S + 1
    assert max(told) == COLD_S


def test_deployment_without_a_bound_reports_the_past():
    process = Process(cold_extra=-1.0)
    process.now_s += 10.0
    assert encode_history(process.runtime, process.state) == ([], 0.0)
    assert process.cold_left_s("east") == 0.0
