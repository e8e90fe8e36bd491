"""Closing of a connection whose peer may still send.

A kernel that gets bytes for a socket that is closed, or that closes one with unread
bytes, resets the connection and drops what the peer has not taken of the answer.

References:
    RFC 9112, section 9.6.
"""

import asyncio

from pistachiowell.core.socket_state import (
    read_arrived,
    unacknowledged_bytes,
    unread_bytes,
)

LINGER_S = 2.0
# Time for a peer to notice the end of a connection on which it has nothing to lose.
IDLE_LINGER_S = 0.5
# Unread bytes that are dropped before a close in one step.
DROPPED_BYTES = 262_144
# The largest body that callers may send, several times over.
LINGER_BYTES = 16 * 1_048_576


class LingeringTransport:
    """Closes the way to the peer first if a reset could cost it a part of an answer.

    What the peer still sends, up to ``LINGER_BYTES``, is dropped until it closes, for
    at most ``LINGER_S``. In all else it is the transport.

    Args:
        transport: The transport of a connection.
        expects_more: Function that returns whether the peer has begun a request that
            was not read to its end.
        on_close: Function that is called once before this process closes the
            connection, with the bytes that have arrived unread and with whether those
            that were not sent are dropped; None for none.
    """

    __slots__ = ("_dropped_bytes", "_expects_more", "_on_close", "_timer", "_transport")

    def __init__(self, transport, expects_more, on_close=None):
        self._transport = transport
        self._expects_more = expects_more
        self._on_close = on_close
        self._dropped_bytes = 0
        self._timer = None

    def __getattr__(self, name):
        return getattr(self._transport, name)

    @property
    def is_lingering(self):
        """Whether only the way to the peer is closed."""
        return self._timer is not None and not self._transport.is_closing()

    @property
    def unsent_bytes(self):
        """Bytes of answers that the peer's kernel has not taken."""
        # A socket becomes writable only after the peer has taken a good part.
        sock = self._transport.get_extra_info("socket")
        return self._transport.get_write_buffer_size() + unacknowledged_bytes(sock)

    def is_closing(self):
        """Returns whether nothing more is written."""
        return self._timer is not None or self._transport.is_closing()

    def write(self, data):
        """Writes data unless the way to the peer is closed."""
        if self._timer is None:
            self._transport.write(data)

    def drop(self, size):
        """Drops bytes that the peer has sent; reads no more if they are too many."""
        self._dropped_bytes += size
        if self._dropped_bytes > LINGER_BYTES:
            self._transport.pause_reading()

    def close(self):
        """Closes the connection once the peer has done so, if that may matter to it."""
        if self.is_closing():
            return
        if self._tell() or self._expects_more() or self.unsent_bytes:
            self._linger(LINGER_S)
        else:
            self._transport.close()

    def close_idle(self):
        """Closes a connection on which the peer may be about to send.

        A reset in answer to what it sends could reach it before the end of the last
        answer has been read.
        """
        if not self.is_closing():
            self._tell()
            self._linger(IDLE_LINGER_S)

    def _linger(self, limit_s):
        if not self._transport.can_write_eof():
            self._transport.close()
            return
        try:
            self._transport.write_eof()
        except OSError:
            # The peer has reset the connection.
            self._transport.abort()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(limit_s, self.close_now)
        self._transport.resume_reading()

    def close_now(self):
        """Closes the connection after what was written, whatever the peer does."""
        if self._tell():
            read_arrived(self._transport.get_extra_info("socket"), DROPPED_BYTES)
        if self._timer is not None:
            self._timer.cancel()
        self._transport.close()

    def abort(self):
        """Closes the connection at once; what was written and not sent is dropped."""
        self._tell(is_dropping=True)
        self._transport.abort()

    def _tell(self, *, is_dropping=False):
        """Calls ``on_close`` and returns the unread bytes at the first call."""
        on_close, self._on_close = self._on_close, None
        if on_close is None or self._transport.is_closing():
            return 0
        size = unread_bytes(self._transport.get_extra_info("socket"))
        on_close(size, is_dropping)
        return size

    def release(self):
        """Ends the wait, as the connection is lost, and forgets the protocol.

        The protocol refers to this: without that, only the garbage collector would free
        both, and all that the connection held.
        """
        if self._timer is not None:
            self._timer.cancel()
        self._expects_more = lambda: False
        self._on_close = None
