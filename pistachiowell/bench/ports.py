"""Loopback ports for the programs of a rig."""

import itertools
import os
import socket

FIRST_PORT = 15000
PORT_COUNT = 16000
_STEP = 7

# Below the range of ephemeral ports, so that no outgoing connection takes a port
# while the program that it belongs to is down. Test runs that start together have
# process ids that follow each other, and each takes far fewer ports than this.
_PORTS_OF_A_RUN = 4_999
_candidates = itertools.count(os.getpid() * _PORTS_OF_A_RUN)


def free_port():
    """Returns a loopback TCP port that nothing listens on."""
    for number in _candidates:
        port = FIRST_PORT + number * _STEP % PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
