"""Counts the bytes on the network link that a process exchanges with its callers."""

# Headers of IPv4 and TCP without options. An event of a stream is one packet of about
# 90 bytes, so these are a third of what it costs the link.
PACKET_HEADER_BYTES = 40
# Payload of a full packet on Ethernet, whose packets have at most 1,500 bytes.
SEGMENT_BYTES = 1460


def link_bytes(size):
    """Returns the bytes on the link of one read or write, with packet headers.

    Examples:
        >>> link_bytes(90), link_bytes(4380)
        (130, 4500)
    """
    return size + PACKET_HEADER_BYTES * -(-size // SEGMENT_BYTES)


class Traffic:
    """Bytes of all connections with callers, in both directions.

    Attributes:
        total_bytes: Bytes so far, with those of packet headers.
    """

    __slots__ = ("total_bytes",)

    def __init__(self):
        self.total_bytes = 0


class ConnectionTraffic:
    """Bytes of one connection; counts them for the process as well.

    Args:
        traffic: The ``Traffic`` of the process.

    Attributes:
        has_request: Whether a request that was admitted is in progress.

    Examples:
        >>> connection = ConnectionTraffic(Traffic())
        >>> connection.add(60)
        >>> connection.take(), connection.take()
        (100, 0)
    """

    __slots__ = ("_bytes", "_traffic", "has_request")

    def __init__(self, traffic):
        self._traffic = traffic
        self._bytes = 0
        self.has_request = False

    def add(self, size):
        """Counts one read or write."""
        size = link_bytes(size)
        self._bytes += size
        self._traffic.total_bytes += size

    def take(self):
        """Returns the bytes since the last call, such as those of one request."""
        size, self._bytes = self._bytes, 0
        return size


class CountedTransport:
    """Counts what is written to a transport, and is the transport in all else.

    Args:
        transport: The transport of a connection.
        traffic: Its ``ConnectionTraffic``.
    """

    __slots__ = ("_traffic", "_transport")

    def __init__(self, transport, traffic):
        self._transport = transport
        self._traffic = traffic

    def __getattr__(self, name):
        return getattr(self._transport, name)

    def write(self, data):
        """Writes and counts data."""
        self._traffic.add(len(data))
        self._transport.write(data)
