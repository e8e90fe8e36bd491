"""Runs requests at backend servers, with retries, and forwards their answers."""

import anyio

from pistachiowell.core.errors import (
    DeadlineExceeded,
    NoServer,
    PistachiowellError,
    ServerFailed,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.connections import (
    AnswerForwarder,
    ConnectionPool,
    Exchange,
    ServerErrorAnswer,
)
from pistachiowell.gateway.requests.attempt_records import (
    attempt_failure,
    recorded_attempt,
)
from pistachiowell.gateway.requests.late_heads import LateHeads
from pistachiowell.gateway.requests.refused_streams import (
    NOT_RUN,
    has_arrived,
    has_no_server,
    is_refused_stream,
    wait_for_resend,
)
from pistachiowell.gateway.requests.run import Run
from pistachiowell.gateway.selection import TooLate
from pistachiowell.gateway.servers import NoRoom
from pistachiowell.gateway.stops import StopRefusal
from pistachiowell.routing import SPLITTERS

DEFAULT_RETRY_AFTER_S = 0.3
CLOSE_IDLE_INTERVAL_S = 0.25

_log = part_logger("dispatch")


class Dispatch:
    """Runs requests at backend servers and retries those that may be sent again.

    A request on a route that is not idempotent runs at most once: it is sent again only
    if no earlier attempt may have run.

    Args:
        runtime: The process's ``Runtime``.
        selection: The ``Selection``.
        silence: The ``SilenceMonitor``.
        limits: The ``ServerLimits``.
        crashes: The ``ServerCrashes``.
        retry_shares: The ``RetryShares``.
        hedges: The ``Hedges``.
        loop_watch: The ``LoopWatch``.
        stop: The ``PlannedStop``.
        codec: Codec of heads; see ``pistachiowell.platform.headers``.
        rng: A ``Random``.
    """

    __slots__ = (
        "_codec",
        "_crashes",
        "_hedges",
        "_late_heads",
        "_limits",
        "_pool",
        "_retry_shares",
        "_runtime",
        "_selection",
        "_silence",
        "_splitter",
        "_stop",
    )

    def __init__(
        self,
        runtime,
        selection,
        silence,
        limits,
        crashes,
        retry_shares,
        hedges,
        loop_watch,
        stop,
        codec,
        rng,
    ):
        self._runtime = runtime
        self._selection = selection
        self._silence = silence
        self._limits = limits
        self._crashes = crashes
        self._retry_shares = retry_shares
        self._hedges = hedges
        self._stop = stop
        self._codec = codec
        self._pool = ConnectionPool(
            runtime.now,
            loop_watch.deadline,
            runtime.clients.answers,
            lambda: loop_watch.late_s,
        )
        self._late_heads = LateHeads(codec, limits.record_closure)
        self._splitter = SPLITTERS.find("smooth")(rng)

    @property
    def opened_connections(self):
        """Number of connections opened to backend servers so far."""
        return self._pool.opened

    def service_odds(self, route):
        """Returns the probability of each service for the next request of a ``Route``.

        Nothing is chosen.
        """
        return self._splitter.odds(route.name, route.weights)

    async def run_connections(self):
        """Closes idle connections and reads late heads until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._late_heads.run)
            group.start_soon(self._close_idle_connections)

    async def _close_idle_connections(self):
        """Closes idle connections before their servers do."""
        while True:
            await anyio.sleep(CLOSE_IDLE_INTERVAL_S)
            await self._pool.close_idle()

    async def run(self, request, writer, usage):
        """Runs a request until its answer is sent to the caller.

        Args:
            request: The ``GatewayRequest``.
            writer: The ``AnswerWriter``.
            usage: The ``Usage``; updated after each attempt.

        Raises:
            PistachiowellError: There is no complete answer; the caller has received
                nothing, or a part of a stream that is not continued.
        """
        run = Run(request, writer, usage, self._stop)
        run.service = self._choose_service(request)
        while True:
            crashed_servers = self._check_crashes(run)
            number = run.retries.start(self._runtime.now(), self._retry_share(run))
            try:
                await self._run_attempts(run, number, crashed_servers)
                return
            except StopRefusal:
                raise
            except NoRoom as error:
                if await self._may_send_later(run, error):
                    continue
                if isinstance(error, TooLate):
                    self._runtime.metrics.count("requests.refused_late")
                raise self._final_error(run, error) from error
            except PistachiowellError as error:
                if not await self._may_send_again(run, error):
                    self._log_last_attempt(run, number, error)
                    if isinstance(error, ServerErrorAnswer):
                        await writer.send_complete(error.head, error.body)
                        return
                    raise self._final_error(run, error) from error
                self._runtime.metrics.count("attempts.retried")
                _log.info(
                    "Request is sent again.",
                    request=request.id,
                    attempt=number,
                    code=str(error.code),
                    ran=error.ran,
                    cause=error.message,
                    last_event=run.events.last_id,
                )

    def _choose_service(self, request):
        service = self._splitter.choose(request.route.name, request.route.weights)
        if service is None:
            raise NoServer(
                f"Route {request.route.name} has no service with a weight above 0."
            )
        return service

    def _check_crashes(self, run):
        try:
            return self._crashes.check(run.request)
        except PistachiowellError as error:
            raise self._final_error(run, error) from error

    async def _may_send_again(self, run, error):
        if is_refused_stream(run, error):
            if self._has_other_server(run) and self._may_retry(run, error):
                return True
            return await self._may_send_later(run, error)
        # An attempt is given up for another server of the same service.
        if not run.retries.is_paid:
            self._change_service(run)
        return self._may_retry(run, error)

    async def _may_send_later(self, run, error):
        """Waits with the rest of a stream; returns whether it may be sent then."""
        if not is_refused_stream(run, error):
            return False
        service = run.service
        # Servers of another service may be unable to continue it.
        if has_no_server(error):
            self._change_service(run)
        is_paid = not has_arrived(error) and run.service == service
        return await wait_for_resend(
            run, error, self._retry_share(run), self._runtime.now, is_paid=is_paid
        )

    def _change_service(self, run):
        run.retries.return_kept(self._retry_share(run))
        run.service = self._choose_service(run.request)

    def _may_retry(self, run, error):
        # Another server's answer cannot continue a stream that is not resumable; the
        # caller would receive parts of two different answers as one.
        if run.writer.has_started and not run.request.route.is_resumable:
            return False
        has_other_server = self._has_other_server(run)
        failure = attempt_failure(error, has_other_server=has_other_server)
        now = self._runtime.now()
        if not run.retries.may_retry(failure, now, self._retry_share(run)):
            return False
        return error.ran == NOT_RUN or self._crashes.may_send_again(run.request)

    def _log_last_attempt(self, run, number, error):
        retry_share = self._retry_share(run)
        _log.info(
            "Request is not sent again.",
            request=run.request.id,
            attempt=number,
            code=str(error.code),
            ran=error.ran,
            cause=error.message,
            retries=retry_share.retries,
            requests=retry_share.requests,
            routers=self._retry_shares.routers,
        )

    def _final_error(self, run, error):
        # The last attempt did not run, but an earlier one may have. Reporting that the
        # request did not run would invite the caller to send it again and run it twice.
        if run.retries.may_have_run and error.ran == NOT_RUN:
            return ServerFailed(f"An earlier attempt may have run; {error.message}")
        if error.ran == NOT_RUN and not error.retry_after_s:
            error.retry_after_s = DEFAULT_RETRY_AFTER_S
        return error

    async def _choose_server(self, run, crashed_servers):
        """Chooses a server that admits the request now."""
        while True:
            choice = self._selection.choose(
                run.request, run.service, run.avoided, crashed_servers, run.rank
            )
            is_admitted = await self._limits.admit(choice.server, run.rank)
            if is_admitted and self._selection.may_start(run.service, choice):
                return choice

    async def _run_attempts(self, run, number, crashed_servers):
        """Runs an attempt, and a second one beside it if its answer is slow."""

        async def first(lane):
            choice = await self._choose_server(run, crashed_servers)
            await self._run_attempt(run, number, choice, lane)

        async def second(choice, lane):
            now, share = self._runtime.now(), self._retry_share(run)
            await self._run_attempt(run, run.retries.start(now, share), choice, lane)

        await self._hedges.run(run, first, second)

    async def _run_attempt(self, run, number, choice, lane):
        request = run.request
        attempt = self._selection.start_attempt(request, run.service, choice)
        server = attempt.server
        is_repeat = server.id in run.tried
        run.record_start(server.id)
        _log.info(
            "Request is sent.",
            request=request.id,
            fingerprint=request.fingerprint,
            parts=[part for part, _ in request.prompt.parts] if request.prompt else [],
            server=server.id,
            attempt=number,
            wait_s=round(attempt.expected_wait_s, 4),
            left_s=round(request.deadline - self._runtime.now(), 3),
        )
        with recorded_attempt(self._runtime, self._crashes, run, attempt):
            async with (
                self._crashes.tracked_attempt(server, request) as tracked,
                Exchange(
                    self._pool,
                    self._codec,
                    server,
                    request,
                    self._late_heads,
                    is_repeat=is_repeat,
                ) as exchange,
            ):
                try:
                    with self._silence.watched_attempt(
                        server, attempt.expected_wait_s, lambda: self._try_move_on(run)
                    ) as watch:
                        await self._send_in_turn(run, exchange, attempt)
                        attempt.record_status(exchange.head.status)
                        forwarder = AnswerForwarder(
                            run,
                            exchange,
                            attempt,
                            watch,
                            lane,
                            self._runtime.metrics,
                        )
                        forwarder.check_continuation()
                        run.retries.return_kept(self._retry_share(run))
                        watch.record_part()
                        tracked.record_begin()
                        await forwarder.forward()
                finally:
                    if exchange.was_refused:
                        self._hedges.record_refusal(run.service)
                    if exchange.is_complete:
                        tracked.record_answer(
                            exchange.head, is_framed=exchange.is_framed
                        )
                    run.record_usage(exchange)

    def _try_move_on(self, run):
        if run.running > 1:
            # Another server is at work on the request.
            return False
        route = run.request.route
        if run.writer.has_started and not route.is_resumable:
            return False
        # The rest of a stream that is not admitted anywhere is lost.
        is_certain = run.writer.has_started
        if not self._has_other_server(run, is_certain=is_certain):
            return False
        if not self._crashes.may_move_on(run.request):
            return False
        return run.retries.try_move_on(
            self._runtime.now(), self._retry_share(run), is_begun=run.writer.has_started
        )

    def _has_other_server(self, run, *, is_certain=False):
        return self._selection.has_other_server(
            run.request, run.service, run.avoided, run.rank, is_certain=is_certain
        )

    async def _send_in_turn(self, run, exchange, attempt):
        """Sends a request so that its stream goes on after what the caller has."""
        last_id = run.events.last_id or None
        run.events.begin_continuation()
        await self._send(run, exchange, attempt, last_id)

    async def _send(self, run, exchange, attempt, last_id):
        await exchange.open()
        # The server may have closed itself while the request waited for its connection.
        self._limits.check_open(exchange.server, attempt.age_s)
        sent_at = self._runtime.now()
        run.check_stop(sent_at)
        left_s = run.request.deadline - sent_at
        if left_s <= 0:
            raise DeadlineExceeded(
                "The deadline of the request has passed.", ran=NOT_RUN
            )
        try:
            await exchange.send(left_s, last_id)
        finally:
            if exchange.has_own_head:
                self._limits.record_answer(exchange.server, exchange.head, sent_at)
            if exchange.tells_of_server:
                self._limits.record_closure(
                    exchange.server, exchange.head, exchange.request_id
                )

    def _retry_share(self, run):
        return self._retry_shares.of(run.service)
