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
        rows: The ``Rows`` with the table in force.
        service: The ``RequestService`` that pays for and runs requests.
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
            await self._route(scope, receive, responder)
        except PistachiowellError as error:
            await self._refuse(responder, error)
        except Exception:
            _log.exception("A request failed by a fault of the router.")
            await self._refuse(responder, InternalFault("The router met a fault."))

    async def _refuse(self, responder, error):
        self._runtime.metrics.count(f"refused.{error.code}")
        await responder.fail(error)

    async def _route(self, scope, receive, responder):
        path = scope["path"]
        if path in ("/healthz", "/readyz"):
            await self._probe(path, responder)
            return
        settings = self._runtime.settings
        headers = HeaderMap(scope["headers"], settings.max_header_bytes)
        if path in ("/status", "/events"):
            check_operator(settings, headers)
            await self._report(path, responder)
            return
        account = find_account(self._rows.table, headers)
        if path == "/v1/models":
            await self._list_models(scope, responder)
            return
        if headers.get("content-length").isdigit():
            _check_length(int(headers.get("content-length")), settings.max_body_bytes)
        body = await read_body(receive, settings.max_body_bytes)
        request = parse_request(self._rows.table, account, scope, headers, body)
        with self._counted(account, request):
            await self._serve(request, receive, responder)

    def _counted(self, account, request):
        if self._in_flight.get(account.name, 0) >= account.max_in_flight:
            error = AccountLimit(
                f"Account {account.name} has {account.max_in_flight} in progress."
            )
            raise _spoken_of_key(error, request)
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
                _spoken_of_key(error, request)
                self._runtime.events.add(
                    EventKind.request_refused
                    if error.ran == "no"
                    else EventKind.request_failed,
                    request=request.request_id,
                    account=request.account.name,
                    text=str(error),
                )
                await self._refuse(responder, error)
            group.cancel_scope.cancel()

    async def _answer(self, request, responder, abort):
        messages = self._service.run(request, abort)
        try:
            if request.stream:
                await _stream_answer(messages, responder)
            else:
                await _whole_answer(messages, responder)
        finally:
            await messages.aclose()

    async def _probe(self, path, responder):
        if path == "/healthz":
            await responder.send_json(200, {"status": "ok"})
            return
        if self._runtime.leaving:
            raise Leaving("The router is leaving.")
        if not self._rows.ready:
            raise Leaving("The router has no table yet.")
        await responder.send_json(200, {"status": "ready"})

    async def _report(self, path, responder):
        if path == "/status":
            report = dataclasses.asdict(status_report(self._runtime))
            await responder.send_json(200, report)
        else:
            events = self._runtime.events.latest(1000)
            document = {"events": [dataclasses.asdict(event) for event in events]}
            await responder.send_json(200, document)

    async def _list_models(self, scope, responder):
        if scope["method"] != "GET":
            raise MethodNotAllowed("/v1/models takes GET.")
        routes = self._rows.table.routes()
        models = [
            {"id": row.name, "object": "model", "created": 0, "owned_by": "fleet"}
            for row in routes
            if row.service == "model"
        ]
        await responder.send_json(200, {"object": "list", "data": models})


class Responder:
    """Sends one HTTP answer and knows whether it has begun.

    Args:
        send: ASGI send function.
    """

    __slots__ = ("_content_type", "_send", "_started")

    def __init__(self, send):
        self._send = send
        self._started = False
        self._content_type = ""

    async def start(self, status, content_type, headers=()):
        """Sends the status line and the headers."""
        self._started = True
        self._content_type = content_type
        pairs = [("content-type", content_type), *headers]
        encoded = [(name.encode(), value.encode("latin-1")) for name, value in pairs]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": encoded}
        )

    async def write(self, data):
        """Sends a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self):
        """Ends the body."""
        await self._send({"type": "http.response.body", "body": b""})

    async def send_whole(self, status, content_type, data, headers=()):
        """Sends a whole answer."""
        pairs = [("content-length", str(len(data))), *headers]
        await self.start(status, content_type, pairs)
        await self._send({"type": "http.response.body", "body": data})

    async def send_json(self, status, document, headers=()):
        """Sends a JSON document."""
        data = json.dumps(document).encode()
        await self.send_whole(status, "application/json", data, headers)

    async def fail(self, error):
        """Sends an error, also into an event stream that has begun.

        An answer that has begun and is no event stream ends without its last part,
        so that the caller's HTTP client sees it broken.
        """
        data = error_document(error)
        if not self._started:
            headers = [("x-request-ran", error.ran)]
            if error.retry_after_s:
                headers.append(("retry-after", str(math.ceil(error.retry_after_s))))
            await self.send_whole(error.http_status, "application/json", data, headers)
        elif self._content_type.startswith(EVENT_STREAM):
            await self.write(b"data: " + data + b"\n\n")
            await self.end()


def _spoken_of_key(error, request):
    """Lets an error speak of all requests with the key; returns the error."""
    repeatable = request.route.repeatable
    error.ran = ran_under_key(str(error.code), error.ran, repeatable)
    return error


def error_body(error):
    """Returns the OpenAI error object of an error.

    Args:
        error: A ``PistachiowellError``.

    Examples:
        >>> from pistachiowell.core.errors import Overloaded
        >>> error_body(Overloaded("Full."))["ran"]
        'no'
    """
    kind = "invalid_request_error" if error.http_status < 500 else "server_error"
    return {
        "message": f"{error.message} {error.remedy}".strip(),
        "type": kind,
        "param": None,
        "code": str(error.code),
        "ran": error.ran,
        "remedy": error.remedy,
        "retry_after_s": error.retry_after_s,
    }


def error_document(error):
    """Returns the JSON body of an error's HTTP answer as bytes."""
    return json.dumps({"error": error_body(error)}).encode()


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


def _check_length(length, max_bytes):
    if length > max_bytes:
        raise BodyTooLarge(f"The body exceeds {max_bytes} bytes.")


async def _stream_answer(messages, responder):
    async for message in messages:
        if isinstance(message, AnswerStart):
            await responder.start(message.status, message.content_type)
        elif isinstance(message, AnswerChunk):
            await responder.write(message.data)
        elif isinstance(message, AnswerEnd):
            await responder.end()


async def _whole_answer(messages, responder):
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
        raise AnswerBroken("The answer did not come whole.")
    await responder.send_whole(start.status, start.content_type, b"".join(parts))
