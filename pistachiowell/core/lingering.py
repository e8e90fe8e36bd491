"""Transport of answers whose connection is closed only after its request has come.

A kernel that closes a connection with unread bytes resets it, and resets it when more
arrive. The peer, which is still sending its request, then often loses the answer.

References:
    RFC 9112, section 9.6, on closing in stages.
"""

# A caller learns at once that nothing follows the answer, and need not send the rest.
LINGER_S = 2.0


class LingeringTransport:
    """Leaves the end of a connection to its protocol; is the transport in all else.

    Args:
        transport: The transport of the connection.
        close: Function that closes the connection after an answer.
    """

    __slots__ = ("_transport", "close")

    def __init__(self, transport, close):
        self._transport = transport
        self.close = close

    def __getattr__(self, name):
        return getattr(self._transport, name)
