"""Runs requests at agents, with retries, and puts their answers together."""

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
        rows: The ``Rows`` with the table in force.
        moves: The ``Moves``; picks the versions and counts the answers.
        handlers: Handlers of the links to agents; this adds its own.
        crash_candidates: The ``CrashCandidates``.
        rng: A ``Random``.
    """

    __slots__ = (
        "_attempts",
        "_budget",
        "_fleet",
        "_give_ups",
        "_moves",
        "_numbers",
        "_pool",
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
        self._budget = RetryBudget(self._settings)
        self._pool = CREDIT_POOLS.find("bounded")(
            CreditSettings(process_bytes=runtime.settings.max_held_bytes)
        )
        self._give_ups = {}
        # One number for each attempt of this router, since a request id may be in
        # progress twice: a repeat with the same idempotency key has the same id.
        self._numbers = itertools.count(1)
        handlers.on(LoadReport)(self._take_load)

    async def _take_load(self, link, message):
        if self._fleet.record_heartbeat(link, leaving=message.leaving) is not None:
            self._selection.take_load(message)
        self._runtime.metrics.gauge("streams.reserved_bytes", self._pool.reserved_bytes)

    async def run(self, route, payment, give_up=None):
        """Runs one request and yields its answer.

        Args:
            route: The ``RouteRow``.
            payment: The request's ``Payment``; it makes and pays for each attempt.
            give_up: Function that ends a stream whose caller reads too slowly;
                None if it cannot be ended.

        Yields:
            One ``AnswerStart``, then ``AnswerChunk`` messages, then ``AnswerEnd``.

        Raises:
            PistachiowellError: The request failed; ``ran`` tells whether it ran.
        """
        deadline = self._runtime.now() + route.timeout_s
        version = self._pick_version(route)
        retries = RETRIES.find("budgeted")(
            self._settings, self._budget, route.repeatable, deadline
        )
        tried = set()
        while True:
            retries.start()
            request = await self._begin(payment, version, deadline, retries)
            answer = Answer(request)
            outcome = AttemptOutcome(request)
            try:
                messages = self._attempt(outcome, deadline, answer, tried, give_up)
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
                self._note_retry(request, error)
            finally:
                payment.end(outcome)

    async def _begin(self, payment, version, deadline, retries):
        number = next(self._numbers)
        try:
            left_s = deadline - self._runtime.now()
            return await payment.begin(version, number, left_s)
        except PistachiowellError as error:
            raise _final_error(error, retries) from error.__cause__

    def _pick_version(self, route):
        if not any(route.weights.values()):
            raise NoServer(f"All weights of route {route.name} are zero.")
        return self._moves.pick_version(route)

    def _retry_version(self, route, version, answer, tried):
        fallback = self._moves.fallback_version(route.name, version)
        if answer.shown_bytes or not self._selection.has_other(fallback, tried):
            return version
        return fallback

    def _check_retry(self, error, answer, retries):
        failure = AttemptFailure(
            str(error.code), error.ran, error.retry_after_s, answer.shown_bytes
        )
        if retries.may_retry(failure, self._runtime.now()):
            return
        raise _final_error(error, retries)

    def _note_retry(self, request, error):
        self._runtime.metrics.count("attempts.retried")
        self._runtime.events.add(
            EventKind.attempt_retried,
            request=request.request_id,
            account=request.account,
            text=str(error.code),
        )

    async def _attempt(self, outcome, deadline, answer, tried, give_up):
        request = outcome.request
        crashed = self._crash_candidates.check(request.fingerprint)
        peer = self._selection.pick_agent(request, tried, crashed)
        tried.add(peer.record.server)
        key = f"{request.request_id}/{request.attempt}"
        credit = StreamCredit(self._pool, key, request.account, self._runtime.now)
        self._give_up(credit.victims)
        with credit, self._observed(request, peer, answer) as progress:
            self._give_ups[key] = give_up
            request = replace(
                request, credit_bytes=credit.first_bytes, solo=bool(crashed)
            )
            try:
                with Attempt(self._attempts, request, peer.link, deadline) as attempt:
                    outcome.sent_to(peer)
                    attempt.start()
                    while not answer.ended:
                        message = await attempt.receive()
                        progress.note()
                        size = credit.received(message)
                        shown_messages = answer.take(message)
                        outcome.end = answer.end
                        for shown in shown_messages:
                            yield shown
                        attempt.grant(credit.passed(size))
            finally:
                del self._give_ups[key]
        self._crash_candidates.clear(request.fingerprint)

    def _give_up(self, victims):
        for victim in victims:
            give_up = self._give_ups.get(victim.stream)
            if give_up is not None:
                self._runtime.metrics.count("streams.given_up")
                give_up()

    @contextmanager
    def _observed(self, request, peer, answer):
        server = peer.record.server
        self._selection.sent(server)
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
            self._note_for_moves(request, server, progress, answer.fault)
        except PistachiowellError as error:
            failure = error
            self._note_for_moves(request, server, progress, error)
            raise
        finally:
            self._selection.ended(server, failure, progress.latency_s)

    def _note_for_moves(self, request, server, progress, error):
        excused = error and self._crash_candidates.is_excused(
            request.fingerprint, server
        )
        if not excused:
            self._moves.note(request.route, server, progress.started_at, error)


def _final_error(error, retries):
    if retries.may_have_run and error.ran == NOT_RUN:
        error.ran = MAY_HAVE_RUN
    return error


class AttemptOutcome:
    """What became of one attempt, for its payment.

    Args:
        request: The ``RunRequest``.

    Attributes:
        end: The ``AnswerEnd``; None without a whole answer.
        ran: What is known of the run if there is no end.
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
        """Incarnations of the agent that may have got the request."""
        return frozenset(self._agents)

    def sent_to(self, peer):
        """Takes note of the agent before the request is sent.

        An agent that was replaced at the same address answers under a new
        incarnation before its registration is seen, so both are kept.
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

    def note(self):
        if self.latency_s is None:
            self.latency_s = self._now() - self.started_at
