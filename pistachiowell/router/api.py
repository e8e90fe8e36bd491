"""The HTTP API for callers, and the probe endpoints."""

import dataclasses
import json
import math

import anyio

from pistachiowell.claims.outcome import ran_under_key
from pistachiowell.core.errors import (
    AccountLimit,
    AnswerBroken,
    BodyTooLarge,
    InternalFault,
    Leaving,
    MethodNotAllowed,
    PistachiowellError,
)
from pistachiowell.core.events import EventKind
from pistachiowell.core.logs import part_logger
from pistachiowell.core.web import watch_disconnect
from pistachiowell.router.callers import (
    HeaderMap,
    check_operator,
    find_account,
    parse_request,
    read_body,
)
from pistachiowell.router.error_documents import error_document
from pistachiowell.schema.generated.messages_requests import (
    AnswerChunk,
    AnswerEnd,
    AnswerStart,
)
from pistachiowell.wire.status import status_report

EVENT_STREAM = "text/event-stream"

_log = part_logger("api")


class Api:
    """ASGI application of the router.

    Args:
        runtime: The process's ``Runtime``.
        rows: The ``Rows`` with the current table.
        service: The ``RequestService`` that runs and bills requests.
    """

    __slots__ = ("_in_flight", "_rows", "_runtime", "_service")

    def __init__(self, runtime, rows, service):
        self._runtime = runtime
        self._rows = rows
        self._service = service
        self._in_flight = {}
        runtime.metrics.watch(
            "requests.in_progress", lambda: sum(self._in_flight.values())
        )

    async def __call__(self, scope, receive, send):
        """Handles one HTTP request."""
        if scope["type"] != "http":
            return
        responder = Responder(send)
        try:
            await self._handle_request(scope, receive, responder)
        except PistachiowellError as error:
            await self._send_error(responder, error)
        except Exception:
            _log.exception("A request failed because of an unexpected error.")
            await self._send_error(
                responder, InternalFault("The router met an unexpected error.")
            )

    async def _send_error(self, responder, error):
        self._runtime.metrics.count(f"refused.{error.code}")
        await responder.send_error(error)

    async def _handle_request(self, scope, receive, responder):
        path = scope["path"]
        if path in ("/healthz", "/readyz"):
            await self._handle_probe(path, responder)
            return
        settings = self._runtime.settings
        headers = HeaderMap(scope["headers"], settings.max_header_bytes)
        if path in ("/status", "/events"):
            check_operator(settings, headers)
            await self._handle_operator_query(path, responder)
            return
        account = find_account(self._rows.table, headers)
        if path == "/v1/models":
            await self._list_models(scope, responder)
            return
        if headers.get("content-length").isdigit():
            _check_body_length(
                int(headers.get("content-length")), settings.max_body_bytes
            )
        body = await read_body(receive, settings.max_body_bytes)
        request = parse_request(self._rows.table, account, scope, headers, body)
        with self._limit_in_flight(account, request):
            await self._serve(request, receive, responder)

    def _limit_in_flight(self, account, request):
        if self._in_flight.get(account.name, 0) >= account.max_in_flight:
            error = AccountLimit(
                f"Account {account.name} has {account.max_in_flight} requests in "
                "progress."
            )
            raise _with_ran_under_key(error, request)
        return _InFlight(self._in_flight, account.name)

    async def _serve(self, request, receive, responder):
        self._runtime.events.add(
            EventKind.request_received,
            request=request.request_id,
            account=request.account.name,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(watch_disconnect, receive, group.cancel_scope)
            try:
                await self._answer(request, responder, group.cancel_scope.cancel)
            except PistachiowellError as error:
                _with_ran_under_key(error, request)
                self._runtime.events.add(
                    EventKind.request_refused
                    if error.ran == "no"
                    else EventKind.request_failed,
                    request=request.request_id,
                    account=request.account.name,
                    text=str(error),
                )
                await self._send_error(responder, error)
            group.cancel_scope.cancel()

    async def _answer(self, request, responder, abort):
        messages = self._service.run(request, abort)
        try:
            if request.stream:
                await _send_stream(messages, responder)
            else:
                await _send_complete_answer(messages, responder)
        finally:
            await messages.aclose()

    async def _handle_probe(self, path, responder):
        if path == "/healthz":
            await responder.send_json(200, {"status": "ok"})
            return
        if self._runtime.leaving:
            raise Leaving("The router is shutting down.")
        if not self._rows.ready:
            raise Leaving("The router has not loaded its table yet.")
        await responder.send_json(200, {"status": "ready"})

    async def _handle_operator_query(self, path, responder):
        if path == "/status":
            report = dataclasses.asdict(status_report(self._runtime))
            await responder.send_json(200, report)
        else:
            events = self._runtime.events.latest(1000)
            document = {"events": [dataclasses.asdict(event) for event in events]}
            await responder.send_json(200, document)

    async def _list_models(self, scope, responder):
        if scope["method"] != "GET":
            raise MethodNotAllowed("/v1/models accepts only GET.")
        routes = self._rows.table.routes()
        models = [
            {"id": row.name, "object": "model", "created": 0, "owned_by": "fleet"}
            for row in routes
            if row.service == "model"
        ]
        await responder.send_json(200, {"object": "list", "data": models})


class Responder:
    """Sends one HTTP answer and records whether it has started.

    Args:
        send: ASGI send function.
    """

    __slots__ = ("_content_type", "_has_started", "_send")

    def __init__(self, send):
        self._send = send
        self._has_started = False
        self._content_type = ""

    async def start(self, status, content_type, headers=()):
        """Sends the status line and the headers."""
        self._has_started = True
        self._content_type = content_type
        pairs = [("content-type", content_type), *headers]
        encoded = [(name.encode(), value.encode("latin-1")) for name, value in pairs]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": encoded}
        )

    async def send_chunk(self, data):
        """Sends a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self):
        """Finishes the body."""
        await self._send({"type": "http.response.body", "body": b""})

    async def send_complete(self, status, content_type, data, headers=()):
        """Sends a complete answer with its length."""
        pairs = [("content-length", str(len(data))), *headers]
        await self.start(status, content_type, pairs)
        await self._send({"type": "http.response.body", "body": data})

    async def send_json(self, status, document, headers=()):
        """Sends a JSON document."""
        data = json.dumps(document).encode()
        await self.send_complete(status, "application/json", data, headers)

    async def send_error(self, error):
        """Sends an error, as an answer or as an event of a stream that has started.

        Any other answer that has started stays unfinished, so that the caller's HTTP
        client reports a truncated body and not a complete answer.

        Args:
            error: The ``PistachiowellError``.
        """
        data = error_document(error)
        if not self._has_started:
            headers = [("x-request-ran", error.ran)]
            if error.retry_after_s:
                headers.append(("retry-after", str(math.ceil(error.retry_after_s))))
            await self.send_complete(
                error.http_status, "application/json", data, headers
            )
        elif self._content_type.startswith(EVENT_STREAM):
            await self.send_chunk(b"data: " + data + b"\n\n")
            await self.finish()


def _with_ran_under_key(error, request):
    """Sets ``ran`` of an error for all requests with its key; returns the error.

    A refusal says that this request did not run. An earlier request with the same
    idempotency key may have run, so a repeat is not known to be safe.
    """
    repeatable = request.route.repeatable
    error.ran = ran_under_key(str(error.code), error.ran, repeatable)
    return error


class _InFlight:
    __slots__ = ("_counts", "_name")

    def __init__(self, counts, name):
        self._counts = counts
        self._name = name

    def __enter__(self):
        self._counts[self._name] = self._counts.get(self._name, 0) + 1

    def __exit__(self, *exc_info):
        self._counts[self._name] -= 1
        if not self._counts[self._name]:
            del self._counts[self._name]


def _check_body_length(length, max_bytes):
    if length > max_bytes:
        raise BodyTooLarge(f"The body exceeds {max_bytes} bytes.")


async def _send_stream(messages, responder):
    async for message in messages:
        if isinstance(message, AnswerStart):
            await responder.start(message.status, message.content_type)
        elif isinstance(message, AnswerChunk):
            await responder.send_chunk(message.data)
        elif isinstance(message, AnswerEnd):
            await responder.finish()


async def _send_complete_answer(messages, responder):
    start = None
    parts = []
    end = None
    async for message in messages:
        if isinstance(message, AnswerStart):
            start = message
        elif isinstance(message, AnswerChunk):
            parts.append(message.data)
        elif isinstance(message, AnswerEnd):
            end = message
    if start is None or end is None:
        raise AnswerBroken("The answer is incomplete.")
    await responder.send_complete(start.status, start.content_type, b"".join(parts))
