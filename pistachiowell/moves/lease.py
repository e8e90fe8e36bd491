"""The lease of a move: who may hold it, by whose clock.

The lease is the version of the move's state object. The holder renews it by
conditional updates; another router takes it over by a conditional update once it has
seen one version unchanged for longer than any permit of the holder can last. No
clock is compared with another one; a holder that was paused loses its conditional
update, and its permits have ended before.
"""

from pistachiowell.moves.traffic_tokens import TRAFFIC_TOKEN_S

LEASE_S = 8.0
RENEW_S = 2.0
TAKEOVER_S = LEASE_S + TRAFFIC_TOKEN_S


class Lease:
    """A router's view of one lease.

    Examples:
        >>> lease = Lease()
        >>> lease.observe(7, now=0.0)
        >>> lease.may_take_over(9.9), lease.may_take_over(10.0)
        (False, True)
        >>> lease.record_renewal(8, sent_at=10.0)
        >>> lease.is_held(17.9), lease.is_held(18.0)
        (True, False)
    """

    __slots__ = ("_held_until", "_seen_since", "_version")

    def __init__(self):
        self._version = None
        self._seen_since = 0.0
        self._held_until = float("-inf")

    @property
    def version(self):
        """Version of the state object that was seen last; None before."""
        return self._version

    def observe(self, version, now):
        """Notes the version that a read has returned.

        Args:
            version: Version of the state object.
            now: Time after the read, in seconds.
        """
        if version != self._version:
            self._version = version
            self._seen_since = now
            self._held_until = float("-inf")

    def record_renewal(self, version, sent_at):
        """Notes an own conditional update that took effect.

        Args:
            version: The new version.
            sent_at: Time before the update was sent, in seconds.
        """
        self._version = version
        self._seen_since = sent_at
        self._held_until = sent_at + LEASE_S

    def mark_lost(self):
        """Notes that an own conditional update failed."""
        self._held_until = float("-inf")

    def is_held(self, now):
        """Whether this router may act as the holder."""
        return now < self._held_until

    def needs_renewal(self, now):
        """Whether it is time to renew."""
        return now >= self._held_until - LEASE_S + RENEW_S

    def may_take_over(self, now):
        """Whether the holder, if it still runs, has no permit in force."""
        return self._version is not None and now >= self._seen_since + TAKEOVER_S
