"""Runs requests at backend servers, with retries, and forwards their answers."""

from contextlib import contextmanager

import anyio

from pistachiowell.core.errors import (
    AnswerBroken,
    DeadlineExceeded,
    NoServer,
    PistachiowellError,
    ServerFailed,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.connections import ConnectionPool
from pistachiowell.gateway.exchange import ConnectionBroken, Exchange, NotConnected
from pistachiowell.gateway.late_heads import LateHeads
from pistachiowell.gateway.run import Run
from pistachiowell.gateway.server_limits import NoRoom, ServerClosed
from pistachiowell.gateway.silence import SilentServer
from pistachiowell.routing import (
    SPLITTERS,
    AttemptFailure,
    RetryShare,
    RetryShareSettings,
)

SERVER_ERROR_STATUS = 500
DEFAULT_RETRY_AFTER_S = 0.3
CLOSE_IDLE_INTERVAL_S = 0.25
NOT_RUN = "no"

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
        loop_watch: The ``LoopWatch``.
        codec: Codec of heads; see ``pistachiowell.platform.headers``.
        router_count: Function that returns the number of gateways that may be running;
            they are registered as routers.
        rng: A ``Random``.
    """

    __slots__ = (
        "_codec",
        "_crashes",
        "_late_heads",
        "_limits",
        "_pool",
        "_retry_shares",
        "_router_count",
        "_runtime",
        "_selection",
        "_silence",
        "_splitter",
        "_started_at",
    )

    def __init__(
        self,
        runtime,
        selection,
        silence,
        limits,
        crashes,
        loop_watch,
        codec,
        router_count,
        rng,
    ):
        self._runtime = runtime
        self._selection = selection
        self._silence = silence
        self._limits = limits
        self._crashes = crashes
        self._codec = codec
        self._router_count = router_count
        self._pool = ConnectionPool(
            runtime.now, loop_watch.deadline, runtime.clients.answers
        )
        self._late_heads = LateHeads(codec, limits.record_closure)
        self._retry_shares = {}
        self._started_at = runtime.now()
        self._splitter = SPLITTERS.find("smooth")(rng)

    @property
    def opened_connections(self):
        """Number of connections opened to backend servers so far."""
        return self._pool.opened

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
        run = Run(request, writer, usage)
        run.service = self._choose_service(request)
        while True:
            crashed_servers = self._check_crashes(run)
            number = run.retries.start(self._runtime.now(), self._retry_share(run))
            try:
                await self._run_attempt(run, number, crashed_servers)
                return
            except NoRoom as error:
                raise self._final_error(run, error) from error
            except PistachiowellError as error:
                run.service = self._choose_service(request)
                if not self._may_retry(run, error):
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

    def _may_retry(self, run, error):
        # Another server's answer cannot continue a stream that is not resumable; the
        # caller would receive parts of two different answers as one.
        if run.writer.has_started and not run.request.route.is_resumable:
            return False
        failure = AttemptFailure(
            str(error.code),
            error.ran,
            may_have_arrived=not isinstance(error, (NotConnected, ServerClosed)),
        )
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
            routers=self._router_count(),
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
                run.request, run.service, run.tried, crashed_servers, run.priority
            )
            is_admitted = await self._limits.admit(choice.server, run.priority)
            if is_admitted and self._selection.may_start(run.service, choice):
                return choice

    async def _run_attempt(self, run, number, crashed_servers):
        request = run.request
        choice = await self._choose_server(run, crashed_servers)
        attempt = self._selection.start_attempt(request, run.service, choice)
        server = attempt.server
        is_repeat = server.id in run.tried
        run.tried.add(server.id)
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
        with self._recorded_attempt(run, attempt):
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
                        server, attempt.expected_wait_s, lambda: self._may_move_on(run)
                    ) as watch:
                        await self._forward_answer(
                            run, exchange, attempt, tracked, watch
                        )
                finally:
                    if exchange.is_complete:
                        tracked.record_answer(
                            exchange.head, is_framed=exchange.is_framed
                        )
                    run.record_usage(exchange)

    def _may_move_on(self, run):
        route = run.request.route
        if run.writer.has_started and not route.is_resumable:
            return False
        if not run.retries.may_move_on(self._runtime.now(), self._retry_share(run)):
            return False
        return self._selection.has_other_server(run.service, run.tried, run.priority)

    async def _forward_answer(self, run, exchange, attempt, tracked, watch):
        request, events = run.request, run.events
        last_id = events.last_id or None
        events.begin_continuation()
        await self._send(exchange, request.deadline, last_id)
        head = exchange.head
        attempt.record_status(head.status)
        self._check_continuation(run, exchange)
        watch.record_part()
        tracked.record_begin()
        if not request.route.has_prompts or not head.is_success:
            attempt.record_first_byte()
            run.usage.has_unstreamed_answer |= head.is_success
            # The body is read to its end before any of it is sent, so that a body that
            # is cut off can be retried and never looks complete to the caller.
            body = await exchange.read_body(watch.record_part)
            if head.status >= SERVER_ERROR_STATUS and request.route.is_idempotent:
                raise ServerErrorAnswer(head, body)
            with watch.paused():
                await run.writer.send_complete(head, body)
            return
        await self._forward_stream(run, exchange, attempt, watch)

    def _check_continuation(self, run, exchange):
        """Checks that an answer goes on with the stream that the caller reads.

        Raises:
            AnswerBroken: It is no stream; nothing of it may reach the caller, who has
                received the head of another answer.
        """
        head = exchange.head
        if not run.writer.has_started or (head.is_success and head.is_event_stream):
            return
        self._runtime.metrics.count("streams.not_continued")
        raise AnswerBroken(
            f"Server {exchange.server.id} answered {head.status} in place of the rest"
            " of a stream."
        )

    async def _send(self, exchange, deadline, last_id):
        await exchange.open()
        # The server may have closed itself while the request waited for its connection.
        self._limits.check_open(exchange.server)
        sent_at = self._runtime.now()
        left_s = deadline - sent_at
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

    async def _forward_stream(self, run, exchange, attempt, watch):
        # Only complete events are sent, so that another server can continue a broken
        # stream with the event after the last one.
        head, has_data = exchange.head, False
        async for data in exchange.chunks():
            if not data:
                continue
            has_data = True
            watch.record_part()
            attempt.record_first_byte()
            complete = run.events.feed(data)
            attempt.record_events(len(complete))
            if complete:
                with watch.paused():
                    await run.writer.send_chunk(head, b"".join(complete))
            if run.events.fault:
                raise AnswerBroken(run.events.fault)
        if run.events.pending_bytes:
            raise ConnectionBroken("The stream ended inside an event.")
        if not has_data and not exchange.is_framed:
            raise ConnectionBroken("The connection ended before the first event.")
        with watch.paused():
            await run.writer.finish(head)

    def _retry_share(self, run):
        retry_share = self._retry_shares.get(run.service)
        if retry_share is None:
            settings = self._runtime.settings
            retry_share = self._retry_shares[run.service] = RetryShare(
                RetryShareSettings(
                    settings.retry_ratio, settings.retry_fixed, settings.retry_window_s
                ),
                self._router_count,
                self._started_at,
            )
        return retry_share

    @contextmanager
    def _recorded_attempt(self, run, attempt):
        error, was_abandoned = None, False
        try:
            yield
        except SilentServer:
            # A VM that stands still says nothing about the version that it runs.
            was_abandoned = True
            raise
        except PistachiowellError as caught:
            error = caught
            raise
        except anyio.get_cancelled_exc_class():
            was_abandoned = self._runtime.now() < run.request.deadline
            error = _fault_at_deadline(run, attempt)
            raise
        finally:
            if was_abandoned:
                attempt.record_abandoned()
                _log.info(
                    "Attempt is given up before its end.",
                    request=run.request.id,
                    server=attempt.server.id,
                    after_s=round(attempt.age_s, 3),
                    first_byte_s=attempt.latency_s,
                )
            else:
                attempt.record_end(error, self._crashes.is_exempt)
            if attempt.latency_s is not None:
                self._runtime.metrics.timing("servers.first_byte", attempt.latency_s)


def _fault_at_deadline(run, attempt):
    """Returns the error of an attempt whose deadline has passed at its server."""
    if attempt.latency_s is not None and not run.events.count:
        return AnswerBroken("The answer has begun and not ended by the deadline.")
    return DeadlineExceeded("The answer had not ended by the deadline.")


class ServerErrorAnswer(ServerFailed):
    """A server answered an idempotent request with an error status.

    The request may be sent to another server. If it may not, the answer is sent to the
    caller as it is.

    Args:
        head: The ``AnswerHead``.
        body: The complete body.
    """

    def __init__(self, head, body):
        super().__init__(f"The server answered with status {head.status}.")
        self.head = head
        self.body = body
