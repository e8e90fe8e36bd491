"""One attempt of a request at a backend server."""

from dataclasses import dataclass

from pistachiowell.routing import EngineRequest

# Codes of errors that count against the version of a server while a move is open.
# A version that refuses work which the old one accepts is worse.
VERSION_FAULTS = frozenset(
    {"server_failed", "answer_broken", "deadline_exceeded", "overloaded"}
)
ERROR_STATUS = 400
SERVER_ERROR_STATUS = 500


class Attempt:
    """One attempt at the server selected for it; call ``record_end`` exactly once.

    Args:
        records: The ``SelectionRecords``.
        server: The ``BackendServer``.
        placed: The ``PlacedRequest``; None at a server without an engine.
        expected_wait_s: Expected wait for the first token in seconds.
        fingerprint: Fingerprint of the request.
        expected_queue: What ``LatePrompts.expected_wait_s`` returned; None at a server
            without an engine.
        move_attempt: The ``MoveAttempt``; None if the service has no open move.
        now: Present time in seconds.

    Attributes:
        server: The ``BackendServer``.
        started_at: Time of the start in seconds.
        expected_wait_s: Expected wait for the first token in seconds.
        has_answered: Whether the head of an answer has come.
        latency_s: Seconds from the start to the first byte of the answer; None before.
    """

    __slots__ = (
        "_expected_queue",
        "_fingerprint",
        "_has_failed",
        "_is_success",
        "_move_attempt",
        "_placed",
        "_records",
        "expected_wait_s",
        "has_answered",
        "latency_s",
        "server",
        "started_at",
    )

    def __init__(
        self,
        records,
        server,
        placed,
        expected_wait_s,
        fingerprint,
        expected_queue,
        move_attempt,
        now,
    ):
        self._records = records
        self._expected_queue = expected_queue
        self._move_attempt = move_attempt
        self._fingerprint = fingerprint
        self._has_failed = False
        self._is_success = False
        self._placed = placed
        self.started_at = now
        self.server = server
        self.expected_wait_s = expected_wait_s
        self.has_answered = False
        self.latency_s = None

    @property
    def age_s(self):
        """Seconds since the start."""
        return self._records.now() - self.started_at

    def record_status(self, status):
        """Records the status of the answer.

        An answer that is passed on to the caller as it is may still be a failure of the
        version that gave it.
        """
        self.has_answered = True
        self._has_failed = status >= SERVER_ERROR_STATUS
        self._is_success = status < ERROR_STATUS

    def record_first_byte(self):
        """Records the arrival of the first part of the answer; ignores later parts."""
        if self.latency_s is not None:
            return
        now = self._records.now()
        self.latency_s = now - self.started_at
        if self._move_attempt is not None:
            self._move_attempt.record_first_part(now)
        if self._placed is not None:
            # An error is no token and shows nothing about the engine's speed.
            shown_at = now if self._is_success else None
            self._records.record_first_token(self._placed, shown_at)
            if self._is_success:
                self._records.late.record_wait(self._expected_queue, self.latency_s)

    def record_events(self, count):
        """Records that events of a stream have arrived."""
        if self._move_attempt is not None:
            self._move_attempt.record_events(count, self._records.now())

    def record_end(self, error, is_exempt):
        """Records the end of the attempt.

        Args:
            error: The ``PistachiowellError``, or None.
            is_exempt: Function of fingerprint and server id that returns whether a
                failure says nothing about the server's version.
        """
        self._release()
        if self._move_attempt is not None:
            self._move_attempt.stop_waiting()
        exempt = error is not None and is_exempt(self._fingerprint, self.server.id)
        self._records.record_end(self, error)
        code = str(error.code) if error is not None else ""
        if error is None or (code in VERSION_FAULTS and not exempt):
            failed = error is not None or self._has_failed
            self._records.record_version_answer(self.server, failed, self.started_at)

    def record_abandoned(self):
        """Records that the attempt was given up and shows nothing about its server."""
        self._release()
        if self._move_attempt is not None:
            self._move_attempt.record_left(self._records.now())
        self._records.record_abandoned(self.server)

    def _release(self):
        if self._placed is not None:
            self._records.engines.record_end(self._placed)


@dataclass(frozen=True, slots=True)
class Choice:
    """A server that was chosen for an attempt, before the attempt starts.

    Attributes:
        server: The ``BackendServer``.
        work: The ``EngineRequest``; None at a server without an engine.
        expected_wait_s: Expected wait for the first token in seconds.
    """

    server: object
    work: EngineRequest | None = None
    expected_wait_s: float = 0.0
