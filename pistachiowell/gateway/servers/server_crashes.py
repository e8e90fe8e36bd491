"""Detection of the crashes of backend servers at a gateway."""

import itertools
from collections import defaultdict
from contextlib import asynccontextmanager, suppress

import anyio

from pistachiowell.core.errors import PistachiowellError, Quarantined
from pistachiowell.engines import CrashDetection
from pistachiowell.gateway.connections import ConnectionBroken, NotConnected
from pistachiowell.gateway.servers.server_limits import ServerClosed
from pistachiowell.routing import PartInProgress

FIRST_SERVER_ERROR_STATUS = 500
# A process that ends may close its connections before the port on which it listens.
WATCH_S = 1.0
RECHECK_DELAY_S = 0.05
# A retry does not wait longer for the result of a check.
MAX_CHECK_WAIT_S = 0.05
# A part of a prompt crashes a server as it begins to answer; a server that has written
# for longer was crashed by something else.
MAX_BEGIN_S = 1.0


class ServerCrashes:
    """Finds out which of a gateway's requests were in progress at a server's crash.

    Args:
        candidates: The ``CrashCandidates``.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_candidates", "_checks", "_detections", "_keys", "_now")

    def __init__(self, candidates, now):
        self._candidates = candidates
        self._checks = None
        self._now = now
        self._detections = {}
        self._keys = itertools.count()

    async def run(self):
        """Runs the checks of servers until cancelled."""
        async with anyio.create_task_group() as self._checks:
            await anyio.sleep_forever()

    def check(self, request):
        """Checks whether a request may run; see ``CrashCandidates.check``.

        Args:
            request: The ``GatewayRequest``.
        """
        try:
            return self._candidates.check(request.fingerprint, request.part_names)
        except Quarantined as error:
            raise CrashingRequest(
                error.message, ran=error.ran, retry_after_s=error.retry_after_s
            ) from error

    def may_send_again(self, request):
        """Returns whether a request may be sent again; see ``CrashCandidates``."""
        return self._candidates.may_send_again(request.part_names)

    def may_move_on(self, request):
        """Returns whether a request may run anew at another server now.

        Args:
            request: The ``GatewayRequest``.
        """
        try:
            self.check(request)
        except PistachiowellError:
            return False
        return self.may_send_again(request)

    def is_exempt(self, fingerprint, server_id):
        """Returns whether a failure says nothing about a version of the servers.

        See ``CrashCandidates.is_exempt``.
        """
        return self._candidates.is_exempt(fingerprint, server_id)

    @asynccontextmanager
    async def tracked_attempt(self, server, request):
        """Tracks an attempt while the context is open.

        An error that a crash may have caused leaves the context a little later, so that
        a retry is judged by the crash.

        Args:
            server: The ``BackendServer``.
            request: The ``GatewayRequest``.

        Yields:
            The ``TrackedAttempt``.
        """
        incarnation = (server.id, server.host, server.port, server.started_ms)
        detection = self._detections.get(incarnation)
        if detection is None:
            detection = self._detections[incarnation] = self._detection(server)
        key = next(self._keys)
        attempt = TrackedAttempt(request, self._now)
        detection.record_start(key, attempt)
        is_innocent = False
        try:
            yield attempt
            is_innocent = not attempt.may_hide_crash
            if attempt.may_hide_crash:
                self._question(incarnation, detection)
        except (NotConnected, ServerClosed):
            is_innocent = True
            raise
        except ConnectionBroken:
            self._question(incarnation, detection)
            with anyio.move_on_after(MAX_CHECK_WAIT_S):
                await detection.wait()
            raise
        finally:
            is_innocent |= attempt.was_answered
            detection.record_end(key, is_innocent=is_innocent)
            self._remove_idle(incarnation, detection)
        if attempt.was_answered:
            parts = request.part_names if attempt.was_good else ()
            self._candidates.clear(request.fingerprint, parts)

    def _question(self, incarnation, detection):
        if detection.question():
            self._checks.start_soon(self._check, incarnation, detection)

    async def _check(self, incarnation, detection):
        await detection.check()
        self._remove_idle(incarnation, detection)

    def _remove_idle(self, incarnation, detection):
        if detection.is_idle:
            self._detections.pop(incarnation, None)

    def _detection(self, server):
        async def refuses_connections():
            return await _refuses_connections(server)

        def report(attempts, questioned_at):
            names = {attempt.request.fingerprint for attempt in attempts}
            parts = _parts_in_progress(attempts, questioned_at)
            self._candidates.report_crash(server.id, tuple(sorted(names)), parts)

        return CrashDetection(refuses_connections, report, self._now)


class CrashingRequest(Quarantined):
    """A quarantined request, refused with a status that promises that it has not run.

    Its caller may be right to send it: the fault is that of the servers.
    """

    http_status = 503


class TrackedAttempt:
    """An attempt whose server may crash.

    Args:
        request: The ``GatewayRequest``.
        now: Function that returns the monotonic time in seconds.

    Attributes:
        request: The ``GatewayRequest``.
        begun_at: Time at which the server began to answer; None before.
        was_answered: Whether the server has answered completely.
        was_good: Whether that answer was a success.
        may_hide_crash: Whether an answer on shared parts ended with its connection, as
            it does too if one of them crashes the server.
    """

    __slots__ = (
        "_now",
        "begun_at",
        "may_hide_crash",
        "request",
        "was_answered",
        "was_good",
    )

    def __init__(self, request, now):
        self._now = now
        self.request = request
        self.begun_at = None
        self.was_answered = False
        self.was_good = False
        self.may_hide_crash = False

    def record_begin(self):
        """Records that the server has begun to answer."""
        self.begun_at = self._now()

    def record_answer(self, head, *, is_framed):
        """Records a complete answer.

        An error of the server does not show that it has begun to run the request.

        Args:
            head: The ``AnswerHead``.
            is_framed: Whether the answer told its end.
        """
        self.may_hide_crash = not is_framed and bool(self.request.part_names)
        is_answer = head.status < FIRST_SERVER_ERROR_STATUS
        self.was_answered = is_answer and not self.may_hide_crash
        self.was_good = self.was_answered and head.is_success


def _parts_in_progress(attempts, crashed_at):
    """Returns a ``PartInProgress`` for each part that may have crashed a server."""
    begun, waiting = defaultdict(set), defaultdict(set)
    for attempt in attempts:
        is_begun = attempt.begun_at is not None
        if is_begun and crashed_at - attempt.begun_at > MAX_BEGIN_S:
            continue
        for name in attempt.request.part_names:
            (begun if is_begun else waiting)[name].add(attempt.request.fingerprint)
    return tuple(
        PartInProgress(name, tuple(sorted(begun[name])), tuple(sorted(waiting[name])))
        for name in sorted(begun.keys() | waiting.keys())
    )


async def _refuses_connections(server):
    """Returns whether nothing listens at the address of a server any more.

    A server that does not answer at all may be cut off and still run its requests.
    """
    with anyio.move_on_after(WATCH_S):
        while True:
            try:
                stream = await anyio.connect_tcp(server.host, server.port)
            except OSError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    return True
                # Connections that wait at a port as it is closed are reset.
                if not isinstance(error.__cause__, ConnectionResetError):
                    return False
            else:
                async with stream:
                    await _wait_until_closed(stream)
            await anyio.sleep(RECHECK_DELAY_S)
    return False


async def _wait_until_closed(stream):
    """Waits until a connection is closed, or bears bytes that nobody has asked for."""
    with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        await stream.receive()
