"""Reader of the server-sent events in a backend server's stream."""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventReader:
    r"""Splits a stream into complete events and removes repeated ones.

    Attributes:
        last_id: Id of the latest complete event; empty before the first one with an id.
        count: Number of complete events so far, without repeated ones.

    Examples:
        >>> reader = EventReader()
        >>> reader.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        [b'id: 1\ndata: a\n\n']
        >>> reader.pending_bytes, reader.last_id
        (8, '1')
    """

    __slots__ = ("_buffer", "count", "last_id")

    def __init__(self):
        self._buffer = b""
        self.last_id = ""
        self.count = 0

    @property
    def pending_bytes(self):
        """Number of bytes of the incomplete last event."""
        return len(self._buffer)

    def feed(self, data):
        """Adds bytes of the stream.

        Returns:
            A list with the bytes of each event that they complete. Events that were
            read before are left out: a server that continues the stream of another one
            may repeat some, and the caller would receive them twice.
        """
        parts = (self._buffer + data).split(EVENT_END)
        self._buffer = parts.pop()
        events = []
        for part in parts:
            if self._is_new(part):
                self.count += 1
                events.append(part + EVENT_END)
        return events

    def discard_pending(self):
        """Discards the incomplete event, as the next server sends it from its start."""
        self._buffer = b""

    def _is_new(self, event):
        event_id = _event_id(event)
        if not event_id:
            return True
        are_numbers = event_id.isdigit() and self.last_id.isdigit()
        if are_numbers and int(event_id) <= int(self.last_id):
            return False
        self.last_id = event_id
        return True


def _event_id(event):
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
