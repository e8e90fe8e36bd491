"""Order in which the connections of a process give way to others.

Load pattern: strangers open more connections than there are descriptors, or let the
process hold more bytes than it has memory for, and do as little as they can.
"""

import enum


class Stage(enum.IntEnum):
    """What a connection does at present; the lowest gives way first."""

    silent = 0
    head = 1
    leftover = 2
    idle = 3
    body = 4
    stalled = 5
    serving = 6


class ConnectionOrder:
    """Connections by their stage, those first that have been in it for longest.

    Examples:
        >>> order = ConnectionOrder()
        >>> order.put("a", Stage.body, 1.0)
        >>> order.put("b", Stage.silent, 2.0)
        >>> order.put("c", Stage.serving, 3.0)
        >>> list(order.giving_way())
        ['b', 'a']
        >>> order.due(Stage.body, 1.5)
        ['a']
    """

    __slots__ = ("_by_stage", "_stages")

    def __init__(self):
        self._by_stage = {stage: {} for stage in Stage}
        self._stages = {}

    def __len__(self):
        return len(self._stages)

    def __contains__(self, connection):
        return connection in self._stages

    def stage(self, connection):
        """Returns the ``Stage`` of a connection, or None."""
        return self._stages.get(connection)

    def put(self, connection, stage, now):
        """Adds a connection, or moves it to the end of a stage."""
        self.discard(connection)
        self._stages[connection] = stage
        self._by_stage[stage][connection] = now

    def discard(self, connection):
        """Removes a connection if it is known."""
        stage = self._stages.pop(connection, None)
        if stage is not None:
            del self._by_stage[stage][connection]

    def giving_way(self):
        """Yields the connections that may be closed, in order."""
        for stage, connections in self._by_stage.items():
            if stage is not Stage.serving:
                yield from connections

    def due(self, stage, before):
        """Returns the connections that have been in a stage since before a time."""
        due = []
        for connection, since in self._by_stage[stage].items():
            if since >= before:
                break
            due.append(connection)
        return due
