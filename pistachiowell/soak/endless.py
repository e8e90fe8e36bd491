"""Answers of a soak's servers that go on without end."""

import re
from pathlib import Path

import anyio

BLOCK_BYTES = 65_536
# Its blank line ends a head that is broken off in the value of a header. If that has a
# length, or if the connection is cut, it is then a whole answer of the server.
INTERIM_ANSWER = b"HTTP/1.1 102 Processing\r\n\r\n"
HUGE_CHUNK = b"fffffff0\r\n"
# Nothing here is an event, and nothing completes an answer with a length.
UNITS = (b"a", b"a: b\r\n", INTERIM_ANSWER, b"\x00", HUGE_CHUNK)
# Ends a head as well.
BLANK_LINES = b"\n\n"
# Memory of the smallest VM of the users, of which each process may use all.
MAX_MEMORY_BYTES = 300_000_000
_LENGTH = re.compile(rb"Content-Length: \d+")


class EndlessStream:
    """Connection to a gateway on which an answer goes on without end.

    The answer is broken off before or at a random point of its head, or between two of
    its parts, or its body has no end. It is never whole, also if the connection is cut.

    Args:
        stream: The connection.
        rng: ``random.Random``.
    """

    __slots__ = ("__weakref__", "_rng", "_stream")

    def __init__(self, stream, rng):
        self._stream = stream
        self._rng = rng

    async def send(self, data):
        """Sends a part of an answer whole, or a part of it and bytes without end."""
        if self._rng.random() < 0.5:
            return await self._stream.send(data)
        head_end = data.find(b"\r\n\r\n") + 1 if data.startswith(b"HTTP") else 0
        unit = self._rng.choice(UNITS if head_end else (*UNITS, BLANK_LINES))
        await self._stream.send(self._prefix(data, head_end, unit))
        block = unit * (BLOCK_BYTES // len(unit))
        while True:
            await self._stream.send(block)
            await anyio.sleep(0)

    def _prefix(self, data, head_end, unit):
        """Returns what is sent of a part before the bytes without end."""
        if not head_end or unit == INTERIM_ANSWER:
            return b""
        if unit == HUGE_CHUNK:
            head = data[: head_end + 3]
            return _LENGTH.sub(b"Transfer-Encoding: chunked", head)
        return data[: self._rng.randint(0, head_end)]


def peak_memory_bytes(pid):
    """Returns the largest memory that a process has had.

    References:
        proc_pid_status(5): the field ``VmHWM``.
    """
    text = Path(f"/proc/{pid}/status").read_text(encoding="ascii", errors="replace")
    match = re.search(r"VmHWM:\s*(\d+) kB", text)
    return int(match.group(1)) * 1024 if match else 0
