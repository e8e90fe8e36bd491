"""Decodes the platform's registrations into ``BackendServer``."""

from typing import Literal

import msgspec

from pistachiowell.catalog import BackendServer

COLLECTION = "servers"


class _Entry(msgspec.Struct, rename="pascal"):
    """A registration, written by the backend server itself.

    Attributes:
        address: IP address and port.
        zone: Data centre of the server.
        version: Version of its software.
        slots: Requests that it runs at once.
        state: Whether it takes new work.
        born: Unix time of its start in milliseconds.
    """

    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    version: str = ""
    slots: int = 1
    born: int = msgspec.field(default=0, name="born")


def decode_server(name, value):
    """Decodes a registration.

    Args:
        name: Name of the registration.
        value: JSON document as bytes.

    Returns:
        A ``BackendServer``; None if the document names no server to use, as other
        writers may write there too.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        host, _, port = entry.address.rpartition(":")
        number = int(port)
    except (msgspec.MsgspecError, ValueError):
        return None
    if not host or not entry.service or not 0 < number < 65536:
        return None
    return BackendServer(
        id=name,
        service=entry.service,
        host=host,
        port=number,
        data_centre=entry.zone,
        version=entry.version,
        slots=max(1, entry.slots),
        is_leaving=entry.state == "draining",
        started_ms=entry.born,
    )
