"""The decision of admission: start, wait or refuse."""

from dataclasses import dataclass

from pistachiowell.admission.disciplines import DISCIPLINES
from pistachiowell.admission.limits import LIMITS
from pistachiowell.admission.ticket import PRIORITIES, Outcome, Refuse, Start

SERVICE_GAIN = 0.1
LEAST_SERVICE_SHARE = 1.2


@dataclass(frozen=True, slots=True)
class _Running:
    ticket: object
    started_at: float


class AdmissionQueue:
    """Decides when each request of one backend server starts, or refuses it.

    Every offered request gets exactly one ``Start`` or ``Refuse``, unless it is
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
        "_class_service_s",
        "_intervals_s",
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
        self._intervals_s = [0.0 for _ in PRIORITIES]
        self._last_starts = [None for _ in PRIORITIES]

    @property
    def running(self):
        """Number of requests that run."""
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
        """Requests that may run at once, by present knowledge."""
        return self._limit.slots

    def offer(self, ticket, now):
        """Takes a new request.

        Args:
            ticket: A ``Ticket`` whose id neither waits nor runs.
            now: Present time in seconds.

        Returns:
            A list of ``Start`` and ``Refuse``, possibly for other requests.
        """
        actions = self.expire(now)
        if self._is_late(ticket, now):
            return [*actions, self._refuse(ticket, "the deadline is too near")]
        if self._is_hopeless(ticket, now):
            return [*actions, self._refuse(ticket, "it cannot start in time")]
        refused = self._make_room(ticket)
        actions += refused
        if any(action.request_id == ticket.request_id for action in refused):
            return actions
        self._queue.push(ticket)
        self._waiting_bytes += ticket.size_bytes
        return actions + self._start(now)

    def finish(self, request_id, now, outcome=Outcome.ok):
        """Takes the end of a started request.

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
            self._learn_service(entry.ticket, service_s)
        return self.expire(now)

    def cancel(self, request_id, now):
        """Forgets a request that waits, or ends one that runs.

        Args:
            request_id: Id of the request.
            now: Present time in seconds.

        Returns:
            A list of ``Start`` and ``Refuse``, none for this request.
        """
        if request_id in self._running:
            return self.finish(request_id, now, Outcome.cancelled)
        self._take_out(request_id)
        return self.expire(now)

    def expire(self, now):
        """Refuses what can no longer start in time and starts what can.

        Args:
            now: Present time in seconds.

        Returns:
            A list of ``Start`` and ``Refuse``.
        """
        late = [ticket for ticket in self._queue if self._is_late(ticket, now)]
        solo = self._solo
        if solo is not None and now >= self._solo_deadline(solo):
            late.append(solo)
        for ticket in late:
            self._take_out(ticket.request_id)
        refused = [self._refuse(ticket, "no slot came free") for ticket in late]
        return refused + self._start(now)

    def refuse_waiting(self, request_ids, code, reason):
        """Refuses certain requests that wait, such as quarantined ones.

        Args:
            request_ids: Ids of requests; those that do not wait are passed over.
            code: Code of the error list.
            reason: A few words for the caller.

        Returns:
            A list of ``Refuse``.
        """
        taken = [self._take_out(request_id) for request_id in request_ids]
        return [
            Refuse(ticket.request_id, code, reason, 0.0)
            for ticket in taken
            if ticket is not None
        ]

    def _start(self, now):
        actions = []
        while self._has_room():
            ticket = self._take_next(now)
            if ticket is None:
                break
            self._running[ticket.request_id] = _Running(ticket, now)
            self._waiting_bytes -= ticket.size_bytes
            self._learn_interval(ticket, now)
            actions.append(Start(ticket.request_id))
        return actions

    def _has_room(self):
        if any(entry.ticket.solo for entry in self._running.values()):
            return False
        if self._solo is not None:
            return not self._running
        return len(self._running) < self._limit.slots

    def _take_next(self, now):
        if self._solo is not None:
            ticket, self._solo = self._solo, None
            return ticket
        ticket = self._queue.pop()
        if ticket is None or not ticket.solo or not self._running:
            return ticket
        self._solo = ticket
        self._solo_since = now
        return None

    def _solo_deadline(self, ticket):
        solo_until = self._solo_since + self._settings.solo_wait_s
        return min(ticket.deadline, ticket.start_by, solo_until)

    def _make_room(self, ticket):
        refused = []
        if not self.waiting and self._has_room():
            return refused
        if ticket.size_bytes > self._settings.max_waiting_bytes:
            return [self._refuse(ticket, "its body is too large to wait")]
        while reason := self._full(ticket):
            victim = self._queue.victim(ticket)
            if victim is None:
                return [*refused, self._refuse(ticket, reason)]
            self._take_out(victim.request_id)
            refused.append(self._refuse(victim, "others went first"))
        return refused

    def _full(self, ticket):
        if self.waiting >= self._settings.max_waiting:
            return "too many requests wait"
        if self._waiting_bytes + ticket.size_bytes > self._settings.max_waiting_bytes:
            return "too many bytes wait"
        return ""

    def _take_out(self, request_id):
        if self._solo is not None and self._solo.request_id == request_id:
            ticket, self._solo = self._solo, None
        else:
            ticket = self._queue.remove(request_id)
        if ticket is not None:
            self._waiting_bytes -= ticket.size_bytes
        return ticket

    def _is_hopeless(self, ticket, now):
        if not self._service_s or self._has_room():
            return False
        wait_s = self._wait_s(ticket)
        return wait_s > self._settings.wait_margin * (self._start_by(ticket) - now)

    def _wait_s(self, ticket):
        """Estimates the wait from how fast the class has started of late."""
        interval_s = self._intervals_s[ticket.rank]
        if interval_s:
            return self._queue.ahead_in_class(ticket) * interval_s
        return self._queue.ahead_of(ticket) * self._service_s / self._limit.slots

    def _learn_interval(self, ticket, now):
        rank = ticket.rank
        last = self._last_starts[rank]
        if last is not None:
            sample_s = (now - last) / max(ticket.cost, 1e-9)
            self._intervals_s[rank] = _average(self._intervals_s[rank], sample_s)
        backlogged = self._queue.count(rank) > 0
        self._last_starts[rank] = now if backlogged else None

    def _learn_service(self, ticket, service_s):
        self._service_s = _average(self._service_s, service_s)
        rank = ticket.rank
        self._class_service_s[rank] = _average(self._class_service_s[rank], service_s)

    def _start_by(self, ticket):
        service_s = self._class_service_s[ticket.rank] * ticket.cost
        return min(ticket.start_by, ticket.deadline - LEAST_SERVICE_SHARE * service_s)

    def _is_late(self, ticket, now):
        return now >= self._start_by(ticket)

    def _refuse(self, ticket, reason):
        return Refuse(ticket.request_id, "overloaded", reason, self._hint_s(ticket))

    def _hint_s(self, ticket):
        least = self._settings.min_retry_after_s
        return min(self._settings.max_retry_after_s, max(least, self._wait_s(ticket)))


def _average(old, sample):
    return old + SERVICE_GAIN * (sample - old) if old else sample
