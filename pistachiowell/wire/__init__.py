"""Links between the processes: msgpack messages over TCP streams."""

from pistachiowell.wire.codec import Frame, FrameReader, encode_frame
from pistachiowell.wire.endpoints import connect, serve
from pistachiowell.wire.handlers import Handlers
from pistachiowell.wire.link import Link, try_send
from pistachiowell.wire.link_set import LinkSet
from pistachiowell.wire.reports import AcknowledgedReports
from pistachiowell.wire.tls import LinkTls

__all__ = [
    "AcknowledgedReports",
    "Frame",
    "FrameReader",
    "Handlers",
    "Link",
    "LinkSet",
    "LinkTls",
    "connect",
    "encode_frame",
    "serve",
    "try_send",
]
