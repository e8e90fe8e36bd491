"""ASGI applications of the gateway, for callers and for health checks."""

import anyio

from pistachiowell.core.errors import (
    NOT_RUN,
    BodyTimeout,
    BodyTooLarge,
    DeadlineExceeded,
    HeadersTooLarge,
    InternalFault,
    InvalidRequest,
    Leaving,
    NotFound,
    Overloaded,
    PistachiowellError,
    Unauthorized,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.core.web import CallerGoneError, read_body, watch_disconnect
from pistachiowell.gateway.answer_writer import AnswerWriter
from pistachiowell.gateway.load_sharing import overload_text
from pistachiowell.gateway.messages import GatewayRequest, request_rank
from pistachiowell.gateway.run import Usage
from pistachiowell.routing import fingerprint, part_names

NOT_READY_RETRY_AFTER_S = 0.5

_log = part_logger("gateway")


class GatewayOverloaded(Overloaded):
    """This gateway is at its limit; another one may have room."""

    closes_connection = True


class GatewayApp:
    """Validates requests, reserves their tokens and dispatches them.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
        codec: Codec of heads; see ``pistachiowell.platform.headers``.
        overload: The ``OverloadPolicy``.
        stop: The ``PlannedStop``.
        spending: The ``GatewaySpending``.
        dispatch: The ``Dispatch``.
        load: The ``LoadSharing``.
    """

    __slots__ = (
        "_codec",
        "_dispatch",
        "_in_progress",
        "_load",
        "_overload",
        "_runtime",
        "_spending",
        "_state",
        "_stop",
    )

    def __init__(self, runtime, state, codec, overload, stop, spending, dispatch, load):
        self._runtime = runtime
        self._load = load
        self._overload = overload
        self._stop = stop
        self._state = state
        self._codec = codec
        self._spending = spending
        self._dispatch = dispatch
        self._in_progress = 0
        runtime.metrics.watch("requests.in_progress", lambda: self._in_progress)

    async def __call__(self, scope, receive, send):
        """Handles one HTTP request."""
        if scope["type"] != "http":
            return
        received_at = self._runtime.now()
        head = self._codec.read_request_head(scope)
        writer = AnswerWriter(send, lambda: self._closes_connection(scope))
        self._in_progress += 1
        try:
            request = await self._read_request(scope, head, receive, received_at)
            self._load.add_request(scope)
            await self._serve(request, receive, writer)
        except CallerGoneError:
            _log.info(
                "Caller disconnected before its request was complete.",
                request=head.request_id,
            )
        except PistachiowellError as error:
            await self._send_error(head, writer, error, received_at)
        except Exception:
            _log.exception("A request failed with an unexpected exception.")
            error = InternalFault("The gateway failed with an unexpected exception.")
            await self._send_error(head, writer, error, received_at)
        finally:
            self._in_progress -= 1
            self._load.end_request(scope)

    def _closes_connection(self, scope):
        return (
            self._state.is_leaving
            or self._load.is_relayed(scope)
            or self._load.closes_connections
        )

    async def _send_error(self, head, writer, error, received_at):
        self._runtime.metrics.count(f"refused.{error.code}")
        was_sent = await writer.send_error(error)
        catalog = self._state.catalog
        _log.warning(
            "Request is refused." if error.ran == "no" else "Request has failed.",
            request=head.request_id,
            code=str(error.code),
            status=error.http_status if was_sent else None,
            ran=error.ran,
            retry_after_s=error.retry_after_s,
            cause=error.message,
            after_s=round(self._runtime.now() - received_at, 3),
            revision=catalog.revision if catalog else None,
        )

    async def _read_request(self, scope, head, receive, received_at):
        catalog = self._state.catalog
        if catalog is None:
            raise Leaving(
                "The gateway has no configuration yet.",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        if not self._state.evacuations.is_known:
            raise Leaving(
                "The gateway does not know yet which data centres are evacuated.",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        limits = catalog.limits
        size = sum(len(name) + len(value) for name, value in scope["headers"])
        if size > limits.header_bytes:
            raise HeadersTooLarge(f"The headers exceed {limits.header_bytes} bytes.")
        route = catalog.find_route(head.host, head.path)
        if route is None:
            raise NotFound("No route matches this host and path.")
        account = self._find_account(catalog, route, head)
        self._check_overload(scope, account, route, received_at)
        if not head.request_id:
            raise InvalidRequest("The request has no id.")
        if head.body_bytes > limits.body_bytes:
            raise BodyTooLarge(f"The body exceeds {limits.body_bytes} bytes.")
        wait_s = route.timeout_s
        if head.wait_limit_s is not None:
            wait_s = min(wait_s, head.wait_limit_s)
        deadline = received_at + wait_s
        self._stop.check(route, deadline, received_at)
        body = await self._read_body(receive, limits.body_bytes, deadline)
        names = [name for name, weight in route.weights.items() if weight > 0]
        service = next(
            (catalog.services[name] for name in names if name in catalog.services), None
        )
        if service is None:
            raise Overloaded(f"Route {route.name} has no service.")
        name = account.name if account else ""
        parts = head.prompt.parts if head.prompt else ()
        return GatewayRequest(
            head,
            body,
            route,
            service,
            account,
            received_at,
            deadline=deadline,
            fingerprint=fingerprint(name, head.target.decode("latin-1"), body),
            part_names=part_names([part for part, _ in parts]),
        )

    async def _read_body(self, receive, max_bytes, deadline):
        left_s = max(0.0, deadline - self._runtime.now())
        with anyio.move_on_after(left_s) as scope, self._stop.tracked(scope):
            return await read_body(receive, max_bytes)
        if self._stop.has_ended:
            raise self._stop.error(may_have_run=False)
        raise BodyTimeout("The body did not arrive by the deadline of the request.")

    def _check_overload(self, scope, account, route, received_at):
        name = account.name if account else ""
        rank = request_rank(account, route)
        wait_s = self._overload.wait_s(name, received_at, rank)
        self._load.add_decision(scope, is_refused=wait_s > 0)
        if wait_s:
            raise GatewayOverloaded(
                overload_text(self._overload), ran=NOT_RUN, retry_after_s=wait_s
            )

    def _find_account(self, catalog, route, head):
        if catalog.accounts is None or route.is_public:
            return None
        account = catalog.accounts.get(head.api_key)
        if account is None:
            raise Unauthorized("The API key is not known.")
        return account

    async def _serve(self, request, receive, writer):
        has_ended, error = False, None
        # If the caller disconnects, the group is cancelled, and with it the request at
        # its server: nobody waits for the answer any more.
        async with anyio.create_task_group() as group:
            group.start_soon(watch_disconnect, receive, group.cancel_scope)
            error = await self._run_until_deadline(request, writer)
            has_ended = True
            group.cancel_scope.cancel()
        if not has_ended:
            self._runtime.metrics.count("callers.left")
            _log.info(
                "Caller disconnected; its request is cancelled.",
                request=request.id,
                after_s=round(self._runtime.now() - request.received_at, 3),
            )
        if error is not None:
            raise error

    async def _run_until_deadline(self, request, writer):
        """Runs a request and returns its error, or None.

        The error is not raised here, as the task group of the caller would wrap it in
        an exception group.
        """
        usage = Usage()
        left_s = request.deadline - self._runtime.now()
        try:
            with (
                anyio.move_on_after(max(0.0, left_s)) as scope,
                self._stop.tracked(scope),
            ):
                await self._run(request, writer, usage)
        except PistachiowellError as error:
            return error
        if not scope.cancelled_caught:
            return None
        if self._stop.has_ended:
            return self._stop.error(may_have_run=usage.may_have_run)
        if usage.may_have_run:
            return DeadlineExceeded("The deadline of the request has passed.")
        return Overloaded(
            "The deadline of the request has passed; no server has started it."
        )

    async def _run(self, request, writer, usage):
        tokens = request.prompt.bound_tokens if request.prompt is not None else 0
        reservation = await self._spending.reserve(request.account, request.id, tokens)
        try:
            await self._dispatch.run(request, writer, usage)
        finally:
            used = usage.used_tokens(request)
            self._spending.settle(reservation, used)
            self._record_end(request, usage, used)

    def _record_end(self, request, usage, used):
        after_s = self._runtime.now() - request.received_at
        self._stop.record_duration(request.route, after_s)
        self._runtime.metrics.timing(f"requests.{request.route.kind}", after_s)
        self._runtime.metrics.count("tokens.billed", used)
        _log.info(
            "Request has ended.",
            request=request.id,
            route=request.route.name,
            account=request.account.name if request.account else None,
            events=usage.events,
            tokens=used,
            after_s=round(after_s, 3),
        )


class ReadyApp:
    """Reports to the load balancer whether this gateway accepts callers.

    Args:
        state: The ``GatewayState``.
        path: Path of the health check.
    """

    __slots__ = ("_path", "_state")

    def __init__(self, state, path):
        self._state = state
        self._path = path

    async def __call__(self, scope, receive, send):
        """Answers 200 if ready and 503 if not; 404 on any other path."""
        del receive
        if scope["type"] != "http":
            return
        status = 404
        if scope["path"] == self._path:
            status = 200 if self._state.is_ready else 503
        headers = [(b"content-length", b"0")]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b""})
