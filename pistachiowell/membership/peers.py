"""State of each peer from its link, heartbeats, incarnations and the VM list."""

from dataclasses import dataclass
from enum import StrEnum


class PeerState(StrEnum):
    """What a process knows of a peer."""

    unknown = "unknown"
    alive = "alive"
    silent = "silent"
    leaving = "leaving"
    lost = "lost"


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of a ``PeerTable``.

    Attributes:
        heartbeat_s: Seconds between heartbeats on a link.
        silence_s: Seconds without a message after which a peer gets no new work.
        drop_s: Seconds without a message after which its link is closed.
    """

    heartbeat_s: float = 0.5
    silence_s: float = 1.5
    drop_s: float = 5.0


@dataclass(slots=True)
class _Peer:
    incarnation: str = ""
    heard_at: float = float("-inf")
    linked: bool = False
    leaving: bool = False
    vm_leaving: bool = False


class PeerTable:
    """Decides which peers may get new work.

    The link is what counts: the VM list lags, so it may only take a peer out that
    it calls leaving, and never bring one back or remove one that still answers.

    Args:
        settings: ``MembershipSettings``.

    Examples:
        >>> book = PeerTable(MembershipSettings())
        >>> book.record_connection("agent-1", "run-1", 0.0)
        True
        >>> book.usable("agent-1", 1.0), book.usable("agent-1", 2.0)
        (True, False)
        >>> book.record_heartbeat("agent-1", "run-1", 2.0)
        >>> book.record_leaving("agent-1", "run-1")
        >>> str(book.state("agent-1", 2.1))
        'leaving'
    """

    __slots__ = ("_old", "_peers", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._peers = {}
        self._old = {}

    @property
    def settings(self):
        """The ``MembershipSettings``."""
        return self._settings

    def record_connection(self, peer, incarnation, now):
        """Takes the hello of a peer.

        Args:
            peer: Name of the peer.
            incarnation: Its run.
            now: Present time in seconds.

        Returns:
            Whether the run is the present one; a run that was followed by another
            stays out.
        """
        if incarnation in self._old.get(peer, ()):
            return False
        entry = self._peers.setdefault(peer, _Peer())
        if entry.incarnation not in ("", incarnation):
            self._old.setdefault(peer, set()).add(entry.incarnation)
            entry.leaving = False
        entry.incarnation = incarnation
        entry.heard_at = now
        entry.linked = True
        return True

    def record_heartbeat(self, peer, incarnation, now):
        """Takes any message of a peer."""
        entry = self._find(peer, incarnation)
        if entry is not None:
            entry.heard_at = now

    def record_leaving(self, peer, incarnation):
        """Takes a peer's word that it leaves; only a new run comes back."""
        entry = self._find(peer, incarnation)
        if entry is not None:
            entry.leaving = True

    def record_disconnection(self, peer, incarnation):
        """Takes the loss of the link to a run of a peer."""
        entry = self._find(peer, incarnation)
        if entry is not None:
            entry.linked = False

    def apply_vm_list(self, leaving, hosts):
        """Takes the platform's lagging list.

        Args:
            leaving: Hosts that the list calls leaving.
            hosts: Host by peer name.
        """
        for peer, host in hosts.items():
            entry = self._peers.setdefault(peer, _Peer())
            entry.vm_leaving = host in leaving

    def state(self, peer, now):
        """Returns the ``PeerState`` of a peer."""
        entry = self._peers.get(peer)
        if entry is None or not entry.incarnation:
            return PeerState.unknown
        if not entry.linked:
            return PeerState.lost
        if entry.leaving or entry.vm_leaving:
            return PeerState.leaving
        if now - entry.heard_at > self._settings.silence_s:
            return PeerState.silent
        return PeerState.alive

    def usable(self, peer, now):
        """Returns whether the peer may get new work."""
        return self.state(peer, now) is PeerState.alive

    def peers_to_disconnect(self, now):
        """Returns linked peers that were silent so long that their link must go."""
        return [
            peer
            for peer, entry in self._peers.items()
            if entry.linked and now - entry.heard_at > self._settings.drop_s
        ]

    def _find(self, peer, incarnation):
        entry = self._peers.get(peer)
        if entry is None or entry.incarnation != incarnation:
            return None
        return entry
