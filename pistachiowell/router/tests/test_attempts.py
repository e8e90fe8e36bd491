"""Tests of attempts at agents: deadlines, lost links and failures."""

import pytest

from pistachiowell.core.errors import (
    DeadlineExceeded,
    LinkLost,
    Overloaded,
    ServerFailed,
)
from pistachiowell.router.attempts import Attempt, Attempts
from pistachiowell.schema.generated.messages_requests import (
    AnswerFailed,
    AnswerStart,
    CancelRequest,
    RunRequest,
)
from pistachiowell.wire import Handlers

REQUEST = RunRequest("q", 1, "shop", "chat", "v1", "POST", "/x", b"{}")


class FakeLink:
    def __init__(self):
        self.closed = False
        self.sent = []
        self.listeners = set()

    def send(self, message):
        if self.closed:
            raise LinkLost("Closed.")
        self.sent.append(message)

    def add_close_listener(self, function):
        self.listeners.add(function)

    def remove_close_listener(self, function):
        self.listeners.discard(function)

    def close(self):
        self.closed = True
        for listener in list(self.listeners):
            listener()


@pytest.fixture
def link():
    return FakeLink()


@pytest.fixture
def attempts():
    return Attempts(Handlers(), lambda: 10.0)


@pytest.mark.anyio
async def test_deadline_ends_and_cancels_the_attempt(attempts, link):
    with (
        pytest.raises(DeadlineExceeded) as caught,
        Attempt(attempts, REQUEST, link, 10.0) as attempt,
    ):
        attempt.start()
        await attempt.receive()
    assert caught.value.ran == "unknown"
    assert link.sent == [REQUEST, CancelRequest("q", 1)]
    assert not link.listeners


@pytest.mark.anyio
async def test_lost_link_means_unknown_after_and_not_run_before(attempts, link):
    with Attempt(attempts, REQUEST, link, 60.0) as attempt:
        attempt.start()
        link.close()
        with pytest.raises(ServerFailed) as caught:
            await attempt.receive()
    assert caught.value.ran == "unknown"
    later = Attempt(attempts, REQUEST, link, 60.0)
    with later, pytest.raises(ServerFailed) as caught:
        later.start()
    assert caught.value.ran == "no"


@pytest.mark.anyio
async def test_failure_of_the_agent_keeps_its_type_and_ends_without_cancel(
    attempts, link
):
    with Attempt(attempts, REQUEST, link, 60.0) as attempt:
        attempt.start()
        attempt.deliver(AnswerStart("q", 1, 200))
        attempt.deliver(AnswerFailed("q", 1, "overloaded", "no", retry_after_s=2.0))
        assert (await attempt.receive()).status == 200
        with pytest.raises(Overloaded) as caught:
            await attempt.receive()
    assert (caught.value.ran, caught.value.retry_after_s) == ("no", 2.0)
    assert link.sent == [REQUEST]
