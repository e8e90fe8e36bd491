"""Reader of the server-sent events in a backend server's stream."""

from pistachiowell.core.answer_heads import is_header_value
from pistachiowell.engines import MAX_EVENT_BYTES

EVENT_END = b"\n\n"
# A server that continues a stream repeats a few events at most.
MAX_REPEATED_EVENTS = 1_000
# Servers refuse requests whose heads are too long.
MAX_ID_BYTES = 1_024
ID_FIELD = b"id:"


class EventReader:
    r"""Splits a stream into complete events and removes repeated ones.

    Args:
        max_events: Number of events that an answer cannot exceed; None if it is not
            known.

    Attributes:
        last_id: Id of the latest complete event; empty before the first one with an id.
        count: Number of complete events so far, without repeated ones.
        fault: Why the latest bytes are not of an answer; empty if they may be.

    Examples:
        >>> reader = EventReader()
        >>> reader.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        [b'id: 1\ndata: a\n\n']
        >>> reader.pending_bytes, reader.last_id
        (8, '1')
    """

    __slots__ = ("_buffer", "_max_events", "_repeated", "count", "fault", "last_id")

    def __init__(self, max_events=None):
        self._max_events = max_events
        self._repeated = 0
        self._buffer = b""
        self.last_id = ""
        self.count = 0
        self.fault = ""

    @property
    def pending_bytes(self):
        """Number of bytes of the incomplete last event."""
        return len(self._buffer)

    def feed(self, data):
        """Adds bytes of the stream.

        Returns:
            A list with the bytes of each event that they complete. Events that were
            read before are left out: a server that continues the stream of another one
            may repeat some, and the caller would receive them twice. What follows
            bytes that are no event is left out too; see ``fault``.
        """
        parts = (self._buffer + data).split(EVENT_END)
        self._buffer = parts.pop()
        events = []
        for part in parts:
            event_id = _event_id(part)
            self.fault = self.fault or self._find_fault(event_id)
            if self.fault:
                break
            if self._is_new(event_id.decode("latin-1")):
                self.count += 1
                events.append(part + EVENT_END)
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.fault = self.fault or f"An event exceeds {MAX_EVENT_BYTES} bytes."
        return events

    def begin_continuation(self):
        """Discards the incomplete event, as the next server sends it from its start."""
        self._buffer = b""
        self._repeated = 0
        self.fault = ""

    def _find_fault(self, event_id):
        if not event_id:
            return "The stream has bytes that are no event with an id."
        # It is sent in a header to the server that continues the stream.
        if len(event_id) > MAX_ID_BYTES or not is_header_value(event_id):
            return "The stream has an event whose id cannot be sent in a header."
        if self._repeated >= MAX_REPEATED_EVENTS:
            return "The server repeats events without end."
        if self._max_events is not None and self.count >= self._max_events:
            return "The stream has more events than the answer has tokens."
        return ""

    def _is_new(self, event_id):
        # ``isdigit`` holds for superscripts, too.
        are_numbers = event_id.isdecimal() and self.last_id.isdecimal()
        if are_numbers and int(event_id) <= int(self.last_id):
            self._repeated += 1
            return False
        self.last_id = event_id
        return True


def _event_id(event):
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return b""
