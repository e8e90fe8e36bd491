"""Runs requests at agents, with retries, and puts their answers together."""

import itertools
from contextlib import aclosing, contextmanager
from dataclasses import dataclass, replace

from pistachiowell.core.errors import MAY_HAVE_RUN, NOT_RUN, PistachiowellError
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


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """What one attempt showed of a version.

    Attributes:
        route: Name of the route.
        version: Name of the version.
        server: Name of the backend server.
        error: The ``PistachiowellError``, or None for a whole answer.
        status: HTTP status of a whole answer; 0 without one, also if the caller left.
        began_s: Monotonic time at which the attempt began, in seconds.
        latency_s: Seconds to the first part of the answer; None if none came.
        suspect: Whether the request was suspected of crashing servers, so that a
            failure says nothing about the version.
    """

    route: str
    version: str
    server: str
    error: object
    status: int
    began_s: float
    latency_s: float | None
    suspect: bool


class Dispatch:
    """Runs requests at agents.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
        rows: The ``Rows`` with the table in force.
        moves: The ``Moves``; picks the versions of moving routes and judges answers.
        handlers: Handlers of the links to agents; this adds its own.
        suspects: The ``Suspects``.
        rng: A ``Random``.

    Attributes:
        observers: Functions that are called with each ``AttemptResult``.
    """

    __slots__ = (
        "_attempts",
        "_budget",
        "_fleet",
        "_give_ups",
        "_numbers",
        "_pool",
        "_runtime",
        "_selection",
        "_settings",
        "_suspects",
        "observers",
    )

    def __init__(self, runtime, fleet, rows, moves, handlers, suspects, rng):
        self._runtime = runtime
        self._fleet = fleet
        self._suspects = suspects
        self._settings = RoutingSettings()
        self._attempts = Attempts(handlers, runtime.now)
        self._selection = Selection(runtime, fleet, rows, moves, self._settings, rng)
        self._budget = RetryBudget(self._settings)
        self._pool = CREDIT_POOLS.find("bounded")(
            CreditSettings(process_bytes=runtime.settings.max_held_bytes)
        )
        self._give_ups = {}
        # One number for each attempt of this router, since a request id may be in
        # progress twice: a repeat with the same idempotency key has the same id.
        self._numbers = itertools.count(1)
        self.observers = [moves.observe]
        handlers.on(LoadReport)(self._take_load)

    async def _take_load(self, link, message):
        if self._fleet.heard(link, leaving=message.leaving) is not None:
            self._selection.take_load(message)
        self._runtime.metrics.gauge("streams.reserved_bytes", self._pool.reserved_bytes)

    async def run(self, route, build, give_up=None):
        """Runs one request and yields its answer.

        Args:
            route: The ``RouteRow``.
            build: Function that returns the ``RunRequest`` of an attempt, given
                its version, number and seconds to the deadline.
            give_up: Function that ends a stream whose caller reads too slowly;
                None if it cannot be ended.

        Yields:
            One ``AnswerStart``, then ``AnswerChunk`` messages, then ``AnswerEnd``.

        Raises:
            PistachiowellError: The request failed; ``ran`` tells whether it ran.
        """
        deadline = self._runtime.now() + route.timeout_s
        version = self._selection.pick_version(route)
        retries = RETRIES.find("budgeted")(
            self._settings, self._budget, route.repeatable, deadline
        )
        tried = set()
        while True:
            retries.start()
            number = next(self._numbers)
            request = build(version, number, deadline - self._runtime.now())
            answer = Answer(request)
            try:
                messages = self._attempt(request, deadline, answer, tried, give_up)
                async with aclosing(messages):
                    async for message in messages:
                        yield message
                return
            except PistachiowellError as error:
                self._check_retry(error, answer, retries)
                self._note_retry(request, error)

    def _check_retry(self, error, answer, retries):
        failure = AttemptFailure(
            str(error.code), error.ran, error.retry_after_s, answer.shown_bytes
        )
        if retries.may_retry(failure, self._runtime.now()):
            return
        if retries.may_have_run and error.ran == NOT_RUN:
            error.ran = MAY_HAVE_RUN
        raise error

    def _note_retry(self, request, error):
        self._runtime.metrics.count("attempts.retried")
        self._runtime.events.add(
            EventKind.attempt_retried,
            request=request.request_id,
            account=request.account,
            text=str(error.code),
        )

    async def _attempt(self, request, deadline, answer, tried, give_up):
        crashed = self._suspects.check(request.fingerprint)
        peer = self._selection.pick_agent(request, tried, crashed)
        tried.add(peer.record.server)
        key = f"{request.request_id}/{request.attempt}"
        credit = StreamCredit(self._pool, key, request.account, self._runtime.now)
        self._give_up(credit.victims)
        with credit, self._observed(request, peer, answer, bool(crashed)) as progress:
            self._give_ups[key] = give_up
            request = replace(
                request, credit_bytes=credit.first_bytes, solo=bool(crashed)
            )
            try:
                with Attempt(self._attempts, request, peer.link, deadline) as attempt:
                    attempt.start()
                    while not answer.ended:
                        message = await attempt.receive()
                        progress.note()
                        size = credit.received(message)
                        for shown in answer.take(message):
                            yield shown
                        attempt.grant(credit.passed(size))
            finally:
                del self._give_ups[key]
        self._suspects.clear(request.fingerprint)

    def _give_up(self, victims):
        for victim in victims:
            give_up = self._give_ups.get(victim.stream)
            if give_up is not None:
                self._runtime.metrics.count("streams.given_up")
                give_up()

    @contextmanager
    def _observed(self, request, peer, answer, suspect):
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
        except PistachiowellError as error:
            failure = error
            raise
        finally:
            self._selection.ended(server, failure, progress.latency_s)
            result = AttemptResult(
                request.route,
                request.version,
                server,
                failure,
                answer.status if answer.ended else 0,
                progress.began_s,
                progress.latency_s,
                suspect,
            )
            for observe in self.observers:
                observe(result)


class _Progress:
    """Measures the time to the first message of an attempt."""

    __slots__ = ("_now", "began_s", "latency_s")

    def __init__(self, now):
        self._now = now
        self.began_s = now()
        self.latency_s = None

    def note(self):
        if self.latency_s is None:
            self.latency_s = self._now() - self.began_s
