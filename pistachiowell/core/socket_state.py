"""What the kernel knows of a TCP connection.

References:
    tcp(7): ``SIOCINQ``, ``SIOCOUTQ`` and ``TCP_INFO``.
"""

import fcntl
import os
import socket
import sys
import termios

import anyio

# A server that has ended acknowledges or resets what is on its way within a round trip;
# one that reads on may be silent for a second or so.
DELIVERY_TIMEOUT_S = 5.0
CHECK_INTERVAL_S = 0.005
# A server that closes with a part of a request unread resets the connection soon after
# it has ended its direction.
RESET_WAIT_S = 0.05
# First byte of ``struct tcp_info``; see ``enum`` in ``netinet/tcp.h``.
_STATE_CLOSED = b"\x07"


def unacknowledged_bytes(sock):
    """Returns the bytes that the peer's kernel has not acknowledged.

    Args:
        sock: An open socket.

    Raises:
        OSError: The kernel does not say.
    """
    return _queue_bytes(sock, termios.TIOCOUTQ)


def unread_bytes(sock):
    """Returns the bytes that have arrived and that this process has not read.

    Args:
        sock: An open socket.

    Raises:
        OSError: The kernel does not say.
    """
    return _queue_bytes(sock, termios.FIONREAD)


def read_arrived(sock, max_bytes):
    """Returns what has arrived by now; empty if nothing has, or after an end.

    The event loop may be late to read it.

    Args:
        sock: An open socket that does not block.
        max_bytes: Largest number of bytes to read.
    """
    try:
        return os.read(sock.fileno(), max_bytes)
    except OSError:
        return b""


def _queue_bytes(sock, queue):
    return int.from_bytes(fcntl.ioctl(sock, queue, bytes(4)), sys.byteorder)


def is_reset(sock):
    """Returns whether a connection has ended in both directions, as after a reset.

    Args:
        sock: A socket that this process has not shut down.

    Returns:
        False also if the kernel does not say.
    """
    if sock.fileno() < 0:
        return True
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return state[:1] == _STATE_CLOSED


async def has_taken_all(sock, *, has_body):
    """Returns whether the peer takes all that was sent to it.

    Call this when the peer has ended its direction. A peer that has read everything has
    acknowledged it before; one that ends meanwhile resets what still arrives, or what
    its kernel has and it has not read.

    Args:
        sock: A socket that this process has not shut down.
        has_body: Whether a body was sent, which the peer may leave unread.

    Returns:
        False also if nothing shows it within ``DELIVERY_TIMEOUT_S``.
    """
    with anyio.move_on_after(DELIVERY_TIMEOUT_S):
        while not is_reset(sock) and unacknowledged_bytes(sock):
            await anyio.sleep(CHECK_INTERVAL_S)
    if is_reset(sock) or unacknowledged_bytes(sock):
        return False
    return not has_body or not await _is_reset_soon(sock)


async def _is_reset_soon(sock):
    with anyio.move_on_after(RESET_WAIT_S):
        while not is_reset(sock):
            await anyio.sleep(CHECK_INTERVAL_S)
    return is_reset(sock)
