"""Clients that exceed the limits of a process, and what they cost it."""

import asyncio
import os
import socket
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import anyio

from pistachiowell.bench.procfs import rss_bytes
from pistachiowell.soak.endless import peak_memory_bytes

RECONNECT_DELAY_S = 0.1
SAMPLE_INTERVAL_S = 0.05
# A client that reads nothing lets its kernel take few bytes in its place.
UNREAD_BYTES = 4_096


@dataclass(frozen=True, slots=True)
class Crowd:
    """Clients that all do the same.

    Attributes:
        start: Bytes that each client sends on a new connection.
        block: Bytes that it repeats after them without end; empty to wait.
        interval_s: Seconds between two blocks.
        port: Name of the port that they connect to.
        size: Number of the clients.
        length_s: Time in seconds for which they send.
    """

    start: bytes = b""
    block: bytes = b""
    interval_s: float = 0.0
    port: str = "http"
    size: int = 40
    length_s: float = 1.0

    async def _send(self, connection, is_over):
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, self.start)
        while self.block and not is_over.is_set():
            await loop.sock_sendall(connection, self.block)
            await anyio.sleep(self.interval_s)
        while not is_over.is_set():
            if _has_ended(connection):
                return
            await anyio.sleep(SAMPLE_INTERVAL_S)
        await anyio.sleep_forever()

    async def play_client(self, address, is_over):
        """Plays one client until cancelled; it comes back if it is sent away.

        Args:
            address: Host and port.
            is_over: Event after which it only keeps its connection.
        """
        while not is_over.is_set():
            with socket.socket() as connection, suppress(OSError):
                connection.setblocking(False)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
                await asyncio.get_running_loop().sock_connect(connection, address)
                await self._send(connection, is_over)
            await anyio.sleep(RECONNECT_DELAY_S)


class Cost:
    """What a process uses while a crowd plays.

    Args:
        pid: Process id.

    Attributes:
        descriptors: Largest number of open descriptors that was seen.
    """

    __slots__ = ("_pid", "_start_bytes", "descriptors")

    def __init__(self, pid):
        self._pid = pid
        self._start_bytes = rss_bytes(pid)
        self.descriptors = 0

    @property
    def grown_mb(self):
        """Megabytes that its memory has grown by at most."""
        return round((peak_memory_bytes(self._pid) - self._start_bytes) / 1e6, 1)

    async def sample(self):
        """Counts the open descriptors until cancelled."""
        directory = Path(f"/proc/{self._pid}/fd")
        while True:
            with suppress(FileNotFoundError):
                self.descriptors = max(self.descriptors, len(os.listdir(directory)))
            await anyio.sleep(SAMPLE_INTERVAL_S)


def _has_ended(connection):
    """Returns whether the peer has closed a connection, without reading from it.

    References:
        tcp(7): the first byte of ``TCP_INFO`` is the state.
    """
    return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != 1
