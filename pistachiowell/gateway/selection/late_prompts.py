"""Refuses, at a gateway, prompts that no engine can begin before their deadline."""

from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.servers import NoRoom
from pistachiowell.routing import LateRefusal, LateSettings

TOO_LATE_TEXT = "No server can begin the request in the time that it has left."

_log = part_logger("dispatch")


class TooLate(NoRoom):
    """No engine can begin the request in the time that it has left."""


class LatePrompts:
    """Refuses requests whose expected wait exceeds the time left at every engine.

    Requests that state no deadline are not refused.

    Args:
        settings: ``GatewaySettings``.
        engines: The ``EngineTable``.
        rng: A ``Random``.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_engines", "_is_on", "_now", "_refusal")

    def __init__(self, settings, engines, rng, now):
        self._is_on = settings.uneven_servers and settings.refuses_late
        self._engines = engines
        self._now = now
        self._refusal = LateRefusal(LateSettings(), rng)

    def check(self, request, service_name, servers, work):
        """Checks that an engine may begin a request in time.

        Args:
            request: The ``GatewayRequest``.
            service_name: Name of the service.
            servers: Each ``BackendServer`` that the request may go to.
            work: The ``EngineRequest``.

        Raises:
            TooLate: None can.
        """
        if not self._is_checked(request):
            return
        now = self._now()
        waits_s = self._waits_s(service_name, servers, work, now)
        left_s = request.deadline - now
        retry_after_s = self._refusal.retry_after_s(
            service_name, request.rank, waits_s, left_s, now
        )
        if retry_after_s is None:
            return
        _log.info(
            "Request is refused, as no engine can begin it in time.",
            request=request.id,
            wait_s=round(min(waits_s), 3),
            left_s=round(left_s, 3),
            retry_after_s=round(retry_after_s, 3),
        )
        raise TooLate(TOO_LATE_TEXT, ran="no", retry_after_s=retry_after_s)

    def retry_range_s(self, request, service_name, servers, work, rank):
        """Returns the range of the delay with which ``check`` refuses, or None.

        Args:
            request: The ``GatewayRequest``.
            service_name: Name of the service.
            servers: Each ``BackendServer`` that the request may go to.
            work: The ``EngineRequest``.
            rank: Rank of the request; 0 is the most urgent.
        """
        if not self._is_checked(request):
            return None
        now = self._now()
        waits_s = self._waits_s(service_name, servers, work, now)
        left_s = request.deadline - now
        return self._refusal.retry_range_s(service_name, rank, waits_s, left_s, now)

    def expected_wait_s(self, request, service_name, server, work):
        """Returns the key and the expected wait of a request, for ``record_wait``.

        Args:
            request: The ``GatewayRequest``.
            service_name: Name of the service.
            server: The ``BackendServer`` that it is sent to.
            work: The ``EngineRequest``.

        Returns:
            A tuple of service, rank and seconds; None if nothing is refused here.
        """
        if not self._is_on:
            return None
        wait_s = self._wait_s(server, service_name, work, self._now())
        return service_name, request.rank, wait_s

    def record_wait(self, expected, wait_s):
        """Records how long a request has waited for its first token.

        Args:
            expected: What ``expected_wait_s`` has returned.
            wait_s: The wait in seconds.
        """
        if expected is not None:
            service_name, rank, expected_s = expected
            self._refusal.record_wait(
                service_name, rank, wait_s, expected_s, self._now()
            )

    def _is_checked(self, request):
        return self._is_on and request.head.wait_limit_s is not None

    def _waits_s(self, service_name, servers, work, now):
        return [self._wait_s(server, service_name, work, now) for server in servers]

    def _wait_s(self, server, service_name, work, now):
        return self._engines.expected_wait_s(server.id, service_name, work, now)
