"""Tests of the platform's decoders with valid and arbitrary documents."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiowell.catalog import RequestKind
from pistachiowell.core.errors import RowInvalid
from pistachiowell.gateway.moves.move_orders import MoveState
from pistachiowell.platform.configuration import decode_catalog
from pistachiowell.platform.headers import read_answer_head, read_request_head
from pistachiowell.platform.moves import decode_order, encode_state
from pistachiowell.platform.servers import decode_server
from pistachiowell.platform.tests.conftest import configuration

documents = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["Service", "Address", "Zone", "State", "Version", "Routes"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


def build_scope(headers, target=b"/a/b"):
    path, _, query = target.partition(b"?")
    pairs = [(n.lower().encode(), v.encode()) for n, v in headers.items()]
    return {
        "headers": pairs,
        "raw_path": path,
        "query_string": query,
        "method": "GET",
    }


@given(st.binary(max_size=60) | documents.map(msgspec.json.encode))
def test_any_registration_is_a_server_or_none(value):
    server = decode_server("x", value)
    assert server is None or 0 < server.port < 65536


@given(st.binary(max_size=60) | documents.map(msgspec.json.encode))
def test_any_configuration_is_decoded_or_refused(value):
    try:
        decode_catalog(value)
    except RowInvalid as error:
        assert error.message


@given(st.binary(max_size=60) | documents.map(msgspec.json.encode))
def test_any_order_is_decoded_or_none(value):
    decode_order(value, value, 1)


def test_configuration_becomes_a_catalog():
    catalog = decode_catalog(msgspec.json.encode(configuration(3)))
    route = catalog.find_route("SHOP.example:80", "/chat/x")
    assert (route.name, route.kind) == ("chat", RequestKind.streaming)
    assert (route.timeout_s, route.is_resumable, route.has_prompts) == (2.0, True, True)
    assert catalog.services["pool"].engine.tokens_per_event == 5
    assert catalog.accounts["k-one"].prepaid_tokens == 100_000


def test_configuration_without_accounts_asks_for_no_keys():
    document = configuration(3)
    del document["Tenants"]
    assert decode_catalog(msgspec.json.encode(document)).accounts is None


@pytest.mark.parametrize(
    ("status", "state"),
    [
        (b"null", MoveState.ordered),
        (b'{"State":"in_progress","Target":"v2"}', MoveState.in_progress),
        (b'{"State":"completed","Target":"v1"}', MoveState.ordered),
    ],
)
def test_state_of_an_earlier_target_is_not_that_of_the_order(status, state):
    value = b'{"Service":"s","Target":"v2","DurationS":12}'
    assert decode_order(value, status, 4).state is state


def test_state_is_read_back():
    value = b'{"Service":"s","Target":"v2","DurationS":12}'
    order = decode_order(value, b"null", 4)
    status = encode_state(order, MoveState.rolled_back)
    assert decode_order(value, status, 5).state is MoveState.rolled_back


@pytest.mark.parametrize(
    ("value", "limit_s"),
    [("1500", 1.5), ("1500.5", 1.5005), (" 900 ", 0.9), ("nan", None), ("-1", None)],
)
def test_time_that_the_caller_waits_is_not_taken_for_none(value, limit_s):
    scope = build_scope({})
    scope["headers"] = [(b"pistachiowell-deadline-ms", value.encode())]
    assert read_request_head(scope).wait_limit_s == limit_s


@given(st.text(max_size=20), st.text(max_size=20), st.text(max_size=20))
def test_any_usage_deadline_and_prefix_are_read(usage, deadline, prefix):
    headers = {
        "Pistachiowell-Token-Usage": usage,
        "Pistachiowell-Deadline-Ms": deadline,
        "Pistachiowell-Prefix-Hash": prefix,
    }
    pairs = {n: v.encode().decode("latin-1") for n, v in headers.items()}
    scope = build_scope({})
    scope["headers"] = [
        (n.lower().encode(), v.encode("latin-1", "ignore")) for n, v in pairs.items()
    ]
    head = read_request_head(scope)
    assert head.wait_limit_s is None or head.wait_limit_s >= 0


def test_headers_named_by_connection_are_not_forwarded():
    head = read_request_head(
        build_scope({"Connection": "close, X-Hop", "X-Hop": "1", "X-Kept": "2"})
    )
    assert head.headers == [(b"x-kept", b"2")]


@pytest.mark.parametrize(
    ("headers", "keep_alive_s"),
    [
        ({}, None),
        ({"Keep-Alive": "timeout=10"}, 10.0),
        ({"Connection": "close", "Keep-Alive": "timeout=10"}, 0.0),
    ],
)
def test_keep_alive_of_an_answer(headers, keep_alive_s):
    pairs = [(n.encode(), v.encode()) for n, v in headers.items()]
    assert read_answer_head(200, pairs).keep_alive_s == keep_alive_s


@pytest.mark.parametrize(
    ("values", "limit_per_s", "is_unreadable"),
    [
        ([], None, False),
        ([b"1.2"], 1.2, False),
        ([b" 3 "], 3.0, False),
        ([b".5"], 0.5, False),
        ([b"0"], 0.0, False),
        ([b"9", b"2.5"], 2.5, False),
        ([b"many", b"2.5"], 2.5, False),
        ([b"999999999999"], 999_999_999_999.0, False),
        ([b"-1"], None, True),
        ([b"nan"], None, True),
        ([b"inf"], None, True),
        ([b"1e9"], None, True),
        ([b"9" * 400], None, True),
        ([b"1,2"], None, True),
        ([b""], None, True),
        ([b"many"], None, True),
    ],
)
@pytest.mark.parametrize("status", [200, 429, 500, 503])
def test_limit_of_a_server_is_read_from_any_answer(
    status, values, limit_per_s, is_unreadable
):
    pairs = [(b"Server-Limit", value) for value in values]
    head = read_answer_head(status, pairs)
    assert head.limit_per_s == limit_per_s
    assert head.has_unreadable_limit == is_unreadable
    # Callers get what the server said.
    assert [value for name, value in head.headers if name == b"server-limit"] == values


NUMBERS = st.sampled_from([b"9" * 5_000, b"-1", b"1e9", b"", b"7", b" 7 ", b"\xb2"])
ANSWER_NAMES = st.sampled_from(
    [
        b"Content-Length",
        b"Keep-Alive",
        b"Connection",
        b"Retry-After",
        b"Server-Limit",
        b"Server-Leaving",
        b"Transfer-Encoding",
        b"Pistachiowell-Attempt-Id",
        b"Pistachiowell-Instance-Id",
    ]
)
VALUES = st.binary(max_size=12) | NUMBERS | NUMBERS.map(lambda text: b"timeout=" + text)


@given(st.integers(200, 599), st.lists(st.tuples(ANSWER_NAMES, VALUES), max_size=6))
def test_any_head_of_an_answer_is_read(status, headers):
    head = read_answer_head(status, headers)
    assert head.pause_s is None or head.pause_s >= 0
    assert head.limit_per_s is None or head.limit_per_s >= 0
    assert head.length is None or head.length >= 0


@given(NUMBERS, NUMBERS, NUMBERS)
def test_any_number_in_a_request_is_read(length, tokens, part):
    headers = {
        "Content-Length": length.decode("latin-1"),
        "Pistachiowell-Token-Usage": f"{tokens.decode('latin-1')},7",
        "Pistachiowell-Prefix-Hash": f"aa:{part.decode('latin-1')}",
    }
    scope = build_scope({})
    scope["headers"] = [
        (name.lower().encode(), value.encode("latin-1"))
        for name, value in headers.items()
    ]
    head = read_request_head(scope)
    assert head.body_bytes >= 0
