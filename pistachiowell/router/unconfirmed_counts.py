"""Counts of answers that a router has reported and that may not have arrived."""

from collections import defaultdict

from pistachiowell.wire.outbox import Outbox


class UnconfirmedCounts:
    """Keeps each report of counts for its receiver until that has confirmed it.

    A receiver adds what it is told to its own counts or to the evidence, so a report
    whose answer was lost must not go to another one while the first may have it.

    Examples:
        >>> from pistachiowell.schema.generated.table import MoveRow
        >>> from pistachiowell.moves.tracker import MoveTracker
        >>> tracker = MoveTracker(MoveRow("move", "m", "chat", "v1", "v2", ""))
        >>> unconfirmed = UnconfirmedCounts()
        >>> tracker.record_answer("v1", "s1", "osu", False, 0.0, 0.1)
        >>> number, counts, tripped = unconfirmed.next(tracker, "router-1", 1.0)
        >>> number, sum(counts.values()), tripped
        (1, 1, False)
        >>> unconfirmed.next(tracker, "router-1", 2.0)[0]
        1
        >>> unconfirmed.confirm(tracker, "router-1", 1)
        >>> unconfirmed.next(tracker, "router-1", 3.0)[0]
        0
    """

    __slots__ = ("_outbox", "_receivers")

    def __init__(self):
        self._outbox = Outbox()
        self._receivers = defaultdict(set)

    @property
    def dropped(self):
        """Number of reports that were given up."""
        return self._outbox.dropped

    def is_waiting(self, tracker, receiver):
        """Returns whether a report has to be sent to a receiver again."""
        return bool(self._outbox.pending((receiver, tracker.row.name)))

    def waiting_receivers(self, tracker):
        """Returns the receivers with a report that has to be sent again."""
        receivers = self._receivers.get(tracker.row.name, ())
        return [r for r in receivers if self.is_waiting(tracker, r)]

    def next(self, tracker, receiver, now):
        """Returns the report that is to be sent to a receiver next.

        Args:
            tracker: The ``MoveTracker``; its counts are drained unless an earlier
                report has to be sent again.
            receiver: Incarnation of the receiver.
            now: Time in seconds.

        Returns:
            ``(number, counts, tripped)``; see ``MoveTracker.drain_report``. The number
            is 0 if there is nothing to tell.
        """
        move = tracker.row.name
        peer = receiver, move
        for kept in self._outbox.pending(peer):
            return kept.number, *kept.report
        counts, tripped = tracker.drain_report()
        if not counts and not tripped:
            return 0, counts, tripped
        self._receivers[move].add(receiver)
        self._outbox.connect(peer)
        number = self._outbox.add((counts, tripped), now, recipients=[peer])
        return number, counts, tripped

    def confirm(self, tracker, receiver, number):
        """Records that a receiver has the report with a number."""
        self._outbox.acknowledge((receiver, tracker.row.name), number)

    def take_back(self, tracker, is_gone):
        """Gives the counts for receivers that are gone back to the tracker.

        Args:
            tracker: The ``MoveTracker``.
            is_gone: Function of an incarnation that returns whether it has ended.
        """
        receivers = self._receivers.get(tracker.row.name, set())
        for receiver in [r for r in receivers if is_gone(r)]:
            receivers.discard(receiver)
            for counts, tripped in self._outbox.remove_peer(
                (receiver, tracker.row.name)
            ):
                tracker.restore_report(counts, tripped)

    def discard(self, move):
        """Discards what is kept of a move that has ended."""
        for receiver in self._receivers.pop(move, ()):
            self._outbox.remove_peer((receiver, move))
