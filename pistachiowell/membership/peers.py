"""State of each peer from its link, heartbeats, incarnations and the VM list."""

from dataclasses import dataclass
from enum import StrEnum


class PeerState(StrEnum):
    """State of a peer as this process knows it.

    Attributes:
        unknown: The peer has never been connected.
        alive: The peer may get new work.
        silent: The link is open, but the peer has sent nothing for too long.
        leaving: The peer or its VM is leaving; it gets no new work.
        lost: The link to the peer is closed.
    """

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
        silence_s: Seconds without a heartbeat after which a peer gets no new work.
        drop_s: Seconds without a heartbeat after which its link is closed.
    """

    heartbeat_s: float = 0.5
    silence_s: float = 1.5
    drop_s: float = 5.0


@dataclass(slots=True)
class _Peer:
    incarnation: str = ""
    last_heartbeat_at: float = float("-inf")
    is_linked: bool = False
    is_leaving: bool = False
    is_vm_leaving: bool = False


class PeerTable:
    """Decides which peers may get new work.

    Any message of a peer counts as a heartbeat. A peer that is silent gets no new work:
    a process that is frozen or cut off keeps its link open for a while, and requests
    sent to it would wait until they time out.

    An incarnation that was followed by another one of the same peer is rejected for
    ever. Otherwise a process that was frozen and replaced could come back and get work
    beside its successor.

    The link is authoritative: the VM list lags, so it may only exclude a peer that it
    calls leaving. It never brings a peer back and never removes one that still answers.

    Args:
        settings: ``MembershipSettings``.

    Examples:
        >>> peers = PeerTable(MembershipSettings())
        >>> peers.record_connection("agent-1", "run-1", 0.0)
        True
        >>> peers.usable("agent-1", 1.0), peers.usable("agent-1", 2.0)
        (True, False)
        >>> peers.record_heartbeat("agent-1", "run-1", 2.0)
        >>> peers.record_leaving("agent-1", "run-1")
        >>> str(peers.state("agent-1", 2.1))
        'leaving'
    """

    __slots__ = ("_replaced", "_peers", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._peers = {}
        self._replaced = {}

    @property
    def settings(self):
        """The ``MembershipSettings``."""
        return self._settings

    def record_connection(self, peer, incarnation, now):
        """Records that an incarnation of a peer is connected.

        A new incarnation replaces the present one. May be called for every message of
        a connected peer; then it records a heartbeat.

        Args:
            peer: Name of the peer.
            incarnation: Its incarnation.
            now: Present time in seconds.

        Returns:
            Whether the incarnation is the present one; False if it was replaced.
        """
        if incarnation in self._replaced.get(peer, ()):
            return False
        entry = self._peers.setdefault(peer, _Peer())
        if entry.incarnation not in ("", incarnation):
            self._replaced.setdefault(peer, set()).add(entry.incarnation)
            entry.is_leaving = False
        entry.incarnation = incarnation
        entry.last_heartbeat_at = now
        entry.is_linked = True
        return True

    def record_heartbeat(self, peer, incarnation, now):
        """Records a message of a peer; messages of other incarnations are ignored.

        Args:
            peer: Name of the peer.
            incarnation: Incarnation that sent the message.
            now: Present time in seconds.
        """
        entry = self._find(peer, incarnation)
        if entry is not None:
            entry.last_heartbeat_at = now

    def record_leaving(self, peer, incarnation):
        """Records that a peer is leaving; only a new incarnation gets work again.

        Args:
            peer: Name of the peer.
            incarnation: Incarnation that leaves.
        """
        entry = self._find(peer, incarnation)
        if entry is not None:
            entry.is_leaving = True

    def record_disconnection(self, peer, incarnation):
        """Records that the link to an incarnation of a peer is closed.

        Args:
            peer: Name of the peer.
            incarnation: Incarnation at the other end of the link.
        """
        entry = self._find(peer, incarnation)
        if entry is not None:
            entry.is_linked = False

    def apply_vm_list(self, leaving, hosts):
        """Applies the platform's list of VMs, which lags.

        Args:
            leaving: Hosts that the list calls leaving.
            hosts: Host by peer name.
        """
        for peer, host in hosts.items():
            entry = self._peers.setdefault(peer, _Peer())
            entry.is_vm_leaving = host in leaving

    def state(self, peer, now):
        """Returns the ``PeerState`` of a peer.

        Args:
            peer: Name of the peer.
            now: Present time in seconds.
        """
        entry = self._peers.get(peer)
        if entry is None or not entry.incarnation:
            return PeerState.unknown
        if not entry.is_linked:
            return PeerState.lost
        if entry.is_leaving or entry.is_vm_leaving:
            return PeerState.leaving
        if now - entry.last_heartbeat_at > self._settings.silence_s:
            return PeerState.silent
        return PeerState.alive

    def usable(self, peer, now):
        """Returns whether the peer may get new work."""
        return self.state(peer, now) is PeerState.alive

    def peers_to_disconnect(self, now):
        """Returns the peers with an open link that were silent for ``drop_s``."""
        return [
            peer
            for peer, entry in self._peers.items()
            if entry.is_linked and now - entry.last_heartbeat_at > self._settings.drop_s
        ]

    def _find(self, peer, incarnation):
        entry = self._peers.get(peer)
        if entry is None or entry.incarnation != incarnation:
            return None
        return entry
