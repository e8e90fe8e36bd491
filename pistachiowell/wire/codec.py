"""Encodes and decodes frames of typed messages in msgpack.

A frame consists of its length as four bytes, big-endian, and the msgpack array
``[version, kind, call, wall_ns, logical, body]``. The kind is the name of a class of
the ``messages_*`` schemas. The call number is 0 for a one-way message, positive for a
call and the negated number of the call for its reply. The two clock fields are the
sender's hybrid logical clock.

Lengths, call numbers and clocks are bounded, so that a faulty peer can neither make a
process allocate memory without limit nor advance its clock to a value that can no
longer be encoded.
"""

import dataclasses
import importlib
from typing import Annotated

import msgspec

from pistachiowell.core.clock import Stamp
from pistachiowell.core.errors import MessageInvalid
from pistachiowell.schema import generated

WIRE_VERSION = 2
MAX_FRAME_BYTES = 8 * 1024 * 1024
# The first frame is a Hello; until it has come, anybody may be the peer.
MAX_FIRST_FRAME_BYTES = 65_536

LENGTH_BYTES = 4
MAX_CALL = 2**62
MAX_WALL_NS = 2**63 - 1
MAX_LOGICAL = 2**32

_encoder = msgspec.msgpack.Encoder()


def _message_classes():
    classes = {}
    for name in generated.__all__:
        if not name.startswith("messages_"):
            continue
        module = importlib.import_module(f"{generated.__name__}.{name}")
        for value in vars(module).values():
            if dataclasses.is_dataclass(value):
                classes[value.__name__] = value
    return classes


MESSAGE_CLASSES = _message_classes()
_DECODERS = {
    kind: msgspec.msgpack.Decoder(cls) for kind, cls in MESSAGE_CLASSES.items()
}


class _Head(msgspec.Struct, array_like=True):
    version: int
    kind: str
    call: Annotated[int, msgspec.Meta(ge=-MAX_CALL, le=MAX_CALL)]
    wall_ns: Annotated[int, msgspec.Meta(ge=0, le=MAX_WALL_NS)]
    logical: Annotated[int, msgspec.Meta(ge=0, lt=MAX_LOGICAL)]
    body: msgspec.Raw


_head_decoder = msgspec.msgpack.Decoder(_Head)


class Frame(msgspec.Struct, frozen=True):
    """A received frame.

    Attributes:
        message: Instance of a message class; None if the kind is unknown.
        kind: Name of the message class.
        call: Call number; see the module's docstring.
        stamp: ``Stamp`` of the sender's clock.
    """

    message: object
    kind: str
    call: int
    stamp: Stamp


def encode_frame(message, call, stamp):
    """Encodes one frame.

    Args:
        message: Instance of a message class.
        call: Call number; see the module's docstring.
        stamp: ``Stamp`` of the sender's clock.

    Returns:
        The frame as bytes.
    """
    kind = type(message).__name__
    head = (WIRE_VERSION, kind, call, stamp.wall_ns, stamp.logical, message)
    data = _encoder.encode(head)
    return len(data).to_bytes(LENGTH_BYTES) + data


class FrameReader:
    """Splits a byte stream into frames.

    Unknown fields are ignored, and frames of an unknown kind have ``message`` None, so
    that processes of different versions can exchange messages. Received parts are
    joined only once a whole frame has arrived, so that a large frame in many parts is
    not copied for each of them.

    Attributes:
        held_bytes: Bytes of a frame that is not complete.

    Examples:
        >>> from pistachiowell.schema.generated.messages_requests import Ping
        >>> reader = FrameReader()
        >>> data = encode_frame(Ping(table_revision=3), 0, Stamp(1, 0))
        >>> reader.feed(data[:4])
        []
        >>> reader.feed(data[4:])[0].message.table_revision
        3
    """

    __slots__ = ("_max_bytes", "_missing_bytes", "_parts", "held_bytes")

    def __init__(self):
        self._parts = []
        self.held_bytes = 0
        self._max_bytes = MAX_FIRST_FRAME_BYTES
        self._missing_bytes = LENGTH_BYTES

    def feed(self, data):
        """Adds received bytes and returns the frames that are now complete.

        Raises:
            MessageInvalid: The bytes are not valid frames of this protocol.
        """
        self._parts.append(data)
        self._missing_bytes -= len(data)
        self.held_bytes += len(data)
        if self._missing_bytes > 0:
            return []
        return self._split(b"".join(self._parts))

    def _split(self, data):
        frames = []
        view = memoryview(data)
        start, size = 0, len(data)
        needed_bytes = LENGTH_BYTES
        while size - start >= LENGTH_BYTES:
            begin = start + LENGTH_BYTES
            end = begin + _decode_length(view[start:begin], self._max_bytes)
            if end > size:
                needed_bytes = end - start
                break
            frames.append(_decode_frame(view[begin:end]))
            self._max_bytes = MAX_FRAME_BYTES
            start = end
        self._parts = [data[start:]]
        self.held_bytes = size - start
        self._missing_bytes = needed_bytes - (size - start)
        return frames


def _decode_length(data, max_bytes):
    length = int.from_bytes(data)
    if length > max_bytes:
        raise MessageInvalid(f"A frame of {length} bytes exceeds {max_bytes} bytes.")
    return length


def _decode_frame(data):
    try:
        head = _head_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise MessageInvalid(f"A frame could not be decoded: {error}.") from error
    if head.version != WIRE_VERSION:
        raise MessageInvalid(
            f"The peer uses wire version {head.version}, not {WIRE_VERSION}."
        )
    kind = head.kind
    stamp = Stamp(head.wall_ns, head.logical)
    decoder = _DECODERS.get(kind)
    if decoder is None:
        return Frame(None, kind, head.call, stamp)
    try:
        return Frame(decoder.decode(head.body), kind, head.call, stamp)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise MessageInvalid(f"A {kind} message is invalid: {error}.") from error
