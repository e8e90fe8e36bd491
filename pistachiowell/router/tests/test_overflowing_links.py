"""Guards against a peer that reads slowly and ends more than its own link.

``Link.send`` closes a link whose queue is full and raises ``LinkLost``. Where nobody
expects that, it ended the process, or kept the message from the other peers.
"""

from types import SimpleNamespace

import pytest

from pistachiowell.agent.agent import Agent
from pistachiowell.agent.runs import Run
from pistachiowell.core.clock import HybridClock
from pistachiowell.core.events import EventRing
from pistachiowell.moves.tracker import MoveTracker
from pistachiowell.router.attempts import Attempt, Attempts
from pistachiowell.router.journal import Journal
from pistachiowell.router.move_reports import MoveReports, OpenMove
from pistachiowell.schema.generated.messages_requests import AnswerEnd, RunRequest
from pistachiowell.schema.generated.objects_budgets import JournalEntry
from pistachiowell.schema.generated.table import MoveRow
from pistachiowell.wire import Handlers, Link, LinkSet
from pistachiowell.wire import link as link_module
from pistachiowell.wire.tests.lossy_links import LossyLink

REQUEST = RunRequest("q", 1, "shop", "chat", "v1", "POST", "/x", b"{}")
CLOCK = HybridClock(lambda: 1)


@pytest.fixture
def full(monkeypatch):
    """Returns an open link on which the next message exceeds the queue."""
    monkeypatch.setattr(link_module, "MAX_QUEUED_BYTES", 0)
    return Link(None, Handlers(), CLOCK)


@pytest.fixture
def other():
    """Returns a link to a peer that reads."""
    return LossyLink("other")


def test_load_report_ends_the_agent(full, other):
    links = LinkSet()
    links.add(full)
    links.add(other)
    agent = SimpleNamespace(
        _runtime=SimpleNamespace(
            settings=SimpleNamespace(server="s1"),
            leaving=False,
            table_revision=lambda: 1,
        ),
        _version=lambda: "v1",
        _gate=SimpleNamespace(running=0, waiting=0, slots=1),
        _links=links,
    )
    Agent._send_load(agent)
    assert full.closed
    assert [report.server for report in other.sent] == ["s1"]


@pytest.mark.anyio
async def test_end_of_an_answer_ends_the_agent(full):
    Run(full, REQUEST).send(AnswerEnd("q", 1, 0))
    assert full.closed


@pytest.mark.anyio
async def test_cancelled_attempt_or_credit_fails_the_request_of_the_caller(full):
    attempts = Attempts(Handlers(), lambda: 10.0)
    with Attempt(attempts, REQUEST, full, 20.0) as attempt:
        attempt.grant_credit(10)
    assert full.closed
    again = Link(None, Handlers(), CLOCK)
    with Attempt(attempts, REQUEST, again, 20.0):
        pass
    assert again.closed


def test_notice_of_written_bills_ends_the_router(full, other):
    peers = {
        name: SimpleNamespace(link=link)
        for name, link in {"a": full, "b": None, "c": other}.items()
    }
    runtime = SimpleNamespace(
        incarnation="router-1", events=EventRing("router", CLOCK, 10)
    )
    journal = Journal(runtime, SimpleNamespace(agents=peers))
    journal._confirm_written([JournalEntry("q", "shop", "g", 5, "router-1", "r")])
    assert [message.reservation_ids for message in other.sent] == [["r"]]


def test_stop_of_a_move_does_not_reach_the_other_routers(full, other):
    row = MoveRow("move", "m1", "chat", "v1", "v2", "2026-01-01T00:00:00Z")
    candidate = SimpleNamespace(controller=object(), fence=3)
    move = OpenMove(MoveTracker(row), candidate)
    move.reporters = dict.fromkeys([full, other])
    MoveReports(None, None, Handlers(), None).send_stop(move)
    assert [message.fence for message in other.sent] == [3]
