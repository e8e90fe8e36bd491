"""Allocation of loopback ports for the programs of a rig."""

import itertools
import os
import socket

# The ports are below the range of ephemeral ports. Otherwise an outgoing connection
# could occupy the port of a program that is down, which could not restart then.
FIRST_PORT = 15000
PORT_COUNT = 16000
_STEP = 7

# Distance between the first candidates of processes with consecutive process ids, so
# that test runs that start together do not race for the same ports. Each run needs
# far fewer ports than this.
_CANDIDATES_PER_PROCESS = 4_999
_candidates = itertools.count(os.getpid() * _CANDIDATES_PER_PROCESS)


def free_port():
    """Returns a loopback TCP port that is free and was not returned before.

    Ports repeat only after the whole range has been tried.
    """
    for number in _candidates:
        port = FIRST_PORT + number * _STEP % PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
