"""Fuzz tests of frames: any bytes must give the message or a typed error."""

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
MAX_PEAK_BYTES = 1_000_000
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


def build_frame(name, body, *, call=0, wall_ns=1, logical=0):
    return pack_frame([WIRE_VERSION, name, call, wall_ns, logical, body])


def pack_frame(parts):
    return add_length(msgpack.packb(parts))


def add_length(data):
    return len(data).to_bytes(LENGTH_BYTES) + data


def decode(data):
    return FrameReader().feed(data)


def unpack_body(data):
    return msgpack.unpackb(data[LENGTH_BYTES:])[-1]


@given(parts=st.lists(st.binary(max_size=40), max_size=6))
@example(parts=[b"\xdd\x00\x7f\xff\xff" * 100])
def test_any_bytes_give_frames_or_a_typed_error(parts):
    reader = FrameReader()
    with suppress(MessageInvalid):
        for part in parts:
            reader.feed(part)


@pytest.mark.parametrize("kind", ["EventsReport", "Ping", "LaterKind"])
@pytest.mark.parametrize("start", [b"", b"\x81\xa6events"])
def test_announced_length_reserves_no_memory(kind, start):
    head = msgpack.packb([WIRE_VERSION, kind, 0, 1, 0, None])[:-1]
    length = b"\xdd\x7f\xff\xff\xff"
    tracemalloc.start()
    with pytest.raises(MessageInvalid):
        decode(add_length(head + start + length * 50))
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < MAX_PEAK_BYTES


@given(message=MESSAGES)
def test_messages_are_preserved_and_unknown_fields_are_ignored(message):
    data = encode_frame(message, 0, STAMP)
    assert encode_frame(decode(data)[0].message, 0, STAMP) == data
    body = unpack_body(data)
    later = build_frame(type(message).__name__, {**body, "a_later_field": 1})
    assert encode_frame(decode(later)[0].message, 0, STAMP) == data


@given(message=MESSAGES, data=st.data())
def test_wrong_types_give_a_typed_error(message, data):
    body = unpack_body(encode_frame(message, 0, STAMP))
    names = [field.name for field in dataclasses.fields(message)]
    bad = data.draw(st.dictionaries(st.sampled_from(["", *names]), JSON, max_size=3))
    with suppress(MessageInvalid):
        result = decode(build_frame(type(message).__name__, {**body, **bad}))[0].message
        assert decode(encode_frame(result, 0, STAMP))


@given(parts=st.lists(JSON | st.integers(-(2**63), 2**64 - 1), max_size=8))
def test_any_array_gives_a_frame_or_a_typed_error(parts):
    with suppress(MessageInvalid):
        decode(pack_frame(parts))


@given(data=st.data())
def test_truncated_frame_waits_for_the_rest(data):
    whole = encode_frame(Ping(3), 0, STAMP)
    cut = data.draw(st.integers(0, len(whole) - 1))
    reader = FrameReader()
    assert reader.feed(whole[:cut]) == []
    assert reader.feed(whole[cut:])[0].message == Ping(3)


def test_unknown_kind_comes_out_without_message():
    assert decode(build_frame("LaterKind", {}))[0].message is None


@pytest.mark.parametrize(
    "clock", [{"wall_ns": 2**64 - 1}, {"logical": 2**64 - 1}, {"wall_ns": -1}]
)
def test_clock_of_a_peer_out_of_range_is_rejected(clock):
    with pytest.raises(MessageInvalid):
        decode(build_frame("Ping", {}, **clock))


@given(wall_ns=st.integers(0, 2**62), logical=st.integers(0, 2**31))
def test_own_clock_stays_encodable(wall_ns, logical):
    clock = HybridClock(lambda: 1)
    clock.observe(
        decode(build_frame("Ping", {}, wall_ns=wall_ns, logical=logical))[0].stamp
    )
    assert decode(encode_frame(Ping(), 0, clock.tick()))
