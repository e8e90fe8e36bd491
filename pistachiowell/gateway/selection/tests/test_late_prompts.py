"""Refusals of prompts that no engine can begin before their deadline.

Guards against callers that wait for nothing until they leave, and against refusals that
rest on what is not known: few answers, old reports, a request without a deadline.
"""

from random import Random
from types import SimpleNamespace

import pytest

from pistachiowell.catalog import BackendServer, EngineLimits
from pistachiowell.gateway.selection.late_prompts import TooLate
from pistachiowell.gateway.selection.selection import Selection
from pistachiowell.gateway.selection.selection_parts import SelectionSources
from pistachiowell.routing import EngineLoad

NAMES = ["s0", "s1"]
LONG_WAIT_S = 2.0


class Rig:
    """A ``Selection`` of two engines and a clock."""

    def __init__(self, **settings):
        self.time = 100.0
        servers = {
            name: BackendServer(name, "desk", "127.0.0.1", 80 + n, "east", slots=64)
            for n, name in enumerate(NAMES)
        }
        addresses = {server.address: name for name, server in servers.items()}
        rig_settings = SimpleNamespace(
            data_centre="east", uneven_servers=True, refuses_late=True
        )
        rig_settings.__dict__.update(settings)
        sources = SelectionSources(
            servers=SimpleNamespace(
                available_servers=lambda service, now: servers.values(),
                by_address=addresses,
            ),
            moves=SimpleNamespace(
                filter_servers=lambda service, servers: servers,
                record_start=lambda service, server, now: None,
                record_end=lambda *arguments: None,
            ),
            silence=SimpleNamespace(usable=lambda names, now: names),
            limits=SimpleNamespace(
                accepting=lambda servers, request: list(servers),
                with_room=lambda servers, rank: list(servers),
                is_cold=lambda server: False,
            ),
            places=None,
            states=None,
        )
        self.selection = Selection(sources, rig_settings, Random(1), lambda: self.time)

    def request(self, left_s=None, tokens=1_000):
        """Returns a request that states how long its caller waits, or nothing."""
        prompt = SimpleNamespace(
            tokens=tokens, max_output_tokens=10, parts=(("own", tokens),)
        )
        return SimpleNamespace(
            id="r",
            service=SimpleNamespace(engine=EngineLimits(64, 10_000_000, 6)),
            prompt=prompt,
            fingerprint="f",
            rank=1,
            head=SimpleNamespace(wait_limit_s=left_s),
            deadline=self.time + (left_s or 30.0),
        )

    def choose(self, request, tried=frozenset()):
        """Chooses a server for a request."""
        return self.selection.choose(request, "desk", tried, (), rank=1)

    def serve(self, count):
        """Has the engines answer prompts after the time that was expected."""
        for _ in range(count):
            request = self.request(tokens=15_000)
            choice = self.choose(request)
            attempt = self.selection.start_attempt(request, "desk", choice)
            self.time += 0.32
            attempt.record_status(200)
            attempt.record_first_byte()
            attempt.record_end(None, lambda fingerprint, server: False)
            self.time -= 0.25

    def report(self, tokens):
        """Has agents report the prompt tokens that wait at each engine."""
        addresses = [f"127.0.0.1:{80 + n}" for n in range(len(NAMES))]
        load = EngineLoad(tokens, 5, tokens)
        self.selection.record_remote_loads(dict.fromkeys(addresses, load))


@pytest.fixture
def rig():
    """A rig whose engines have answered often and are loaded by other gateways."""
    rig = Rig()
    rig.serve(150)
    rig.report(int(LONG_WAIT_S * 50_000))
    return rig


def test_request_that_no_engine_can_begin_in_time_is_refused(rig):
    with pytest.raises(TooLate) as caught:
        rig.choose(rig.request(left_s=0.5))
    error = caught.value
    assert (error.http_status, error.ran) == (503, "no")
    assert 1.3 < error.retry_after_s < 2.2


@pytest.mark.parametrize("left_s", [None, 1.5, 5.0])
def test_request_that_may_be_served_or_has_no_deadline_is_sent(rig, left_s):
    assert rig.choose(rig.request(left_s)).server.id in NAMES


def test_retry_is_sent(rig):
    assert rig.choose(rig.request(left_s=0.5), tried={"s0"}).server.id == "s1"


def test_own_sums_count_alone_once_the_agent_is_gone(rig):
    rig.time += 2.0
    assert rig.choose(rig.request(left_s=0.5)).server.id in NAMES


def test_nothing_is_refused_before_waits_are_known():
    rig = Rig()
    rig.serve(50)
    rig.report(500_000)
    assert rig.choose(rig.request(left_s=0.5)).server.id in NAMES


@pytest.mark.parametrize("name", ["uneven_servers", "refuses_late"])
def test_nothing_is_refused_without_the_settings(name):
    rig = Rig(**{name: False})
    rig.serve(150)
    rig.report(500_000)
    assert rig.choose(rig.request(left_s=0.5)).server.id in NAMES
