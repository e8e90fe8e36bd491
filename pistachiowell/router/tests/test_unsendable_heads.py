"""An agent tells a status or a type that no HTTP answer can have.

Guards against callers whose connection is closed without an answer.
"""

import pytest

from pistachiowell.core.errors import AnswerBroken
from pistachiowell.router.answers import Answer
from pistachiowell.schema.generated.messages_requests import AnswerStart, RunRequest

REQUEST = RunRequest("q", 1, "shop", "chat", "v1", "POST", "/x", b"{}")


@pytest.mark.parametrize(
    ("status", "content_type"),
    [
        (600, "text/plain"),
        (-1, "text/plain"),
        (101, "text/plain"),
        (200, "text/\n"),
        (200, "\u4f60"),
    ],
)
def test_head_that_nobody_can_write_is_passed_on(status, content_type):
    with pytest.raises(AnswerBroken) as caught:
        Answer(REQUEST).add_message(AnswerStart("q", 1, status, content_type))
    assert caught.value.ran == "unknown"


@pytest.mark.parametrize("status", [200, 299, 419, 599])
def test_unusual_status_is_replaced(status):
    answer = Answer(REQUEST)
    assert answer.add_message(AnswerStart("q", 1, status, "text/caf\xe9")) == []
