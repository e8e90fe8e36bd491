"""Budget of connections and bytes for the clients of one process.

Load pattern: as ``connection_order``. New connections and bytes are let in, and those
give way that have done least, until a limit is kept again.
"""

from dataclasses import dataclass

from pistachiowell.core.connection_order import ConnectionOrder, Stage

# What an ordinary request without a large body holds. So little is never refused, and
# closing its connection would give back too little.
SMALL_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of the clients of one process.

    Attributes:
        connections: Largest number of connections to all ports.
        held_bytes: Most bytes of heads, bodies and unread answers of all connections.
        header_lines: Largest number of header lines of a request.
        body_timeout_s: Longest time in seconds for the body of a request.
    """

    connections: int
    held_bytes: int
    header_lines: int = 4_096
    body_timeout_s: float = 120.0


class ClientBudget:
    """Decides which connections are closed so that the limits are kept.

    Args:
        limits: ``ClientLimits``.

    Attributes:
        held_bytes: Present number of bytes that the connections hold, and those of
            answers that are being read for them.

    Examples:
        >>> budget = ClientBudget(ClientLimits(connections=2, held_bytes=100_000))
        >>> budget.add("a", 1.0), budget.add("b", 2.0)
        ([], [])
        >>> budget.add("c", 3.0)
        ['a']
        >>> budget.update("b", Stage.body, 80_000, 4.0)
        []
        >>> budget.update("c", Stage.body, 80_000, 5.0)
        ['b']
    """

    __slots__ = ("_held", "_holders", "_limits", "_order", "held_bytes")

    def __init__(self, limits):
        self._limits = limits
        self._order = ConnectionOrder()
        self._holders = ConnectionOrder()
        self._held = {}
        self.held_bytes = 0

    def __len__(self):
        return len(self._order)

    def add(self, connection, now):
        """Adds a new connection.

        Returns:
            The connections to close in its favour; itself if no other may be closed.
        """
        self._order.put(connection, Stage.silent, now)
        if len(self._order) <= self._limits.connections:
            return []
        others = (c for c in self._order.giving_way() if c is not connection)
        return [next(others, connection)]

    def update(self, connection, stage, held_bytes, now):
        """Records what a connection does and how many bytes it holds.

        Returns:
            The connections to close so that there is room for its bytes.
        """
        if connection not in self._order:
            return []
        if self._order.stage(connection) is not stage:
            self._order.put(connection, stage, now)
        self._hold(connection, stage, held_bytes, now)
        if self.held_bytes <= self._limits.held_bytes or held_bytes <= SMALL_BYTES:
            return []
        return self._without_room(connection, stage)

    def _hold(self, connection, stage, held_bytes, now):
        self.held_bytes += held_bytes - self._held.pop(connection, 0)
        self._held[connection] = held_bytes
        if held_bytes <= SMALL_BYTES:
            self._holders.discard(connection)
        elif self._holders.stage(connection) is not stage:
            self._holders.put(connection, stage, now)

    def _without_room(self, connection, stage):
        """Returns those that give way to a connection, or the connection itself.

        An answer that is ready is not given up in favour of running requests, and a
        single connection may hold more than the limit.
        """
        closed = self._until_kept(connection)
        held_bytes = self.held_bytes - sum(self._held[other] for other in closed)
        is_over = held_bytes > self._limits.held_bytes
        if is_over and held_bytes > self._held[connection] and stage < Stage.stalled:
            closed.append(connection)
        return closed

    def _until_kept(self, excluded):
        closed, excess = [], self.held_bytes - self._limits.held_bytes
        for other in self._holders.giving_way():
            if excess <= 0:
                break
            if other is not excluded:
                closed.append(other)
                excess -= self._held[other]
        return closed

    def hold_answers(self, more_bytes):
        """Records bytes of answers that are being read, or fewer of them.

        Returns:
            The connections to close so that there is room for them.
        """
        self.held_bytes += more_bytes
        return self._until_kept(None) if more_bytes > 0 else []

    def refresh(self, connection, now):
        """Records that a connection makes progress in its stage."""
        for order in (self._order, self._holders):
            if connection in order:
                order.put(connection, order.stage(connection), now)

    def remove(self, connection):
        """Removes a connection that is closed or about to be."""
        self._order.discard(connection)
        self._holders.discard(connection)
        self.held_bytes -= self._held.pop(connection, 0)

    def due(self, stage, before):
        """Returns the connections that have been in a stage since before a time."""
        return self._order.due(stage, before)
