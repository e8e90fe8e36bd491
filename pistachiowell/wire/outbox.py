"""Numbered reports that a process keeps until its peers have acknowledged them.

What a link has queued is lost if the link is lost. A report is therefore kept, and sent
again over the next link of the peer. Reports of one sender arrive in the order of their
numbers on each link, and a new link begins with the first one that is not acknowledged,
so the receiver only has to remember the last number of each sender.
"""

from dataclasses import dataclass

MAX_REPORTS = 1_024
# A peer that was away for longer learns what matters as a new one does.
KEPT_S = 60.0
MAX_PEERS_AWAY = 1_024
MAX_SENDERS = 2_048


@dataclass(slots=True)
class KeptReport:
    """A report that not all peers have acknowledged.

    Attributes:
        number: Number of the report, from 1.
        report: The report.
        key: What the report tells about; None if a later one doesn't replace it.
        at: Time at which it was added, in seconds.
        recipients: The peers that are to get it; None for all.
        missing: Number of peers that have not acknowledged it.
    """

    number: int
    report: object
    key: object
    at: float
    recipients: frozenset | None = None
    missing: int = 0

    def is_for(self, peer):
        """Returns whether a peer is to get the report."""
        return self.recipients is None or peer in self.recipients


class Outbox:
    """The reports of one sender, and which of them each peer has acknowledged.

    A peer gets the reports that are added after it has first connected. One that is
    disconnected for ``KEPT_S`` is forgotten.

    Attributes:
        dropped: Number of reports that were given up before a peer had them.

    Examples:
        >>> outbox = Outbox()
        >>> outbox.connect("gateway-1")
        >>> outbox.add("a server has crashed", 1.0)
        1
        >>> outbox.disconnect("gateway-1", 1.1)
        >>> outbox.connect("gateway-1")
        >>> [kept.number for kept in outbox.pending("gateway-1")]
        [1]
        >>> outbox.acknowledge("gateway-1", 1)
        >>> len(outbox)
        0
    """

    __slots__ = (
        "_acknowledged",
        "_by_key",
        "_disconnected_at",
        "_last_number",
        "_reports",
        "dropped",
    )

    def __init__(self):
        self._acknowledged = {}
        self._by_key = {}
        self._disconnected_at = {}
        self._last_number = 0
        self._reports = {}
        self.dropped = 0

    def __len__(self):
        return len(self._reports)

    def add(self, report, now, key=None, recipients=None):
        """Adds a report and returns its number.

        Args:
            report: The report.
            now: Time in seconds.
            key: What it tells about; it replaces an earlier report with the same key.
            recipients: The peers that are to get it; None for all.
        """
        self._trim(now)
        self._last_number += 1
        if key in self._by_key:
            del self._reports[self._by_key.pop(key)]
        kept = KeptReport(self._last_number, report, key, now, recipients)
        if recipients is None:
            kept.missing = len(self._acknowledged)
        else:
            kept.recipients = frozenset(recipients) & self._acknowledged.keys()
            kept.missing = len(kept.recipients)
        if kept.missing:
            self._reports[kept.number] = kept
            if key is not None:
                self._by_key[key] = kept.number
        if len(self._reports) > MAX_REPORTS:
            self._drop_oldest()
        return kept.number

    def pending(self, peer):
        """Returns the ``KeptReport`` that a peer has not acknowledged, oldest first."""
        acknowledged = self._acknowledged.get(peer, self._last_number)
        return [
            kept
            for number, kept in self._reports.items()
            if number > acknowledged and kept.is_for(peer)
        ]

    def connect(self, peer):
        """Records that a peer is connected."""
        self._acknowledged.setdefault(peer, self._last_number)
        self._disconnected_at.pop(peer, None)

    def disconnect(self, peer, now):
        """Records that a peer is no longer connected, at a time in seconds."""
        if peer in self._acknowledged:
            self._disconnected_at.pop(peer, None)
            self._disconnected_at[peer] = now
        self._trim(now)

    def remove_peer(self, peer):
        """Forgets a peer and returns the reports that it has not acknowledged."""
        pending = self.pending(peer)
        self._release(pending, self._last_number)
        self._disconnected_at.pop(peer, None)
        self._acknowledged.pop(peer, None)
        return [kept.report for kept in pending]

    def acknowledge(self, peer, number):
        """Records that a peer has all reports up to a number.

        Args:
            peer: The peer.
            number: Number of the last report that it has applied.
        """
        before = self._acknowledged.get(peer)
        if before is None or number <= before:
            return
        self._release(self.pending(peer), number)
        self._acknowledged[peer] = min(number, self._last_number)

    def _release(self, reports, number):
        for kept in reports:
            if kept.number <= number:
                kept.missing -= 1
                if not kept.missing:
                    self._remove(kept)

    def _remove(self, kept):
        del self._reports[kept.number]
        if kept.key is not None:
            del self._by_key[kept.key]

    def _trim(self, now):
        while self._disconnected_at:
            peer, at = next(iter(self._disconnected_at.items()))
            if len(self._disconnected_at) <= MAX_PEERS_AWAY and now - at < KEPT_S:
                break
            self.dropped += len(self.remove_peer(peer))
        while self._reports:
            if now - next(iter(self._reports.values())).at < KEPT_S:
                break
            self._drop_oldest()

    def _drop_oldest(self):
        self._remove(next(iter(self._reports.values())))
        self.dropped += 1


class Inbox:
    """The last number that was applied of each sender.

    Examples:
        >>> inbox = Inbox()
        >>> inbox.take("agent-1", 1), inbox.take("agent-1", 1)
        (True, False)
    """

    __slots__ = ("_last",)

    def __init__(self):
        self._last = {}

    def last(self, sender):
        """Returns the last number that was applied of a sender; 0 before the first."""
        return self._last.get(sender, 0)

    def take(self, sender, number):
        """Returns whether a report is to be applied, and records that it is.

        Args:
            sender: Incarnation of the sender, or a tuple that contains it.
            number: Number of the report; 0 if the sender numbers none.
        """
        if not number:
            return True
        last = self._last.pop(sender, 0)
        self._last[sender] = max(last, number)
        if len(self._last) > MAX_SENDERS:
            del self._last[next(iter(self._last))]
        return number > last
