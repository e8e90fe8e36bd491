"""Tests of the HTTP API as an ASGI application, without a network."""

import hashlib
import json
from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.core.errors import AnswerBroken, Overloaded
from pistachiowell.core.runtime import Runtime
from pistachiowell.router.api import Api
from pistachiowell.schema.generated.messages_requests import (
    AnswerChunk,
    AnswerEnd,
    AnswerStart,
)
from pistachiowell.schema.generated.settings import RouterSettings
from pistachiowell.schema.generated.table import AccountRow, RouteRow
from pistachiowell.store import MemoryStore

KEY_HASH = hashlib.sha256(b"secret").hexdigest()
EVENT_STREAM = "text/event-stream"


class FakeTable:
    def route(self, name):
        return RouteRow("route", name, "model", {"v": 1.0}) if name == "chat" else None

    def routes(self):
        return [self.route("chat")]

    def account_of_key(self, digest):
        row = AccountRow("account", "shop", [KEY_HASH], max_in_flight=1)
        return row if digest == KEY_HASH else None


class FakeService:
    """Service that yields the messages of ``script``.

    An exception in the list is raised, and None blocks until cancelled.
    """

    def __init__(self):
        self.script = []
        self.closed = False

    async def run(self, caller, abort=None):
        try:
            for step in self.script:
                if isinstance(step, Exception):
                    raise step
                if step is None:
                    await anyio.sleep_forever()
                yield step
        finally:
            self.closed = True


class Exchange:
    """One HTTP request to the application and its answer."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.ended = False
        self.disconnect = anyio.Event()

    async def run(self, app, method, path, body, headers):
        sent = iter([{"type": "http.request", "body": body, "more_body": False}])

        async def receive():
            for event in sent:
                return event
            await self.disconnect.wait()
            return {"type": "http.disconnect"}

        async def send(event):
            if event["type"] == "http.response.start":
                self.status = event["status"]
                self.headers = dict(event["headers"])
            else:
                self.body += event["body"]
                self.ended = not event.get("more_body", False)

        scope = {"type": "http", "method": method, "path": path, "headers": headers}
        await app(scope, receive, send)


@pytest.fixture
def service():
    return FakeService()


@pytest.fixture
def runtime():
    settings = RouterSettings(
        "r1",
        "gh",
        "osu",
        "127.0.0.1",
        1,
        "127.0.0.1",
        2,
        "http://x",
        max_body_bytes=2000,
        operator_key_hashes=[hashlib.sha256(b"operator").hexdigest()],
    )
    return Runtime("router", settings, MemoryStore())


@pytest.fixture
def app(runtime, service):
    rows = SimpleNamespace(table=FakeTable(), ready=True)
    return Api(runtime, rows, service)


def send_request(
    app, path="/v1/chat/completions", method="POST", key=b"secret", **document
):
    exchange = Exchange()
    fields = {"model": "chat", "messages": [{"role": "user", "content": "a"}]}
    body = json.dumps({**fields, **document}).encode()
    headers = [(b"authorization", b"Bearer " + key)]
    anyio.run(exchange.run, app, method, path, body, headers)
    return exchange


def answer(content_type="application/json"):
    return [
        AnswerStart("q", 1, 200, content_type),
        AnswerChunk("q", 1, 0, b"ab"),
        AnswerEnd("q", 1, 2),
    ]


def error_of(exchange):
    return json.loads(exchange.body.removeprefix(b"data: "))["error"]


def test_whole_answer_has_its_length(app, service):
    service.script = answer()
    exchange = send_request(app)
    assert (exchange.status, exchange.body, exchange.ended) == (200, b"ab", True)
    assert exchange.headers[b"content-length"] == b"2"


def test_broken_whole_answer_becomes_an_error(app, service):
    service.script = [*answer()[:2], AnswerBroken("Lost.")]
    exchange = send_request(app)
    assert exchange.status == 502
    assert error_of(exchange)["code"] == "answer_broken"
    assert error_of(exchange)["ran"] == "unknown"


def test_broken_stream_ends_with_an_error_event(app, service):
    service.script = [*answer(EVENT_STREAM)[:1], AnswerBroken("Lost.")]
    exchange = send_request(app, stream=True)
    assert exchange.status == 200
    assert exchange.ended
    assert error_of(exchange)["code"] == "answer_broken"


def test_refusal_has_a_retry_after_header(app, service):
    service.script = [Overloaded("Full.", retry_after_s=3.2)]
    exchange = send_request(app)
    assert exchange.status == 503
    assert exchange.headers[b"retry-after"] == b"4"
    assert error_of(exchange)["ran"] == "no"


def test_fault_of_the_router_is_no_traceback(app, service):
    service.script = [ZeroDivisionError()]
    exchange = send_request(app)
    assert exchange.status == 500
    assert error_of(exchange)["code"] == "internal_fault"
    assert error_of(exchange)["ran"] == "unknown"


def test_disconnect_closes_the_request(app, service):
    service.script = [*answer(EVENT_STREAM)[:1], None]
    exchange = Exchange()

    async def run():
        async with anyio.create_task_group() as group:
            body = json.dumps(
                {"model": "chat", "messages": [{"role": "user"}], "stream": True}
            ).encode()
            headers = [(b"authorization", b"Bearer secret")]
            path = "/v1/chat/completions"
            group.start_soon(exchange.run, app, "POST", path, body, headers)
            while exchange.status is None:
                await anyio.sleep(0)
            second = Exchange()
            await second.run(app, "POST", path, body, headers)
            assert second.status == 429
            assert error_of(second)["code"] == "account_limit"
            exchange.disconnect.set()

    anyio.run(run)
    assert service.closed
    service.script = answer()
    assert send_request(app).status == 200


@pytest.mark.parametrize(
    ("fields", "status", "code"),
    [
        ({"key": b"wrong"}, 401, "unauthorized"),
        ({"path": "/status"}, 401, "unauthorized"),
        ({"path": "/events"}, 401, "unauthorized"),
        ({"method": "GET"}, 405, "method_not_allowed"),
        ({"path": "/v1/models", "method": "POST"}, 405, "method_not_allowed"),
        ({"path": "/v1/nothing"}, 404, "not_found"),
        ({"model": "other"}, 404, "not_found"),
        ({"messages": "x" * 2000}, 413, "body_too_large"),
        ({"key": b"x" * 20000}, 431, "headers_too_large"),
        ({"max_tokens": "many"}, 400, "invalid_request"),
    ],
)
def test_wrong_requests_get_their_code(app, fields, status, code):
    exchange = send_request(app, **fields)
    assert exchange.status == status
    assert error_of(exchange)["code"] == code
    assert error_of(exchange)["remedy"]


def test_probes_report_readiness(app, runtime):
    assert send_request(app, path="/healthz").status == 200
    assert send_request(app, path="/readyz").status == 200
    assert (
        json.loads(send_request(app, path="/status", key=b"operator").body)["id"]
        == "r1"
    )
    assert json.loads(send_request(app, path="/events", key=b"operator").body)["events"]
    runtime.start_leaving()
    assert error_of(send_request(app, path="/readyz"))["code"] == "leaving"
