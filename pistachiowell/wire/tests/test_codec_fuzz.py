"""Fuzzing of frames: a typed error or the message, whatever the bytes are."""

import dataclasses
import tracemalloc
from contextlib import suppress

import msgpack
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from pistachiowell.core.clock import HybridClock, Stamp
from pistachiowell.core.errors import MessageInvalid
from pistachiowell.schema.generated.messages_requests import Ping
from pistachiowell.wire.codec import (
    LENGTH_BYTES,
    MESSAGE_CLASSES,
    WIRE_VERSION,
    FrameReader,
    encode_frame,
)

STAMP = Stamp(1, 0)
INTEGERS = st.integers(-(2**63), 2**63 - 1)
st.register_type_strategy(int, INTEGERS)
DOCUMENTS = st.lists(st.dictionaries(st.text(), INTEGERS))


def build_message(cls):
    free = {field.name for field in dataclasses.fields(cls) if "Any" in field.type}
    return st.builds(cls, **dict.fromkeys(free, DOCUMENTS))


MESSAGES = st.sampled_from(list(MESSAGE_CLASSES.values())).flatmap(build_message)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=6,
)


def framed(data):
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def frame(name, body, *, call=0, wall_ns=1, logical=0):
    return framed(msgpack.packb([WIRE_VERSION, name, call, wall_ns, logical, body]))


def body_of(data):
    return msgpack.unpackb(data[LENGTH_BYTES:])[-1]


def read(data):
    return FrameReader().feed(data)


@given(parts=st.lists(st.binary(max_size=40), max_size=6))
@example(parts=[framed(b"\xdd\x00\x7f\xff\xff" * 100)])
def test_any_bytes_give_frames_or_a_typed_error(parts):
    reader = FrameReader()
    with suppress(MessageInvalid):
        for part in parts:
            reader.feed(part)


@pytest.mark.parametrize("kind", [b"\xdd", b"\xdf", b"\xc6"])
def test_announced_length_reserves_no_memory(kind):
    announced = kind + b"\x7f\xff\xff\xff"
    whole = frame("EventsReport", {"events": []})[LENGTH_BYTES:]
    tracemalloc.start()
    for data in (announced, whole[:-1] + announced):
        with pytest.raises(MessageInvalid):
            read(framed(data))
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes < 2**20


@given(message=MESSAGES)
def test_messages_survive_and_unknown_fields_are_ignored(message):
    data = encode_frame(message, 0, STAMP)
    assert encode_frame(read(data)[0].message, 0, STAMP) == data
    body = body_of(data)
    later = frame(type(message).__name__, {**body, "a_later_field": 1})
    assert encode_frame(read(later)[0].message, 0, STAMP) == data


@given(message=MESSAGES, data=st.data())
def test_wrong_types_give_a_typed_error(message, data):
    body = body_of(encode_frame(message, 0, STAMP))
    names = [field.name for field in dataclasses.fields(message)]
    wrong = data.draw(st.dictionaries(st.sampled_from(["", *names]), JSON, max_size=3))
    with suppress(MessageInvalid):
        changed = read(frame(type(message).__name__, {**body, **wrong}))[0].message
        assert read(encode_frame(changed, 0, STAMP))


@given(parts=st.lists(JSON | st.integers(-(2**63), 2**64 - 1), max_size=8))
def test_any_array_gives_a_frame_or_a_typed_error(parts):
    with suppress(MessageInvalid):
        read(framed(msgpack.packb(parts)))


@given(data=st.data())
def test_truncated_frame_waits_for_the_rest(data):
    whole = encode_frame(Ping(3), 0, STAMP)
    cut = data.draw(st.integers(0, len(whole) - 1))
    reader = FrameReader()
    assert reader.feed(whole[:cut]) == []
    assert reader.feed(whole[cut:])[0].message == Ping(3)


def test_unknown_kind_comes_out_without_message():
    assert read(frame("LaterKind", {}))[0].message is None


@pytest.mark.parametrize(
    "clock", [{"wall_ns": 2**64 - 1}, {"logical": 2**64 - 1}, {"wall_ns": -1}]
)
def test_absurd_clock_of_a_peer_does_not_reach_ours(clock):
    with pytest.raises(MessageInvalid):
        read(frame("Ping", {}, **clock))


@given(wall_ns=st.integers(0, 2**62), logical=st.integers(0, 2**31))
def test_own_clock_stays_encodable(wall_ns, logical):
    clock = HybridClock(lambda: 1)
    clock.observe(read(frame("Ping", {}, wall_ns=wall_ns, logical=logical))[0].stamp)
    assert read(encode_frame(Ping(), 0, clock.tick()))
