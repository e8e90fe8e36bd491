"""An engine reports a usage that is no number of tokens.

Guards against an agent that ends, a link that is lost with all its requests, and a bill
below zero, because of one answer of an engine.
"""

import pytest

from pistachiowell.agent.sse import UsageReader, usage_of_document
from pistachiowell.core.clock import Stamp
from pistachiowell.schema.generated.messages_requests import AnswerEnd
from pistachiowell.wire import FrameReader, encode_frame

ODD_COUNTS = [
    b"-5",
    b"2.5",
    b"1e400",
    b"NaN",
    b"1" + b"0" * 30,
    b"9" * 5000,
    b'"7"',
    b"true",
    b"null",
    b"[" * 20_000 + b"]" * 20_000,
]
ODD_USAGES = [b'{"prompt_tokens": %s, "completion_tokens": 3}' % c for c in ODD_COUNTS]
ODD_DOCUMENTS = [
    *[b'{"choices": [], "usage": %s}' % usage for usage in ODD_USAGES],
    b'{"choices": [], "usage": [1], "x": {"usage": {}}}',
    b'{"choices": [], "usage": "a", "x": {"usage": {}}}',
    b'[{"usage": {}}]',
]
each_document = pytest.mark.parametrize("document", ODD_DOCUMENTS, ids=range(13))


def check_told(tokens):
    """Checks that a router can read and bill an answer with these tokens."""
    end = AnswerEnd("q", 1, 2, prompt_tokens=tokens[0], completion_tokens=tokens[1])
    (frame,) = FrameReader().feed(encode_frame(end, 0, Stamp(1, 0)))
    assert frame.message == end
    assert min(tokens) >= 0


@each_document
def test_usage_of_a_whole_answer_is_told_unchecked(document):
    check_told(usage_of_document(document))


@each_document
def test_usage_of_a_stream_is_told_unchecked(document):
    reader = UsageReader(include_usage=True)
    reader.feed(b'data: {"choices": [1]}\n\ndata: ' + document + b"\n\n")
    check_told((reader.prompt_tokens, reader.completion_tokens))
    # The events are counted until there is a usage.
    assert reader.completion_tokens >= 1
