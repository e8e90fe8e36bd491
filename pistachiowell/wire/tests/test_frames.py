"""Tests of the frame reader against a naive reader and with corrupted bytes."""

import contextlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiowell.core.clock import Stamp
from pistachiowell.core.errors import MessageInvalid
from pistachiowell.schema.generated.messages_requests import (
    AnswerChunk,
    LoadReport,
    Ping,
)
from pistachiowell.wire import FrameReader, encode_frame
from pistachiowell.wire.codec import LENGTH_BYTES, MAX_FRAME_BYTES, WIRE_VERSION

messages = st.one_of(
    st.builds(Ping, st.integers(0, 2**63 - 1)),
    st.builds(
        AnswerChunk,
        st.text(max_size=5),
        st.integers(0, 9),
        st.integers(0, 9),
        st.binary(max_size=300),
    ),
    st.builds(LoadReport, *[st.text(max_size=5)] * 2, *[st.integers(0, 9)] * 3),
)
frames = st.tuples(
    messages, st.integers(-5, 5), st.builds(Stamp, st.integers(0, 9), st.integers(0, 9))
)


def read_naively(data):
    """Decodes whole frames to plain msgpack values."""
    found = []
    while data:
        end = LENGTH_BYTES + int.from_bytes(data[:LENGTH_BYTES])
        found.append(msgspec.msgpack.decode(data[LENGTH_BYTES:end]))
        data = data[end:]
    return found


def frame_parts(frame):
    body = msgspec.to_builtins(frame.message, builtin_types=[bytes])
    stamp = (frame.stamp.wall_ns, frame.stamp.logical)
    return [WIRE_VERSION, frame.kind, frame.call, *stamp, body]


@given(st.lists(frames, max_size=8), st.lists(st.integers(1, 400), max_size=30))
def test_any_split_of_the_stream_gives_the_frames_sent(sent, sizes):
    data = b"".join(encode_frame(*frame) for frame in sent)
    reader, received, rest = FrameReader(), [], data
    for size in sizes:
        received += reader.feed(rest[:size])
        rest = rest[size:]
    received += reader.feed(rest)
    assert [(f.message, f.call, f.stamp) for f in received] == sent
    assert [frame_parts(frame) for frame in received] == read_naively(data)


@given(st.lists(frames, min_size=1, max_size=3), st.data())
def test_damaged_bytes_give_frames_or_a_typed_error(sent, draw):
    data = bytearray(b"".join(encode_frame(*frame) for frame in sent))
    for _ in range(draw.draw(st.integers(1, 4))):
        place = draw.draw(st.integers(0, len(data) - 1))
        data[place] = draw.draw(st.integers(0, 255))
    with contextlib.suppress(MessageInvalid):
        FrameReader().feed(bytes(data))


def build_frame(*parts):
    data = msgspec.msgpack.encode(parts)
    return len(data).to_bytes(LENGTH_BYTES) + data


def test_later_fields_and_kinds_are_ignored():
    body = {"table_revision": 3, "later": [1]}
    later = build_frame(WIRE_VERSION, "Ping", 0, 1, 0, body, "more")
    unknown = build_frame(WIRE_VERSION, "LaterKind", 4, 1, 0, {})
    first, second = FrameReader().feed(later + unknown)
    assert first.message == Ping(3)
    assert (second.message, second.kind, second.call) == (None, "LaterKind", 4)


@pytest.mark.parametrize(
    "data",
    [
        build_frame(WIRE_VERSION + 1, "Ping", 0, 1, 0, {}),
        build_frame(WIRE_VERSION, "Ping", 0, 1, 0, {"table_revision": "x"}),
        build_frame(WIRE_VERSION, "Ping", "0", 1, 0, {}),
        build_frame(WIRE_VERSION, "Ping"),
        (MAX_FRAME_BYTES + 1).to_bytes(LENGTH_BYTES),
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_wrong_frames_are_refused(data):
    with pytest.raises(MessageInvalid):
        FrameReader().feed(data)
