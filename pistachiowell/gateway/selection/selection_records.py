"""Records the attempts in the state that the choice of a server relies on."""

from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.connections import NotConnected
from pistachiowell.gateway.selection.attempt import Attempt
from pistachiowell.gateway.servers import registration_of
from pistachiowell.routing import EngineRun

# Codes of errors that count against the health of a server.
HEALTH_FAULTS = frozenset({"server_failed", "answer_broken"})
# Shortest time between two checks whether the set of slow engines has changed.
SLOW_CHECK_INTERVAL_S = 1.0

_log = part_logger("dispatch")


class SelectionRecords:
    """Records the start, the answer and the end of each attempt.

    Args:
        parts: The ``SelectionParts``.
        now: Function that returns the monotonic time in seconds.

    Attributes:
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_parts", "_slow_checked_at", "_slow_names", "now")

    def __init__(self, parts, now):
        self._parts = parts
        self._slow_checked_at = float("-inf")
        self._slow_names = frozenset()
        self.now = now

    @property
    def engines(self):
        """The ``EngineTable``."""
        return self._parts.engines

    @property
    def late(self):
        """The ``LatePrompts``."""
        return self._parts.late

    def start(self, request, service_name, choice):
        """Records that an attempt is sent to the chosen server.

        Args:
            request: The ``GatewayRequest``.
            service_name: Name of the service.
            choice: The ``Choice``.

        Returns:
            An ``Attempt``.
        """
        now, server, placed = self.now(), choice.server, None
        expected_queue = None
        if choice.work is not None:
            expected_queue = self.late.expected_wait_s(
                request, service_name, server, choice.work
            )
            is_cold = self._parts.limits.is_cold(server)
            origin = EngineRun(service_name, server.started_ms, is_cold)
            placed = self.engines.record_sent(server.id, choice.work, now, origin)
        self._parts.loads.set_slots(server.id, server.slots)
        self._parts.loads.record_sent(server.id)
        self._parts.health.record_start(server.id, now)
        self._parts.unreachable.record_start(registration_of(server), now)
        move_attempt = self._parts.moves.record_start(service_name, server, now)
        return Attempt(
            self,
            server,
            placed,
            choice.expected_wait_s,
            request.fingerprint,
            expected_queue,
            move_attempt,
            now,
        )

    def record_first_token(self, placed, shown_at):
        """Records the first part of an answer of an engine.

        Args:
            placed: The ``PlacedRequest``.
            shown_at: Present time in seconds; None if it shows nothing.
        """
        self.engines.record_first_token(placed, shown_at)
        now = self.now()
        if now < self._slow_checked_at + SLOW_CHECK_INTERVAL_S:
            return
        self._slow_checked_at = now
        slow = self.engines.slow_engines(now)
        if slow.keys() != self._slow_names:
            self._slow_names = slow.keys()
            factors = {name: round(factor, 2) for name, factor in slow.items()}
            _log.info("The engines known to be slow have changed.", factors=factors)

    def record_end(self, attempt, error):
        """Records the end of an attempt; see ``Attempt.record_end``.

        A server that refuses requests because of overload is healthy, and an attempt
        that ended for another reason without a fault of the server shows nothing about
        its health. Neither counts as a failure of the server. A refused connection has
        the server avoided at once.
        """
        now, latency_s = self.now(), attempt.latency_s
        server_id = attempt.server.id
        self._record_reachability(attempt, error, now)
        self._parts.loads.record_end(server_id)
        if error is None and latency_s is not None:
            self._parts.health.record_success(server_id, latency_s, now)
        elif error is not None and str(error.code) == "overloaded":
            self._parts.loads.record_refusal(server_id, now)
            self._parts.health.record_inconclusive(server_id)
        elif error is not None and str(error.code) in HEALTH_FAULTS:
            self._parts.health.record_failure(server_id, now)
        else:
            self._parts.health.record_inconclusive(server_id)

    def _record_reachability(self, attempt, error, now):
        registration = registration_of(attempt.server)
        if isinstance(error, NotConnected):
            self._parts.unreachable.record_refusal(registration, now)
            self.engines.record_gone(attempt.server.id)
        elif attempt.has_answered:
            self._parts.unreachable.record_answer(registration, attempt.started_at)
        else:
            self._parts.unreachable.record_inconclusive(registration)

    def record_version_answer(self, server, failed, started_at):
        """Records an answer that counts for the version of its server."""
        self._parts.moves.record_end(server.service, server, failed, started_at)

    def record_abandoned(self, server):
        """Records the end of an attempt that was given up; see ``Attempt``."""
        self._parts.loads.record_end(server.id)
        self._parts.health.record_inconclusive(server.id)
        self._parts.unreachable.record_inconclusive(registration_of(server))
