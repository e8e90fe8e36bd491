"""Server-sent events of a backend server's stream."""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventReader:
    r"""Splits a stream into whole events.

    Attributes:
        last_id: Id of the latest whole event; empty before the first one with an id.
        count: Whole events so far.

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
        """Bytes of an event that has not ended."""
        return len(self._buffer)

    def feed(self, data):
        """Takes bytes of the stream.

        Returns:
            Bytes of each event that they end. An event that came before is left out,
            as a server that goes on may repeat some.
        """
        parts = (self._buffer + data).split(EVENT_END)
        self._buffer = parts.pop()
        events = []
        for part in parts:
            if self._is_new(part):
                self.count += 1
                events.append(part + EVENT_END)
        return events

    def restart(self):
        """Drops the event that has not ended, as another server goes on."""
        self._buffer = b""

    def _is_new(self, event):
        event_id = _event_id(event)
        if not event_id:
            return True
        both_count = event_id.isdigit() and self.last_id.isdigit()
        if both_count and int(event_id) <= int(self.last_id):
            return False
        self.last_id = event_id
        return True


def _event_id(event):
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
