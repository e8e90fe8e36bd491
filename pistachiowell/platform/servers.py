"""Decodes the platform's registrations into ``BackendServer``."""

import ipaddress
import re
from typing import Annotated, Literal

import msgspec

from pistachiowell.catalog import BackendServer
from pistachiowell.core.decoding import DECODE_ERRORS

COLLECTION = "servers"
MAX_SLOTS = 1_000_000
MAX_TIME_MS = 2**53
# An id goes into a header of each request; servers read other characters differently.
_ID = re.compile("[!-~]+")


class _Entry(msgspec.Struct, rename="pascal"):
    """A registration, written by the backend server itself.

    Attributes:
        service: Name of its service.
        address: IP address and port.
        zone: Data centre of the server.
        version: Version of its software.
        slots: Number of requests that it runs at once.
        state: ``ready`` to accept new requests, ``draining`` to get none.
        started_ms: Unix time of its start in milliseconds.
        cold_left_ms: Milliseconds for which the server stays slow.
    """

    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    version: str = ""
    slots: Annotated[int, msgspec.Meta(le=MAX_SLOTS)] = 1
    started_ms: Annotated[int, msgspec.Meta(le=MAX_TIME_MS)] = msgspec.field(
        default=0, name="born"
    )
    cold_left_ms: Annotated[float, msgspec.Meta(le=MAX_TIME_MS)] | None = None


def decode_server(name, value):
    """Decodes a registration.

    Args:
        name: Name of the registration.
        value: JSON document as bytes.

    Returns:
        A ``BackendServer``; None if the document is not a valid registration. Other
        writers may write to the same collection, and their documents must not stop the
        gateway.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        host, _, port = entry.address.rpartition(":")
        ipaddress.IPv4Address(host)
        port_number = int(port)
    except DECODE_ERRORS:
        return None
    is_known = bool(entry.service and _ID.fullmatch(name))
    if not is_known or not 0 < port_number < 65536:
        return None
    return BackendServer(
        id=name,
        service=entry.service,
        host=host,
        port=port_number,
        data_centre=entry.zone,
        version=entry.version,
        slots=max(1, entry.slots),
        is_leaving=entry.state == "draining",
        started_ms=entry.started_ms,
        cold_left_s=_seconds(entry.cold_left_ms),
    )


def _seconds(milliseconds):
    return None if milliseconds is None else max(0.0, milliseconds / 1000)
