"""Guards against an event of an engine that never ends and fills the agent's memory."""

import pytest

from pistachiowell.agent.sse import UsageReader
from pistachiowell.core.errors import AnswerBroken
from pistachiowell.engines import MAX_EVENT_BYTES


def test_event_without_end_is_broken():
    reader = UsageReader(include_usage=True)
    block = b"a" * (MAX_EVENT_BYTES // 2)
    assert reader.feed(b"data: " + block) == b""
    with pytest.raises(AnswerBroken):
        reader.feed(block)


def test_line_end_that_is_cut_in_two_hides_an_event():
    stream = b'data: {"choices": [1]}\r\n\r\ndata: [DONE]\r\n\r\n'
    for cut in range(1, len(stream)):
        reader = UsageReader(include_usage=True)
        forwarded = reader.feed(stream[:cut]) + reader.feed(stream[cut:])
        assert forwarded == stream.replace(b"\r\n", b"\n")
        assert reader.done
        assert reader.completion_tokens == 1
