"""One router's part in a move: its picks, its brake and what it has to report."""

import dataclasses
from collections import defaultdict

from pistachiowell.moves.circuit_breaker import CircuitBreaker
from pistachiowell.moves.evidence import Answer, latency_bucket
from pistachiowell.moves.traffic_tokens import TrafficToken, version_weights

BEGAN_STEP_S = 0.1


class MoveTracker:
    """Picks versions of the moving route and counts their answers.

    Args:
        row: The ``MoveRow``.

    Examples:
        >>> from pistachiowell.schema.generated.table import MoveRow
        >>> row = MoveRow("move", "m", "chat", "v1", "v2", "2026-01-01T00:00:00Z")
        >>> tracker = MoveTracker(row)
        >>> tracker.current_share(0.0)
        0.0
        >>> tracker.apply_traffic_token(
        ...     fence=2, share=0.2, probes=0, valid_until=3.0, now=1.0)
        >>> tracker.apply_traffic_token(
        ...     fence=1, share=0.5, probes=0, valid_until=4.0, now=1.0)
        >>> tracker.current_share(2.0), tracker.current_share(3.0)
        (0.2, 0.0)
    """

    __slots__ = (
        "_brake",
        "_counts",
        "_permit",
        "_probes",
        "_row",
        "_tripped",
        "_urgent",
    )

    def __init__(self, row):
        self._row = row
        self._brake = CircuitBreaker()
        self._permit = None
        self._probes = 0
        self._counts = defaultdict(int)
        self._urgent = False
        self._tripped = False

    @property
    def row(self):
        """The ``MoveRow``."""
        return self._row

    @property
    def traffic_token(self):
        """The ``TrafficToken`` taken last; None before the first."""
        return self._permit

    @property
    def probes_left(self):
        """Probes of the permit that are not sent."""
        return self._probes

    @property
    def is_urgent(self):
        """Whether an answer waits that the holder should learn of at once."""
        return self._urgent

    def current_share(self, now):
        """Returns the share that the new version may get now, probes apart."""
        if self._permit is None or not self._permit.is_valid(now):
            return 0.0
        return self._permit.share if self._brake.allows_traffic(now) else 0.0

    def pick_version(self, route, rng, now):
        """Picks a version for a request.

        Args:
            route: The ``RouteRow``.
            rng: A ``Random``.
            now: Time in seconds.

        Returns:
            The version's name.
        """
        if self.try_acquire_probe(now):
            return self._row.new
        permit = self._permit
        if not self._brake.allows_traffic(now):
            permit = None
        weights = version_weights(route, permit, now)
        return rng.choices(list(weights), list(weights.values()))[0]

    def fallback(self, version):
        """Returns the version for a retry of a request that a version has failed.

        The old version serves the caller, and one request meets a bad new version
        once at most.
        """
        return self._row.old if version == self._row.new else version

    def try_acquire_probe(self, now):
        """Takes one of the permit's probes; returns whether there was one."""
        is_valid = self._permit is not None and self._permit.is_valid(now)
        if not is_valid or self._probes <= 0:
            return False
        self._probes -= 1
        return True

    def record_answer(self, version, server, data_centre, failed, began, now):
        """Counts an answer.

        Args:
            version: The version that gave it.
            server: Name of the backend server.
            data_centre: Data centre of the backend server.
            failed: Whether it failed by a fault of the server or its version.
            began: Time at which the request began, in seconds.
            now: Time of its end.
        """
        if version not in (self._row.old, self._row.new):
            return
        is_new = version == self._row.new
        bucket = 0 if failed else latency_bucket(now - began)
        answer = Answer(is_new, server, data_centre, failed, bucket)
        self.add(answer, began, 1)
        if self._brake.record_answer(is_new, failed, now):
            self.record_trip()

    def record_trip(self):
        """Notes that a brake has tripped, here or at a router that reports here."""
        self._tripped = True
        self._urgent = True

    def add(self, answer, began, count):
        """Adds counts, also those of another router that reports through this one."""
        step = round(began / BEGAN_STEP_S) * BEGAN_STEP_S
        self._counts[answer, step] += count
        if answer.is_new and (answer.failed or self._is_probing()):
            self._urgent = True

    def drain_report(self):
        """Returns what is unreported and forgets it.

        Returns:
            ``(counts, tripped)``: a mapping from ``(Answer, began)`` to the number of
            answers, and whether a brake has tripped.
        """
        counts, self._counts = self._counts, defaultdict(int)
        tripped, self._tripped = self._tripped, False
        self._urgent = False
        return counts, tripped

    def apply_traffic_token(self, *, fence, share, probes, valid_until, now):
        """Takes a permit unless it is of a holder that has been replaced.

        Args:
            fence: Fencing number of the holder.
            share: Share of the old version's weight.
            probes: Requests beyond the share.
            valid_until: End of the permit on this router's clock.
            now: Time in seconds.
        """
        if self._permit is not None and fence < self._permit.fence:
            return
        row = self._row
        self._permit = TrafficToken(
            row.name, row.old, row.new, fence, share, valid_until
        )
        self._probes = probes
        if share > 0 and not self._brake.allows_traffic(now):
            self._brake.reset()

    def revoke_traffic_token(self, fence):
        """Ends the permit of a holder, or of an earlier one, at once."""
        if self._permit is not None and fence >= self._permit.fence:
            self._permit = dataclasses.replace(self._permit, fence=fence, share=0.0)
            self._probes = 0

    def delegate_probes(self):
        """Hands the probes of the permit to a router that reports through this one."""
        probes, self._probes = self._probes, 0
        return probes

    def _is_probing(self):
        return self._permit is not None and self._permit.share == 0.0
