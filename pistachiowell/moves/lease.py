"""Lease of a move: which router may act as its holder, and until when.

The lease is the version of the move's state object in the store. The holder renews it
by conditional updates. Another router takes it over by a conditional update once it has
seen the same version unchanged for ``TAKEOVER_DELAY_S``, which covers the holder's
lease and a traffic token issued at its end. This prevents two holders from controlling
the traffic of one route at the same time.

Each router measures durations on its own clock, and no clock is compared with another
one. A holder that was paused fails at its next conditional update, and its traffic
tokens have expired before the takeover.
"""

from pistachiowell.moves.traffic_tokens import TRAFFIC_TOKEN_S

LEASE_DURATION_S = 8.0
RENEWAL_INTERVAL_S = 2.0
TAKEOVER_DELAY_S = LEASE_DURATION_S + TRAFFIC_TOKEN_S


class Lease:
    """State of one lease as this router knows it.

    Examples:
        >>> lease = Lease()
        >>> lease.observe(7, now=0.0)
        >>> lease.may_take_over(9.9), lease.may_take_over(10.0)
        (False, True)
        >>> lease.record_renewal(8, sent_at=10.0)
        >>> lease.is_held(17.9), lease.is_held(18.0)
        (True, False)
    """

    __slots__ = ("_held_until", "_unchanged_since", "_version")

    def __init__(self):
        self._version = None
        self._unchanged_since = 0.0
        self._held_until = float("-inf")

    @property
    def version(self):
        """Version of the state object that was seen last; None before."""
        return self._version

    def observe(self, version, now):
        """Records the version that a read has returned.

        A new version means that another router has written, so this router no longer
        holds the lease.

        Args:
            version: Version of the state object.
            now: Time after the read, in seconds.
        """
        if version != self._version:
            self._version = version
            self._unchanged_since = now
            self._held_until = float("-inf")

    def record_renewal(self, version, sent_at):
        """Records that a conditional update of this router took effect.

        The lease counts from the sending, which is before any other router can see the
        new version; so it ends here before another router takes it over.

        Args:
            version: The new version.
            sent_at: Time before the update was sent, in seconds.
        """
        self._version = version
        self._unchanged_since = sent_at
        self._held_until = sent_at + LEASE_DURATION_S

    def mark_lost(self):
        """Records that a conditional update of this router failed."""
        self._held_until = float("-inf")

    def is_held(self, now):
        """Returns whether this router may act as the holder."""
        return now < self._held_until

    def needs_renewal(self, now):
        """Returns whether the lease is due for renewal."""
        return now >= self._held_until - LEASE_DURATION_S + RENEWAL_INTERVAL_S

    def may_take_over(self, now):
        """Returns whether no lease and no traffic token of the holder is in force.

        True even if the holder still runs: its lease has ended since the version was
        last seen to change, and so have the traffic tokens that it issued before.
        """
        return (
            self._version is not None
            and now >= self._unchanged_since + TAKEOVER_DELAY_S
        )
