"""A peer that answers each connection with bytes without end, for tests."""

from contextlib import suppress

import anyio

BLOCK_BYTES = 65_536


class EndlessPeer:
    """Sends some bytes and then a unit without end to whoever connects.

    Args:
        start: Bytes that come first, such as the head of an answer.
        unit: Bytes that are repeated.
        interval_s: Seconds between two units; None to send as fast as they are read.

    Attributes:
        connections: Number of connections so far.
        port: Its TCP port.
        sent_bytes: Bytes that it has handed to the network so far.
    """

    __slots__ = ("_block", "_interval_s", "_start", "connections", "port", "sent_bytes")

    def __init__(self, start, unit, interval_s=None):
        self._start = start
        self._interval_s = interval_s
        self._block = unit * (1 if interval_s else max(1, BLOCK_BYTES // len(unit)))
        self.connections = 0
        self.port = 0
        self.sent_bytes = 0

    async def serve(self, *, task_status):
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._send_without_end)

    async def _send_without_end(self, stream):
        self.connections += 1
        with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            async with stream:
                await stream.send(self._start)
                while True:
                    await stream.send(self._block)
                    self.sent_bytes += len(self._block)
                    await anyio.sleep(self._interval_s or 0)
