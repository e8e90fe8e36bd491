"""Flow control of the reads from one client."""

from uvicorn.protocols.http.flow_control import FlowControl

SMALL_READ_BYTES = 512
# Ordinary clients send a head or the end of a body in few small parts.
FREE_SMALL_READS = 32
SMALL_READ_DELAY_S = 0.02


class ReadGate(FlowControl):
    """Flow control that also delays reads from clients that send few bytes at a time.

    Each read costs the event loop a turn, whatever its size.

    Args:
        transport: The transport of the connection.
        loop: The event loop.
    """

    def __init__(self, transport, loop):
        super().__init__(transport)
        self._loop = loop
        self._is_shut = False
        self._small_reads = 0

    def resume_reading(self):
        """Resumes reading unless it is delayed or has ended."""
        if not self._is_shut:
            super().resume_reading()

    def shut(self):
        """Stops reading until ``_open``, whoever resumes it."""
        self.pause_reading()
        self._is_shut = True

    def record_request(self):
        """Starts counting anew, as a request has ended."""
        self._small_reads = 0

    def record_read(self, size):
        """Delays the next read if too many have been small.

        Args:
            size: Number of bytes that were read.
        """
        if size >= SMALL_READ_BYTES or self._is_shut:
            return
        self._small_reads += 1
        if self._small_reads > FREE_SMALL_READS and not self.read_paused:
            self.shut()
            self._loop.call_later(SMALL_READ_DELAY_S, self._open)

    def _open(self):
        self._is_shut = False
        self.resume_reading()
