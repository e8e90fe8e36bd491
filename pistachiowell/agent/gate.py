"""Admission gate in front of the backend server: applies admission decisions."""

import math
from contextlib import asynccontextmanager

import anyio

from pistachiowell.admission import AdmissionQueue, AdmissionSettings, Start, Ticket
from pistachiowell.admission.ticket import Outcome
from pistachiowell.core.errors import PistachiowellError, error_class
from pistachiowell.core.events import EventKind

EXPIRY_INTERVAL_S = 0.1


class AdmissionGate:
    """Delays each request until the ``AdmissionQueue`` starts or refuses it.

    Each started request occupies one slot until it ends. Without the bound on slots, an
    overload would reach the backend server, and requests would wait there past the time
    at which their callers still need an answer.

    Args:
        runtime: The process's ``Runtime``.
        slots: Largest number of requests that may run at once.
    """

    __slots__ = ("_queue", "_runtime", "_pending")

    def __init__(self, runtime, slots):
        self._runtime = runtime
        settings = runtime.settings
        self._queue = AdmissionQueue(
            AdmissionSettings(
                slots=slots,
                max_waiting=settings.max_waiting,
                max_waiting_bytes=settings.max_waiting_bytes,
            )
        )
        self._pending = {}

    @property
    def running(self):
        """Number of requests that run now."""
        return self._queue.running

    @property
    def waiting(self):
        """Number of requests that wait for a slot."""
        return self._queue.waiting

    @property
    def slots(self):
        """Number of requests that may run at once under the present limit."""
        return self._queue.slots

    async def run(self):
        """Refuses waiting requests that cannot start in time, until cancelled."""
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_S)
            self._apply(self._queue.expire(self._runtime.now()))

    @asynccontextmanager
    async def slot(self, request, *, key, solo=False):
        """Waits for a slot and occupies it inside the context.

        Args:
            request: The ``RunRequest``.
            key: Key of the request as a string, unique at this agent.
            solo: Whether the request must run while nothing else runs, as a crash
                candidate must.

        Yields:
            The ``Slot``, in which the caller may set the outcome.

        Raises:
            Overloaded: The request cannot run in time; it did not run. Other codes of
                a refusal raise their own classes.
        """
        pending = self._pending[key] = _PendingRequest(request)
        slot = Slot()
        try:
            self._apply(self._queue.offer(self._ticket(request, key, solo), self._now))
            await pending.decided.wait()
            if pending.refusal is not None:
                raise pending.refusal
            yield slot
        except PistachiowellError as error:
            slot.outcome = slot.outcome or outcome_of(error)
            raise
        except BaseException:
            slot.outcome = slot.outcome or Outcome.cancelled
            raise
        finally:
            del self._pending[key]
            self._release(key, pending, slot)

    def refuse_fingerprints(self, fingerprints, code, reason):
        """Refuses the waiting requests with certain fingerprints.

        Args:
            fingerprints: A collection of fingerprints.
            code: Code of the error list.
            reason: Reason in a few words, for the error message.
        """
        keys = [
            key
            for key, pending in self._pending.items()
            if pending.request.fingerprint in fingerprints
        ]
        self._apply(self._queue.refuse_waiting(keys, code, reason))

    @property
    def _now(self):
        return self._runtime.now()

    def _ticket(self, request, key, solo):
        return Ticket(
            request_id=key,
            account=request.account,
            priority=request.priority,
            size_bytes=len(request.body),
            deadline=self._now + request.timeout_s,
            start_by=self._now + (request.max_wait_s or math.inf),
            weight=request.weight,
            solo=solo,
        )

    def _release(self, key, pending, slot):
        if pending.refusal is not None:
            return
        if pending.decided.is_set():
            outcome = slot.outcome or Outcome.ok
            self._apply(self._queue.finish(key, self._now, outcome))
        else:
            self._apply(self._queue.cancel(key, self._now))

    def _apply(self, actions):
        for action in actions:
            pending = self._pending[action.request_id]
            if not isinstance(action, Start):
                pending.refusal = self._refusal(pending.request, action)
            pending.decided.set()

    def _refusal(self, request, action):
        self._runtime.metrics.count(f"gate.refused.{action.code}")
        self._runtime.events.add(
            EventKind.request_refused,
            request=request.request_id,
            account=request.account,
            text=action.reason,
        )
        return error_class(action.code)(
            f"The agent of the backend server refused the request: {action.reason}.",
            ran="no",
            retry_after_s=action.retry_after_s,
        )


class Slot:
    """A slot that a request occupies.

    Attributes:
        outcome: The ``Outcome`` from which admission adjusts its limit; None counts
            as success.
    """

    __slots__ = ("outcome",)

    def __init__(self):
        self.outcome = None


class _PendingRequest:
    __slots__ = ("decided", "refusal", "request")

    def __init__(self, request):
        self.request = request
        self.refusal = None
        self.decided = anyio.Event()


def outcome_of(error):
    """Returns the ``Outcome`` of a request that ended with an error.

    Args:
        error: A ``PistachiowellError``.

    Examples:
        >>> from pistachiowell.core.errors import Overloaded
        >>> str(outcome_of(Overloaded("Full.")))
        'overloaded'
    """
    if str(error.code) == "overloaded":
        return Outcome.overloaded
    return Outcome.failed
