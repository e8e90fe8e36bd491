"""Allocation of loopback ports for the programs of a rig."""

import fcntl
import itertools
import os
import socket
import tempfile
from collections import deque
from pathlib import Path

# The ports are below the range of ephemeral ports. Otherwise an outgoing connection
# could occupy the port of a program that is down, which could not restart then.
FIRST_PORT = 15000
PORT_COUNT = 16000
# More than the programs of all rigs that one process has at a time.
RESERVED_PORTS = 1000
_STEP = 7

# Distance between the first candidates of processes with consecutive process ids, so
# that test runs that start together try few ports of each other.
_CANDIDATES_PER_PROCESS = 4_999
_candidates = itertools.count(os.getpid() * _CANDIDATES_PER_PROCESS)


class PortReservations:
    """Ports that this process has taken and other test runs leave alone.

    A port is free until its program listens, and while the program is down. Each is
    reserved by a lock on one byte of a file, which ends with the process. The oldest
    reservations are given up for new ones.

    Args:
        path: Path of the file, the same for all runs of a user.
        limit: Number of ports that are reserved at a time.
    """

    __slots__ = ("_file", "_limit", "_path", "_ports")

    def __init__(self, path, limit=RESERVED_PORTS):
        self._path = path
        self._limit = limit
        self._file = None
        self._ports = deque()

    def reserve(self, port):
        """Returns whether a port could be reserved for this process."""
        if self._file is None:
            # Closing it would end all reservations.
            self._file = self._path.open("ab")
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except (BlockingIOError, PermissionError):
            return False
        self._ports.append(port)
        if len(self._ports) > self._limit:
            fcntl.lockf(self._file, fcntl.LOCK_UN, 1, self._ports.popleft())
        return True


_reservations = PortReservations(
    Path(tempfile.gettempdir()) / f"pistachiowell-ports-{os.getuid()}"
)


def free_port():
    """Returns a loopback TCP port that is free and was not returned before.

    Ports repeat only after the whole range has been tried. A port that another process
    got from here is not returned while that process has it reserved.
    """
    for number in _candidates:
        port = FIRST_PORT + number * _STEP % PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if _reservations.reserve(port):
            return port
