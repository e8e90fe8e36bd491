"""Admission control of one backend server: start, wait or refuse.

Under overload a request that waits too long is of no use to its caller but still takes
a slot. A request is therefore refused as soon as it cannot start in time, with a delay
after which to try again.
"""

from dataclasses import dataclass

from pistachiowell.admission.disciplines import DISCIPLINES
from pistachiowell.admission.limits import LIMITS
from pistachiowell.admission.ticket import PRIORITIES, Outcome, Refuse, Start

EWMA_GAIN = 0.1
MIN_TIME_LEFT_FACTOR = 1.2  # of the mean service time, before the deadline


@dataclass(frozen=True, slots=True)
class _Running:
    ticket: object
    started_at: float


class AdmissionQueue:
    """Starts, queues or refuses each request to one backend server.

    Each offered request gets exactly one ``Start`` or ``Refuse``, unless it is
    cancelled first. A refused request never starts.

    Args:
        settings: ``AdmissionSettings``.

    Examples:
        >>> from pistachiowell.admission import AdmissionSettings, Ticket
        >>> queue = AdmissionQueue(AdmissionSettings(slots=1, max_waiting=1))
        >>> queue.offer(Ticket("r1", "a"), 0.0)
        [Start(request_id='r1')]
        >>> queue.offer(Ticket("r2", "a"), 0.0)
        []
        >>> [action.reason for action in queue.offer(Ticket("r3", "a"), 0.0)]
        ['too many requests wait']
        >>> queue.finish("r1", 1.0, Outcome.ok)
        [Start(request_id='r2')]
    """

    __slots__ = (
        "_class_intervals_s",
        "_class_service_s",
        "_last_starts",
        "_limit",
        "_queue",
        "_running",
        "_service_s",
        "_settings",
        "_solo",
        "_solo_since",
        "_waiting_bytes",
    )

    def __init__(self, settings):
        self._settings = settings
        self._limit = LIMITS.find(settings.limit)(settings)
        self._queue = DISCIPLINES.find(settings.discipline)(settings)
        self._running = {}
        self._solo = None
        self._solo_since = 0.0
        self._waiting_bytes = 0
        self._service_s = 0.0
        self._class_service_s = [0.0 for _ in PRIORITIES]
        self._class_intervals_s = [0.0 for _ in PRIORITIES]
        self._last_starts = [None for _ in PRIORITIES]

    @property
    def running(self):
        """Number of requests in progress."""
        return len(self._running)

    @property
    def waiting(self):
        """Number of requests that wait."""
        return len(self._queue) + (self._solo is not None)

    @property
    def waiting_bytes(self):
        """Bytes held by the requests that wait."""
        return self._waiting_bytes

    @property
    def slots(self):
        """Number of requests that may run at once under the present limit."""
        return self._limit.slots

    def offer(self, ticket, now):
        """Starts, queues or refuses a new request.

        Args:
            ticket: A ``Ticket`` whose id is not waiting or running.
            now: Present time in seconds.

        Returns:
            A list of ``Start`` and ``Refuse``, possibly for other requests.
        """
        actions = self.expire(now)
        if self._is_too_late(ticket, now):
            return [*actions, self._refuse(ticket, "the deadline is too near")]
        if self._is_wait_too_long(ticket, now):
            return [*actions, self._refuse(ticket, "it cannot start in time")]
        refused = self._make_room(ticket)
        actions += refused
        if any(action.request_id == ticket.request_id for action in refused):
            return actions
        self._queue.push(ticket)
        self._waiting_bytes += ticket.size_bytes
        return actions + self._start_waiting(now)

    def finish(self, request_id, now, outcome=Outcome.ok):
        """Records the end of a started request and starts waiting ones.

        Args:
            request_id: Id of the request.
            now: Present time in seconds.
            outcome: An ``Outcome``.

        Returns:
            A list of ``Start`` and ``Refuse``.
        """
        running = len(self._running)
        entry = self._running.pop(request_id, None)
        if entry is None:
            return []
        service_s = (now - entry.started_at) / max(entry.ticket.cost, 1e-9)
        self._limit.observe(outcome, service_s, running, now)
        if outcome is Outcome.ok:
            self._record_service(entry.ticket, service_s)
        return self.expire(now)

    def cancel(self, request_id, now):
        """Cancels a request that waits or runs.

        Args:
            request_id: Id of the request.
            now: Present time in seconds.

        Returns:
            A list of ``Start`` and ``Refuse``, none for this request.
        """
        if request_id in self._running:
            return self.finish(request_id, now, Outcome.cancelled)
        self._remove_waiting(request_id)
        return self.expire(now)

    def expire(self, now):
        """Refuses requests that can no longer start in time and starts waiting ones.

        Args:
            now: Present time in seconds.

        Returns:
            A list of ``Start`` and ``Refuse``.
        """
        late = [ticket for ticket in self._queue if self._is_too_late(ticket, now)]
        solo = self._solo
        if solo is not None and now >= self._solo_latest_start(solo):
            late.append(solo)
        for ticket in late:
            self._remove_waiting(ticket.request_id)
        refused = [self._refuse(ticket, "no slot came free") for ticket in late]
        return refused + self._start_waiting(now)

    def refuse_waiting(self, request_ids, code, reason):
        """Refuses given requests that wait, such as quarantined ones.

        Args:
            request_ids: Ids of requests; those that do not wait are ignored.
            code: Code of the error list.
            reason: Reason in a few words, for the error message.

        Returns:
            A list of ``Refuse``.
        """
        removed = [self._remove_waiting(request_id) for request_id in request_ids]
        return [
            Refuse(ticket.request_id, code, reason, 0.0)
            for ticket in removed
            if ticket is not None
        ]

    def _start_waiting(self, now):
        actions = []
        while self._has_free_slot():
            ticket = self._pop_next(now)
            if ticket is None:
                break
            self._running[ticket.request_id] = _Running(ticket, now)
            self._waiting_bytes -= ticket.size_bytes
            self._record_interval(ticket, now)
            actions.append(Start(ticket.request_id))
        return actions

    def _has_free_slot(self):
        if any(entry.ticket.solo for entry in self._running.values()):
            return False
        if self._solo is not None:
            return not self._running
        return len(self._running) < self._limit.slots

    def _pop_next(self, now):
        if self._solo is not None:
            ticket, self._solo = self._solo, None
            return ticket
        ticket = self._queue.pop()
        if ticket is None or not ticket.solo or not self._running:
            return ticket
        self._solo = ticket
        self._solo_since = now
        return None

    def _solo_latest_start(self, ticket):
        solo_until = self._solo_since + self._settings.solo_wait_s
        return min(ticket.deadline, ticket.start_by, solo_until)

    def _make_room(self, ticket):
        refused = []
        if not self.waiting and self._has_free_slot():
            return refused
        if ticket.size_bytes > self._settings.max_waiting_bytes:
            return [self._refuse(ticket, "its body is too large to wait")]
        while reason := self._full_reason(ticket):
            evicted = self._queue.eviction_candidate(ticket)
            if evicted is None:
                return [*refused, self._refuse(ticket, reason)]
            self._remove_waiting(evicted.request_id)
            refused.append(self._refuse(evicted, "others went first"))
        return refused

    def _full_reason(self, ticket):
        if self.waiting >= self._settings.max_waiting:
            return "too many requests wait"
        if self._waiting_bytes + ticket.size_bytes > self._settings.max_waiting_bytes:
            return "too many bytes wait"
        return ""

    def _remove_waiting(self, request_id):
        if self._solo is not None and self._solo.request_id == request_id:
            ticket, self._solo = self._solo, None
        else:
            ticket = self._queue.remove(request_id)
        if ticket is not None:
            self._waiting_bytes -= ticket.size_bytes
        return ticket

    def _is_wait_too_long(self, ticket, now):
        if not self._service_s or self._has_free_slot():
            return False
        wait_s = self._estimated_wait_s(ticket)
        return wait_s > self._settings.wait_margin * (self._latest_start(ticket) - now)

    def _estimated_wait_s(self, ticket):
        """Estimates the wait from the recent interval between starts of the class."""
        interval_s = self._class_intervals_s[ticket.rank]
        if interval_s:
            return self._queue.class_cost_ahead(ticket) * interval_s
        return self._queue.cost_ahead(ticket) * self._service_s / self._limit.slots

    def _record_interval(self, ticket, now):
        rank = ticket.rank
        last = self._last_starts[rank]
        if last is not None:
            sample_s = (now - last) / max(ticket.cost, 1e-9)
            self._class_intervals_s[rank] = _moving_average(
                self._class_intervals_s[rank], sample_s
            )
        backlogged = self._queue.count(rank) > 0
        self._last_starts[rank] = now if backlogged else None

    def _record_service(self, ticket, service_s):
        self._service_s = _moving_average(self._service_s, service_s)
        rank = ticket.rank
        self._class_service_s[rank] = _moving_average(
            self._class_service_s[rank], service_s
        )

    def _latest_start(self, ticket):
        service_s = self._class_service_s[ticket.rank] * ticket.cost
        return min(ticket.start_by, ticket.deadline - MIN_TIME_LEFT_FACTOR * service_s)

    def _is_too_late(self, ticket, now):
        return now >= self._latest_start(ticket)

    def _refuse(self, ticket, reason):
        return Refuse(
            ticket.request_id, "overloaded", reason, self._retry_after_s(ticket)
        )

    def _retry_after_s(self, ticket):
        minimum = self._settings.min_retry_after_s
        return min(
            self._settings.max_retry_after_s,
            max(minimum, self._estimated_wait_s(ticket)),
        )


def _moving_average(old, sample):
    return old + EWMA_GAIN * (sample - old) if old else sample
