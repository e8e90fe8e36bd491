"""State of one move in one router: versions for requests, and counts to report."""

import dataclasses
from collections import defaultdict

from pistachiowell.moves.circuit_breaker import CircuitBreaker
from pistachiowell.moves.evidence import (
    PACE_EVENTS,
    Answer,
    AnswerPhase,
    latency_bucket,
)
from pistachiowell.moves.traffic_tokens import TrafficToken, version_weights

START_TIME_STEP_S = 0.1
# Entries of counts that are kept while no report can be sent.
MAX_UNREPORTED = 10_000


class MoveAttempt:
    """An attempt at one of the versions whose answer is waited for, or its pace.

    Args:
        tracker: The ``MoveTracker``.
        is_new: Whether it goes to the new version.
        server: Name of the backend server.
        data_centre: Data centre of the backend server.
        began: Time at which it began, in seconds.
    """

    __slots__ = (
        "_began",
        "_data_centre",
        "_events_left",
        "_first_part_at",
        "_is_new",
        "_server",
        "_tracker",
    )

    def __init__(self, tracker, is_new, server, data_centre, began):
        self._tracker = tracker
        self._is_new = is_new
        self._server = server
        self._data_centre = data_centre
        self._began = began
        self._first_part_at = None
        self._events_left = 1 + PACE_EVENTS

    @property
    def began(self):
        """Time at which it began, in seconds."""
        return self._began

    def waiting_answer(self, now):
        """Returns the ``Answer`` that tells how long is waited for the next phase."""
        if self._first_part_at is None:
            return self._answer(AnswerPhase.waited_for, now - self._began)
        return self._answer(AnswerPhase.pacing, now - self._first_part_at)

    def record_first_part(self, now):
        """Records that the answer has begun."""
        self._first_part_at = now
        self._add(AnswerPhase.begun, now - self._began)

    def record_events(self, count, now):
        """Records events of a stream.

        Args:
            count: Number of events that have come.
            now: Time in seconds.
        """
        if self._first_part_at is None or self._events_left <= 0:
            return
        self._events_left -= count
        if self._events_left <= 0:
            self._add(AnswerPhase.paced, now - self._first_part_at)
            self.stop_waiting()

    def _answer(self, phase, time_s):
        bucket = latency_bucket(time_s)
        return Answer(
            self._is_new, self._server, self._data_centre, bucket=bucket, phase=phase
        )

    def _add(self, phase, time_s):
        self._tracker.add(self._answer(phase, time_s), self._began, 1)

    def stop_waiting(self):
        """Records that the answer has ended."""
        self._tracker.stop_waiting(self)

    def record_left(self, now):
        """Records that the answer is no longer waited for, though it may have come.

        How long was waited in vain is kept: a version at which nobody waits to the end
        would show nothing otherwise.

        Args:
            now: Time in seconds.
        """
        if self._events_left > 0:
            self._tracker.add(self.waiting_answer(now), self._began, 1)
        self.stop_waiting()


class MoveTracker:
    """Picks versions for requests on the moving route and counts their answers.

    The new version gets requests only while a traffic token is valid and the circuit
    breaker allows it. This limits what an outdated decision can cause: without news
    from the holder the traffic to the new version ends by itself.

    Args:
        row: The ``MoveRow``.

    Attributes:
        dropped: Number of answers whose counts nobody has taken in time.

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
        "_circuit_breaker",
        "_counts",
        "dropped",
        "_traffic_token",
        "_probes_left",
        "_row",
        "_has_tripped",
        "_is_urgent",
        "_sent",
        "_waiting",
    )

    def __init__(self, row):
        self._row = row
        self._circuit_breaker = CircuitBreaker()
        self._traffic_token = None
        self._probes_left = 0
        self._counts = defaultdict(int)
        self.dropped = 0
        self._is_urgent = False
        self._has_tripped = False
        self._sent = [0, 0]
        self._waiting = set()

    @property
    def row(self):
        """The ``MoveRow``."""
        return self._row

    @property
    def traffic_token(self):
        """The ``TrafficToken`` applied last; None before the first."""
        return self._traffic_token

    @property
    def probes_left(self):
        """Number of probes of the traffic token that are not sent."""
        return self._probes_left

    @property
    def sent(self):
        """Numbers of attempts at the old and at the new version so far."""
        return tuple(self._sent)

    @property
    def is_urgent(self):
        """Whether a report should be sent to the holder at once."""
        return self._is_urgent

    def current_share(self, now):
        """Returns the share that the new version may get now, without probes.

        Args:
            now: Time in seconds.
        """
        if self._traffic_token is None or not self._traffic_token.is_valid(now):
            return 0.0
        return (
            self._traffic_token.share
            if self._circuit_breaker.allows_traffic(now)
            else 0.0
        )

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
        traffic_token = self._traffic_token
        if not self._circuit_breaker.allows_traffic(now):
            traffic_token = None
        weights = version_weights(route, traffic_token, now)
        return rng.choices(list(weights), list(weights.values()))[0]

    def fallback(self, version):
        """Returns the version for a retry of a request that failed at a version.

        A retry of the new version goes to the old one, so that a bad new version costs
        a request at most one attempt.

        Args:
            version: The version at which the request failed.
        """
        return self._row.old if version == self._row.new else version

    def try_acquire_probe(self, now):
        """Uses up one probe of the traffic token if one is left.

        Args:
            now: Time in seconds.

        Returns:
            Whether the request may be sent as a probe to the new version.
        """
        is_valid = self._traffic_token is not None and self._traffic_token.is_valid(now)
        if not is_valid or self._probes_left <= 0:
            return False
        self._probes_left -= 1
        return True

    def record_answer(self, version, server, data_centre, failed, began, now):
        """Records an answer and applies it to the circuit breaker.

        Args:
            version: The version that gave it.
            server: Name of the backend server.
            data_centre: Data centre of the backend server.
            failed: Whether it failed by a fault of the server or its version.
            began: Time at which the request began, in seconds.
            now: Time of its end, in seconds.
        """
        if version not in (self._row.old, self._row.new):
            return
        is_new = version == self._row.new
        bucket = 0 if failed else latency_bucket(now - began)
        answer = Answer(is_new, server, data_centre, failed, bucket)
        self.add(answer, began, 1)
        if self._circuit_breaker.record_answer(is_new, failed, now):
            self.record_trip()

    def start_waiting(self, version, server, data_centre, began):
        """Records that an attempt waits for its answer.

        Args:
            version: The version that it goes to.
            server: Name of the backend server.
            data_centre: Data centre of the backend server.
            began: Time at which it began, in seconds.

        Returns:
            The ``MoveAttempt``.
        """
        is_new = version == self._row.new
        attempt = MoveAttempt(self, is_new, server, data_centre, began)
        self._sent[is_new] += 1
        self._waiting.add(attempt)
        return attempt

    def stop_waiting(self, attempt):
        """Records that a ``MoveAttempt`` no longer waits."""
        self._waiting.discard(attempt)

    def waits(self, now):
        """Returns how many answers are waited for, by ``(Answer, began)``.

        Args:
            now: Time in seconds.
        """
        counts = defaultdict(int)
        for attempt in self._waiting:
            step = round(attempt.began / START_TIME_STEP_S) * START_TIME_STEP_S
            counts[attempt.waiting_answer(now), step] += 1
        return counts

    def record_trip(self):
        """Records that a circuit breaker has tripped.

        It is the one of this router or of a router that reports through this one.
        """
        self._has_tripped = True
        self._is_urgent = True

    def add(self, answer, began, count):
        """Adds answers to the next report.

        Start times are rounded to ``START_TIME_STEP_S``, so that answers share entries
        and the report stays small.

        Args:
            answer: An ``Answer`` of this router or of one that reports through it.
            began: Time at which the requests began, in seconds.
            count: Number of answers.
        """
        step = round(began / START_TIME_STEP_S) * START_TIME_STEP_S
        self._counts[answer, step] += count
        if len(self._counts) > MAX_UNREPORTED:
            self.dropped += self._counts.pop(next(iter(self._counts)))
        if answer.is_new and (answer.failed or self._is_probing()):
            self._is_urgent = True

    def drain_report(self):
        """Returns the unreported counts and discards them.

        Returns:
            ``(counts, tripped)``: a mapping from ``(Answer, began)`` to the number of
            answers, and whether a circuit breaker has tripped.
        """
        counts, self._counts = self._counts, defaultdict(int)
        tripped, self._has_tripped = self._has_tripped, False
        self._is_urgent = False
        return counts, tripped

    def restore_report(self, counts, tripped):
        """Takes back what ``drain_report`` has returned and nobody has got.

        Args:
            counts: The counts.
            tripped: Whether a circuit breaker has tripped.
        """
        for (answer, began), count in counts.items():
            self.add(answer, began, count)
        if tripped:
            self.record_trip()

    def apply_traffic_token(self, *, fence, share, probes, valid_until, now):
        """Applies a traffic token unless its holder has been replaced.

        A token with a lower fencing number than the present one is ignored: it comes
        late from an earlier holder, whose decisions no longer count.

        Args:
            fence: Fencing number of the holder.
            share: Share of the old version's weight.
            probes: Number of requests beyond the share.
            valid_until: Time of expiry in seconds, on this router's clock.
            now: Time in seconds.
        """
        if self._traffic_token is not None and fence < self._traffic_token.fence:
            return
        row = self._row
        self._traffic_token = TrafficToken(
            row.name, row.old, row.new, fence, share, valid_until
        )
        self._probes_left = probes
        if share > 0 and not self._circuit_breaker.allows_traffic(now):
            self._circuit_breaker.reset()

    def revoke_traffic_token(self, fence):
        """Sets the share and the probes of the traffic token to 0 at once.

        Args:
            fence: Fencing number of the holder that revokes; a token of a later holder
                stays.
        """
        if self._traffic_token is not None and fence >= self._traffic_token.fence:
            self._traffic_token = dataclasses.replace(
                self._traffic_token, fence=fence, share=0.0
            )
            self._probes_left = 0

    def delegate_probes(self):
        """Returns all probes left, for a router that reports through this one."""
        probes, self._probes_left = self._probes_left, 0
        return probes

    def _is_probing(self):
        return self._traffic_token is not None and self._traffic_token.share == 0.0
