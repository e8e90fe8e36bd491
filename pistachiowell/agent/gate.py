"""Lets requests through to the backend server as admission decides."""

import math
from contextlib import asynccontextmanager

import anyio

from pistachiowell.admission import AdmissionQueue, AdmissionSettings, Start, Ticket
from pistachiowell.admission.ticket import Outcome
from pistachiowell.core.errors import PistachiowellError, error_class
from pistachiowell.core.events import EventKind

EXPIRY_INTERVAL_S = 0.1


class Gate:
    """Holds each request until the ``AdmissionQueue`` starts or refuses it.

    Args:
        runtime: The process's ``Runtime``.
        slots: Most requests that may run at once.
    """

    __slots__ = ("_queue", "_runtime", "_waits")

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
        self._waits = {}

    @property
    def running(self):
        """Requests that run now."""
        return self._queue.running

    @property
    def waiting(self):
        """Requests that wait for a slot."""
        return self._queue.waiting

    @property
    def slots(self):
        """Requests that may run at once."""
        return self._queue.slots

    async def run(self):
        """Refuses requests whose time to start has passed, until cancelled."""
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_S)
            self._apply(self._queue.expire(self._runtime.now()))

    @asynccontextmanager
    async def slot(self, request, *, key, solo=False):
        """Waits for a slot and holds it inside the context.

        Args:
            request: The ``RunRequest``.
            key: Unique text among the requests at this agent.
            solo: Whether the request must run while nothing else runs.

        Yields:
            A ``Slot``, which takes the outcome.

        Raises:
            Overloaded: It cannot run in time; it did not run.
        """
        wait = self._waits[key] = _Wait(request)
        slot = Slot()
        try:
            self._apply(self._queue.offer(self._ticket(request, key, solo), self._now))
            await wait.decided.wait()
            if wait.refusal is not None:
                raise wait.refusal
            yield slot
        except PistachiowellError as error:
            slot.outcome = slot.outcome or outcome_of(error)
            raise
        except BaseException:
            slot.outcome = slot.outcome or Outcome.cancelled
            raise
        finally:
            del self._waits[key]
            self._leave(key, wait, slot)

    def refuse_fingerprints(self, fingerprints, code, reason):
        """Refuses the waiting requests with certain fingerprints.

        Args:
            fingerprints: A collection of fingerprints.
            code: Code of the error list.
            reason: A few words for the caller.
        """
        keys = [
            key
            for key, wait in self._waits.items()
            if wait.request.fingerprint in fingerprints
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

    def _leave(self, key, wait, slot):
        if wait.refusal is not None:
            return
        if wait.decided.is_set():
            outcome = slot.outcome or Outcome.ok
            self._apply(self._queue.finish(key, self._now, outcome))
        else:
            self._apply(self._queue.cancel(key, self._now))

    def _apply(self, actions):
        for action in actions:
            wait = self._waits[action.request_id]
            if not isinstance(action, Start):
                wait.refusal = self._refusal(wait.request, action)
            wait.decided.set()

    def _refusal(self, request, action):
        self._runtime.metrics.count(f"gate.refused.{action.code}")
        self._runtime.events.add(
            EventKind.request_refused,
            request=request.request_id,
            account=request.account,
            text=action.reason,
        )
        return error_class(action.code)(
            f"The backend server's agent refused: {action.reason}.",
            ran="no",
            retry_after_s=action.retry_after_s,
        )


class Slot:
    """A held slot.

    Attributes:
        outcome: The ``Outcome`` to learn from; None for success.
    """

    __slots__ = ("outcome",)

    def __init__(self):
        self.outcome = None


class _Wait:
    __slots__ = ("decided", "refusal", "request")

    def __init__(self, request):
        self.request = request
        self.refusal = None
        self.decided = anyio.Event()


def outcome_of(error):
    """Returns the ``Outcome`` that an error of a run stands for.

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
