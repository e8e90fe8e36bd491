"""Runs requests at backend servers, with retries, and hands their answers on."""

from contextlib import contextmanager

import anyio

from pistachiowell.core.errors import (
    DeadlineExceeded,
    NoServer,
    PistachiowellError,
    ServerFailed,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.connections import ConnectionPool
from pistachiowell.gateway.events import EventReader
from pistachiowell.gateway.exchange import Exchange, NotConnected
from pistachiowell.routing import (
    RETRIES,
    SPLITTERS,
    AttemptFailure,
    RetryShare,
    RetryShareSettings,
)

SERVER_FAULT = 500
REFUSAL_DELAY_S = 0.3
CLOSE_INTERVAL_S = 0.25
NOT_RUN = "no"

_log = part_logger("dispatch")


class Usage:
    """What a request has used of its prompt's bound.

    Attributes:
        may_have_run: Whether any server may have begun to work on it.
        events: Events of the answer that came, the broken ones too.
        has_whole_answer: Whether an answer came that is not told in events.
    """

    __slots__ = ("events", "has_whole_answer", "may_have_run")

    def __init__(self):
        self.may_have_run = False
        self.events = 0
        self.has_whole_answer = False

    def tokens(self, request):
        """Returns an upper bound of the tokens that the request has used.

        A request of whose answer nothing came costs nothing, also if a server has
        read its prompt.
        """
        prompt = request.prompt
        if prompt is None or not (self.events or self.has_whole_answer):
            return 0
        engine = request.service.engine
        if engine is None or self.has_whole_answer:
            return prompt.bound_tokens
        output = self.events * engine.tokens_per_event
        return prompt.tokens + min(output, prompt.max_output_tokens)


class Dispatch:
    """Runs requests.

    Args:
        runtime: The process's ``Runtime``.
        selection: The ``Selection``.
        codec: The codec of heads; see ``pistachiowell.platform.headers``.
        routers: Function that returns the number of routers that may be running.
        rng: A ``Random``.
    """

    __slots__ = (
        "_codec",
        "_pool",
        "_routers",
        "_runtime",
        "_selection",
        "_shares",
        "_split",
    )

    def __init__(self, runtime, selection, codec, routers, rng):
        self._runtime = runtime
        self._selection = selection
        self._codec = codec
        self._routers = routers
        self._pool = ConnectionPool(runtime.now)
        self._shares = {}
        self._split = SPLITTERS.find("smooth")(rng)

    @property
    def opened_connections(self):
        """Connections to backend servers that were opened so far."""
        return self._pool.opened

    async def close_idle_connections(self):
        """Closes idle connections in time until cancelled."""
        while True:
            await anyio.sleep(CLOSE_INTERVAL_S)
            await self._pool.close_idle()

    async def run(self, request, caller, usage):
        """Runs a request until its caller has the answer.

        Args:
            request: The ``GatewayRequest``.
            caller: The ``Caller``.
            usage: The ``Usage``; kept up to date.

        Raises:
            PistachiowellError: There is no answer; nothing was shown to the caller,
                or what was shown ends here.
        """
        retries = RETRIES.find("by_route")(
            request.route, self._share(request.service.name), request.deadline
        )
        tried = set()
        events = EventReader()
        while True:
            number = retries.start(self._runtime.now())
            try:
                await self._attempt(request, caller, usage, events, tried, number)
                return
            except PistachiowellError as error:
                failure = AttemptFailure(
                    str(error.code),
                    error.ran,
                    arrived=not isinstance(error, NotConnected),
                )
                if not self._goes_on(request, caller, retries, failure):
                    if isinstance(error, ServerFault):
                        await caller.send_whole(error.head, error.body)
                        return
                    raise self._final_error(error, retries) from error
                self._runtime.metrics.count("attempts.retried")
                _log.info(
                    "Request is sent again.",
                    request=request.id,
                    attempt=number,
                    code=str(error.code),
                    ran=error.ran,
                    cause=error.message,
                    last_event=events.last_id,
                )

    def _goes_on(self, request, caller, retries, failure):
        if caller.has_begun and not request.route.is_resumable:
            return False
        return retries.may_retry(failure, self._runtime.now())

    def _final_error(self, error, retries):
        if retries.may_have_run and error.ran == NOT_RUN:
            return ServerFailed(f"An earlier attempt may have run; {error.message}")
        if error.ran == NOT_RUN and not error.retry_after_s:
            error.retry_after_s = REFUSAL_DELAY_S
        return error

    async def _attempt(self, request, caller, usage, events, tried, number):
        service = self._split.choose(request.route.name, request.route.weights)
        if service is None:
            raise NoServer(f"Route {request.route.name} has no service with weight.")
        choice = self._selection.choose(request, service, tried)
        server = choice.server
        tried.add(server.id)
        _log.info(
            "Request is sent.",
            request=request.id,
            server=server.id,
            attempt=number,
            wait_s=round(choice.cost_s, 4),
            left_s=round(request.deadline - self._runtime.now(), 3),
        )
        with self._observed(choice):
            async with Exchange(self._pool, self._codec, server, request) as exchange:
                try:
                    await self._exchange(
                        exchange, request, caller, usage, choice, events
                    )
                finally:
                    head = exchange.head
                    usage.may_have_run |= exchange.arrived and (
                        head is None or head.ran
                    )
                    usage.events = max(usage.events, events.count)
                    if events.pending_bytes:
                        usage.events = max(usage.events, events.count + 1)

    async def _exchange(self, exchange, request, caller, usage, choice, events):
        left_s = request.deadline - self._runtime.now()
        if left_s <= 0:
            raise DeadlineExceeded("The request's time is over.", ran=NOT_RUN)
        last_id = events.last_id or None
        events.restart()
        await exchange.send(left_s, last_id)
        head = exchange.head
        if not request.route.has_prompts or not head.is_success:
            choice.first_byte()
            usage.has_whole_answer |= head.is_success
            body = await exchange.read_body()
            if head.status >= SERVER_FAULT and request.route.is_repeatable:
                raise ServerFault(head, body)
            await caller.send_whole(head, body)
            return
        await self._stream(exchange, request, caller, choice, events)

    async def _stream(self, exchange, request, caller, choice, events):
        head = exchange.head
        async for data in exchange.chunks():
            if not data:
                continue
            choice.first_byte()
            shown = events.feed(data)
            if shown:
                await caller.show(head, b"".join(shown))
        if events.pending_bytes:
            raise ServerFailed("The stream ended inside an event.")
        await caller.end(head)

    def _share(self, service):
        share = self._shares.get(service)
        if share is None:
            settings = self._runtime.settings
            share = self._shares[service] = RetryShare(
                RetryShareSettings(
                    settings.retry_ratio, settings.retry_fixed, settings.retry_window_s
                ),
                self._routers,
            )
        return share

    @contextmanager
    def _observed(self, choice):
        error = None
        try:
            yield
        except PistachiowellError as caught:
            error = caught
            raise
        finally:
            choice.ended(error)
            if choice.latency_s is not None:
                self._runtime.metrics.timing("servers.first_byte", choice.latency_s)


class ServerFault(ServerFailed):
    """A server's own error answer, which may be asked for again elsewhere.

    Args:
        head: The ``AnswerHead``.
        body: The whole body.
    """

    def __init__(self, head, body):
        super().__init__(f"The server answered {head.status}.")
        self.head = head
        self.body = body
