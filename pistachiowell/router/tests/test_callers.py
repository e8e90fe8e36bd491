"""Tests of the validation of callers' requests."""

import hashlib
import json

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiowell.core.errors import (
    BodyTooLarge,
    HeadersTooLarge,
    IdempotencyKeyRequired,
    InvalidRequest,
    MethodNotAllowed,
    NotFound,
    PistachiowellError,
    Unauthorized,
)
from pistachiowell.router.callers import (
    CHAT_PATH,
    CallerRequest,
    HeaderMap,
    find_account,
    parse_request,
    read_body,
)
from pistachiowell.schema.generated.table import AccountRow, RouteRow

KEY_HASH = hashlib.sha256(b"secret").hexdigest()
ACCOUNT = AccountRow(kind="account", name="shop", key_hashes=[KEY_HASH])
ROUTES = {
    "chat": RouteRow("route", "chat", "model", {"v1": 1.0}, max_answer_tokens=50),
    "stock": RouteRow("route", "stock", "plain", {"s1": 1.0}, repeatable=False),
}
MESSAGES = [{"role": "user", "content": "a belt"}]


class FakeTable:
    def route(self, name):
        return ROUTES.get(name)

    def account_of_key(self, digest):
        return ACCOUNT if digest == KEY_HASH else None


def parse(document, path=CHAT_PATH, method="POST", headers=()):
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    scope = {"path": path, "method": method}
    return parse_request(FakeTable(), ACCOUNT, scope, HeaderMap(headers, 1000), body)


def test_bound_covers_prompt_bytes_and_largest_answer():
    document = {"model": "chat", "messages": MESSAGES, "max_tokens": 7}
    request = parse(document)
    assert request.answer_tokens == 7
    assert request.bound_tokens == len(json.dumps(document)) + 7


@pytest.mark.parametrize(
    ("change", "error"),
    [
        ({"model": None}, InvalidRequest),
        ({"model": "none"}, NotFound),
        ({"model": "stock"}, NotFound),
        ({"messages": []}, InvalidRequest),
        ({"messages": [3]}, InvalidRequest),
        ({"max_tokens": 10**30}, InvalidRequest),
        ({"max_tokens": 0}, InvalidRequest),
        ({"max_tokens": True}, InvalidRequest),
        ({"stream": "yes"}, InvalidRequest),
        ({"stream_options": 1}, InvalidRequest),
        ({"n": 2}, InvalidRequest),
    ],
)
def test_wrong_fields_are_refused(change, error):
    with pytest.raises(error):
        parse({"model": "chat", "messages": MESSAGES, **change})


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff", b"[" * 100_000])
def test_bodies_that_are_no_object_are_refused(body):
    with pytest.raises(InvalidRequest):
        parse(body)


def test_wrong_path_and_method_are_refused():
    with pytest.raises(NotFound):
        parse({}, path="/v2")
    with pytest.raises(NotFound):
        parse(b"", path="/services/chat/x")
    with pytest.raises(MethodNotAllowed):
        parse({}, method="GET")


def test_call_that_may_run_once_needs_a_key():
    with pytest.raises(IdempotencyKeyRequired):
        parse(b"", path="/services/stock/reserve")
    headers = [(b"Idempotency-Key", b"k1")]
    first = parse(b"", path="/services/stock/reserve", headers=headers)
    second = parse(b"x", path="/services/stock/reserve", headers=headers)
    assert first.request_id == second.request_id
    assert first.path == "/reserve"


def test_unknown_api_key_is_refused():
    assert find_account(
        FakeTable(), HeaderMap([(b"authorization", b"Bearer secret")], 1000)
    ) is (ACCOUNT)
    for value in (b"Bearer wrong", b"Basic secret", b"", b"Bearer \xff"):
        with pytest.raises(Unauthorized):
            find_account(FakeTable(), HeaderMap([(b"authorization", value)], 1000))


def test_large_headers_and_bodies_are_refused():
    with pytest.raises(HeadersTooLarge):
        HeaderMap([(b"a", b"b" * 1000)], 1000)
    events = [{"type": "http.request", "body": b"x" * 60, "more_body": True}] * 3

    async def receive():
        return events.pop()

    with pytest.raises(BodyTooLarge):
        anyio.run(read_body, receive, 100)
    assert len(events) == 1


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=5,
)
fields = st.sampled_from(
    ["model", "messages", "max_tokens", "stream", "stream_options", "n", "prompt"]
)


@given(st.dictionaries(fields, json_values), st.booleans())
def test_any_document_is_parsed_or_refused(changes, complete):
    base = {"model": "chat", "messages": MESSAGES} if complete else {}
    try:
        request = parse({**base, **changes})
    except PistachiowellError as error:
        assert 400 <= error.http_status < 500
    else:
        assert isinstance(request, CallerRequest)
        assert 1 <= request.answer_tokens <= 50
