"""ASGI application of the gateway for callers."""

import anyio

from pistachiowell.core.errors import (
    DeadlineExceeded,
    InternalFault,
    Overloaded,
    PistachiowellError,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.core.loop_watch import time_limit
from pistachiowell.core.web import CallerGoneError, watch_disconnect
from pistachiowell.gateway.requests.answer_writer import AnswerWriter
from pistachiowell.gateway.requests.request_reader import RequestReader
from pistachiowell.gateway.requests.run import Usage
from pistachiowell.gateway.stops import StopRefusal

_log = part_logger("gateway")


class GatewayApp:
    """Reads requests, reserves their tokens and dispatches them.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
        codec: Codec of heads; see ``pistachiowell.platform.headers``.
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
        "_reader",
        "_runtime",
        "_spending",
        "_state",
        "_stop",
    )

    def __init__(self, runtime, state, codec, stop, spending, dispatch, load):
        self._runtime = runtime
        self._load = load
        self._stop = stop
        self._state = state
        self._codec = codec
        self._spending = spending
        self._dispatch = dispatch
        self._reader = RequestReader(runtime, state, stop, load)
        self._in_progress = 0
        runtime.metrics.watch("requests.in_progress", lambda: self._in_progress)

    async def __call__(self, scope, receive, send):
        """Handles one HTTP request."""
        if scope["type"] != "http":
            return
        received_at = self._runtime.now()
        head = self._codec.read_request_head(scope)
        writer = AnswerWriter(
            send, lambda: self._closes_connection(scope), self._runtime.now
        )
        self._in_progress += 1
        try:
            request = await self._reader.read(scope, head, receive, received_at)
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
        fields = {}
        if isinstance(error, StopRefusal):
            self._runtime.metrics.count("stop.refused")
            fields = error.fields
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
            **fields,
        )

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
                time_limit(left_s) as scope,
                self._stop.tracked(scope),
            ):
                await self._run(request, writer, usage)
        except PistachiowellError as error:
            return error
        if not scope.cancelled_caught:
            return None
        if self._stop.has_ended:
            return self._stop.end_of(request, usage)
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
            self._record_duration(request, usage, writer.started_at)
            self._record_end(request, usage, used)

    def _record_duration(self, request, usage, first_at):
        catalog = self._state.catalog
        service = catalog.services.get(usage.service) if catalog else None
        if usage.may_have_run and service is not None:
            now = self._runtime.now()
            self._stop.bounds.record(request, service, usage, first_at, now)

    def _record_end(self, request, usage, used):
        after_s = self._runtime.now() - request.received_at
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
