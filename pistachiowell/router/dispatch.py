"""Runs requests at agents, with retries, and assembles their answers."""

import itertools
from contextlib import aclosing, contextmanager
from dataclasses import replace

from pistachiowell.core.errors import (
    MAY_HAVE_RUN,
    NOT_RUN,
    NoServer,
    PistachiowellError,
)
from pistachiowell.core.events import EventKind
from pistachiowell.router.answers import Answer, StreamCredit
from pistachiowell.router.attempts import Attempt, Attempts
from pistachiowell.router.selection import Selection
from pistachiowell.routing import (
    CREDIT_POOLS,
    RETRIES,
    AttemptFailure,
    CreditSettings,
    RetryBudget,
    RoutingSettings,
)
from pistachiowell.schema.generated.messages_requests import LoadReport


class Dispatch:
    """Runs requests at agents.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
        rows: The ``Rows`` with the current table.
        moves: The ``Moves``; picks the versions and records the answers.
        handlers: Handlers of the links to agents; this adds its own.
        crash_candidates: The ``CrashCandidates``.
        rng: A ``Random``.
    """

    __slots__ = (
        "_attempts",
        "_retry_budget",
        "_fleet",
        "_abort_callbacks",
        "_moves",
        "_attempt_numbers",
        "_credit_pool",
        "_runtime",
        "_selection",
        "_settings",
        "_crash_candidates",
    )

    def __init__(self, runtime, fleet, rows, moves, handlers, crash_candidates, rng):
        self._runtime = runtime
        self._fleet = fleet
        self._moves = moves
        self._crash_candidates = crash_candidates
        self._settings = RoutingSettings()
        self._attempts = Attempts(handlers, runtime.now)
        self._selection = Selection(runtime, fleet, rows, self._settings, rng)
        self._retry_budget = RetryBudget(self._settings)
        self._credit_pool = CREDIT_POOLS.find("bounded")(
            CreditSettings(process_bytes=runtime.settings.max_held_bytes)
        )
        self._abort_callbacks = {}
        # Attempts are numbered per router and not per request: a repeat with the same
        # idempotency key has the same request id, so two runs of one id may be in
        # progress, and their messages must not be confused.
        self._attempt_numbers = itertools.count(1)
        handlers.on(LoadReport)(self._handle_load)

    async def _handle_load(self, link, message):
        if self._fleet.record_heartbeat(link, leaving=message.leaving) is not None:
            self._selection.record_load(message)
        self._runtime.metrics.gauge(
            "streams.reserved_bytes", self._credit_pool.reserved_bytes
        )

    async def run(self, route, payment, abort=None):
        """Runs one request and yields its answer.

        A failed attempt is retried at another server only if this is safe: the caller
        has not received any byte of the answer, and the request either did not run or
        is idempotent. Retries are also bounded by the deadline, a number of attempts
        and a share of the traffic, so that they do not multiply the load of an outage.

        Args:
            route: The ``RouteRow``.
            payment: The request's ``Payment``; it reserves tokens for each attempt and
                builds its ``RunRequest``.
            abort: Function that aborts a stream whose caller reads too slowly; None
                if the stream cannot be aborted.

        Yields:
            One ``AnswerStart``, then ``AnswerChunk`` messages, then ``AnswerEnd``.

        Raises:
            PistachiowellError: The request failed; ``ran`` says whether it ran.
        """
        deadline = self._runtime.now() + route.timeout_s
        version = self._pick_version(route)
        retries = RETRIES.find("budgeted")(
            self._settings, self._retry_budget, route.repeatable, deadline
        )
        tried = set()
        while True:
            retries.start()
            request = await self._reserve(payment, version, deadline, retries)
            answer = Answer(request)
            outcome = AttemptOutcome(request)
            try:
                messages = self._attempt(outcome, deadline, answer, tried, abort)
                async with aclosing(messages):
                    async for message in messages:
                        yield message
                return
            except PistachiowellError as error:
                outcome.ran = error.ran
                version = self._retry_version(route, version, answer, tried)
                if not self._selection.has_other(version, tried):
                    raise _final_error(error, retries) from error.__cause__
                self._check_retry(error, answer, retries)
                self._record_retry(request, error)
            finally:
                payment.close_reservation(outcome)

    async def _reserve(self, payment, version, deadline, retries):
        number = next(self._attempt_numbers)
        try:
            left_s = deadline - self._runtime.now()
            return await payment.reserve(version, number, left_s)
        except PistachiowellError as error:
            raise _final_error(error, retries) from error.__cause__

    def _pick_version(self, route):
        if not any(route.weights.values()):
            raise NoServer(
                f"All weights of route {route.name} are zero; set one above zero."
            )
        return self._moves.pick_version(route)

    def _retry_version(self, route, version, answer, tried):
        fallback = self._moves.fallback_version(route.name, version)
        if answer.sent_bytes or not self._selection.has_other(fallback, tried):
            return version
        return fallback

    def _check_retry(self, error, answer, retries):
        failure = AttemptFailure(
            str(error.code), error.ran, error.retry_after_s, answer.sent_bytes
        )
        if retries.may_retry(failure, self._runtime.now()):
            return
        raise _final_error(error, retries)

    def _record_retry(self, request, error):
        self._runtime.metrics.count("attempts.retried")
        self._runtime.events.add(
            EventKind.attempt_retried,
            request=request.request_id,
            account=request.account,
            text=str(error.code),
        )

    async def _attempt(self, outcome, deadline, answer, tried, abort):
        request = outcome.request
        crashed_servers = self._crash_candidates.check(request.fingerprint)
        peer = self._selection.pick_agent(request, tried, crashed_servers)
        tried.add(peer.record.server)
        key = f"{request.request_id}/{request.attempt}"
        credit = StreamCredit(
            self._credit_pool, key, request.account, self._runtime.now
        )
        self._abort_streams(credit.aborts)
        with credit, self._recorded_attempt(request, peer, answer) as progress:
            self._abort_callbacks[key] = abort
            request = replace(
                request, credit_bytes=credit.first_bytes, solo=bool(crashed_servers)
            )
            try:
                with Attempt(self._attempts, request, peer.link, deadline) as attempt:
                    outcome.record_agent(peer)
                    attempt.start()
                    while not answer.is_complete:
                        message = await attempt.receive()
                        progress.record_message()
                        size = credit.record_received(message)
                        caller_messages = answer.add_message(message)
                        outcome.end = answer.end
                        for caller_message in caller_messages:
                            yield caller_message
                        attempt.grant_credit(credit.record_sent(size))
            finally:
                del self._abort_callbacks[key]
        self._crash_candidates.clear(request.fingerprint)

    def _abort_streams(self, aborts):
        for abort in aborts:
            callback = self._abort_callbacks.get(abort.stream)
            if callback is not None:
                self._runtime.metrics.count("streams.given_up")
                callback()

    @contextmanager
    def _recorded_attempt(self, request, peer, answer):
        server = peer.record.server
        self._selection.record_start(server)
        self._runtime.events.add(
            EventKind.request_sent,
            request=request.request_id,
            account=request.account,
            text=server,
        )
        progress = _Progress(self._runtime.now)
        failure = None
        try:
            yield progress
            self._record_for_moves(request, server, progress, answer.fault)
        except PistachiowellError as error:
            failure = error
            self._record_for_moves(request, server, progress, error)
            raise
        finally:
            self._selection.record_end(server, failure, progress.latency_s)

    def _record_for_moves(self, request, server, progress, error):
        """Records the end of an attempt for the open move of its route.

        A crash that a crash candidate caused is not counted against the version.
        """
        exempt = error and self._crash_candidates.is_exempt(request.fingerprint, server)
        if not exempt:
            self._moves.record_answer(request.route, server, progress.started_at, error)


def _final_error(error, retries):
    """Returns the error for the caller.

    The last attempt may not have run although an earlier one may have. The caller must
    not read ``ran == "no"`` then, or a repeat could run the request twice.
    """
    if retries.may_have_run and error.ran == NOT_RUN:
        error.ran = MAY_HAVE_RUN
    return error


class AttemptOutcome:
    """Outcome of one attempt, from which its reservation is settled.

    Args:
        request: The ``RunRequest``.

    Attributes:
        end: The ``AnswerEnd``; None if the answer is incomplete.
        ran: Whether the attempt ran (``no`` or ``unknown``) if ``end`` is None.
    """

    __slots__ = ("_agents", "_request", "end", "ran")

    def __init__(self, request):
        self._request = request
        self._agents = set()
        self.end = None
        self.ran = MAY_HAVE_RUN

    @property
    def request(self):
        """The ``RunRequest``."""
        return self._request

    @property
    def agents(self):
        """Incarnations of the agent that may have received the request."""
        return frozenset(self._agents)

    def record_agent(self, peer):
        """Records the agent before the request is sent.

        An agent that was replaced at the same address answers under a new incarnation
        before its new registration is read. Both incarnations are recorded; otherwise
        the usage of a request with an unknown outcome could be missed.

        Args:
            peer: The ``Peer``.
        """
        self._agents.add(peer.record.incarnation)
        if peer.link.hello is not None:
            self._agents.add(peer.link.hello.incarnation)


class _Progress:
    """Measures the time to the first message of an attempt."""

    __slots__ = ("_now", "latency_s", "started_at")

    def __init__(self, now):
        self._now = now
        self.started_at = now()
        self.latency_s = None

    def record_message(self):
        if self.latency_s is None:
            self.latency_s = self._now() - self.started_at
