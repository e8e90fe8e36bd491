"""What a process remembers of servers that close themselves."""

from types import SimpleNamespace

import pytest

from pistachiowell.admission import Incarnation
from pistachiowell.core.metrics import Metrics
from pistachiowell.gateway.servers import closed_servers
from pistachiowell.gateway.servers.closed_servers import ClosedServers
from pistachiowell.platform.headers import read_answer_head

UNREADABLE = read_answer_head(503, [(b"Retry-After", b"soon")])


@pytest.fixture
def lines(monkeypatch):
    """Records the log lines."""
    written = []
    log = SimpleNamespace(info=lambda text, **fields: written.append((text, fields)))
    monkeypatch.setattr(closed_servers, "_log", log)
    return written


@pytest.fixture
def closed():
    return ClosedServers(SimpleNamespace(now=lambda: 5.0, metrics=Metrics()))


def test_each_unreadable_pause_is_logged(closed, lines):
    for number in (1, 1, 2):
        closed.record_answer(Incarnation(f"s{number}", 5), UNREADABLE, "r1")
    assert [fields["server"] for _, fields in lines] == ["s1", "s2"]
    assert closed.closed_by(Incarnation("s1", 5)) is None


def test_unreadable_pauses_of_many_servers_fill_the_memory(closed, lines):
    for number in range(2 * closed_servers.MAX_UNREADABLE):
        closed.record_answer(Incarnation(f"s{number}", 5), UNREADABLE, "r1")
    assert len(closed._unreadable) == closed_servers.MAX_UNREADABLE


def test_pause_of_a_server_ends_with_its_incarnation(closed, lines):
    head = read_answer_head(503, [(b"Retry-After", b"2.5")])
    assert not closed.record_answer(Incarnation("s1", 5), head, "r1")
    assert closed.wait_s(Incarnation("s1", 5)) == 2.5
    assert closed.wait_s(Incarnation("s1", 6)) == 0.0
    assert lines[0][1]["told"] == "r1"
