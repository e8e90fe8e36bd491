"""Decodes and builds the headers of requests and answers on the platform.

Headers that only routers may set are removed from callers' requests, so that a caller
cannot name another account, server or priority. Headers that apply to one connection
are removed in both directions.
"""

import re

from pistachiowell.gateway.data import AnswerHead, Prompt, RequestHead

READY_PATH = "/pistachiowell/readyz"

REQUEST_ID = b"pistachiowell-attempt-id"
DEADLINE = b"pistachiowell-deadline-ms"
TOKEN_USAGE = b"pistachiowell-token-usage"
PREFIX = b"pistachiowell-prefix-hash"
SIGNATURE = b"pistachiowell-server-signature"
NOT_RUN = b"pistachiowell-not-executed"
ACCOUNT = b"pistachiowell-tenant"
SERVER_ID = b"pistachiowell-expected-instance"
PRIORITY = b"pistachiowell-request-priority"
HEALTHY_ID = b"pistachiowell-instance-id"
API_KEY = b"api-key"
LAST_EVENT_ID = b"last-event-id"
LIMIT = b"server-limit"
LEAVING = b"server-leaving"
DELAY = b"retry-after"
COLD = b"pistachiowell-cold-ms"
BUSY_STATUS = 503
NOT_RUN_STATUS = 421
FIRST_ERROR_STATUS = 400

# Priority that a server assumes for requests without one; a lower number goes first.
DEFAULT_PRIORITY = 5
MAX_PRIORITY = 9
MAX_MILLISECONDS = 10**12
# Longer numbers are no counts of bytes or tokens, and slow to convert.
MAX_COUNT_DIGITS = 15

# More digits would be no rate of a server.
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")
_HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection"
    b" te trailer transfer-encoding upgrade expect content-length".split()
)
# A header of this kind is for the caller or the server, whatever ``Connection`` names.
_END_TO_END = frozenset({REQUEST_ID, SIGNATURE, b"host"})
_SET_BY_ROUTERS = frozenset(
    {
        ACCOUNT,
        API_KEY,
        DEADLINE,
        NOT_RUN,
        PRIORITY,
        SERVER_ID,
        b"kv-fetch",
        b"kv-from",
        b"pistachiowell-expected-version",
        b"pistachiowell-kv-backup",
        b"pistachiowell-kv-hold",
        b"pistachiowell-pin-ms",
    }
)


def read_request_head(scope):
    """Decodes the head of a caller's request.

    Args:
        scope: The ASGI scope.

    Returns:
        A ``RequestHead``.
    """
    headers = scope["headers"]
    values = {}
    for name, value in headers:
        values.setdefault(name, value)
    query = scope["query_string"]
    target = scope["raw_path"] + (b"?" + query if query else b"")
    dropped = _HOP_BY_HOP | _SET_BY_ROUTERS | _connection_headers(headers)
    return RequestHead(
        request_id=_text(values, REQUEST_ID),
        method=scope["method"],
        target=target,
        host=_text(values, b"host"),
        path=scope["raw_path"].decode("latin-1"),
        api_key=_text(values, API_KEY),
        wait_limit_s=_parse_milliseconds(values.get(DEADLINE)),
        prompt=_parse_prompt(values),
        last_event_id=_text(values, LAST_EVENT_ID),
        body_bytes=_body_length(values),
        headers=[pair for pair in headers if pair[0] not in dropped],
    )


def server_headers(request, server, left_s, *, last_event_id=None):
    """Returns the headers to send to a backend server as pairs of bytes.

    Args:
        request: The ``GatewayRequest``.
        server: The ``BackendServer``.
        left_s: Seconds until the deadline, at which the server stops the request.
        last_event_id: Id of the event after which the stream is resumed; None to keep
            the value that the caller sent.
    """
    headers = list(request.head.headers)
    if last_event_id is not None:
        headers = [pair for pair in headers if pair[0] != LAST_EVENT_ID]
        headers.append((LAST_EVENT_ID, last_event_id.encode("latin-1")))
    headers.append((DEADLINE, b"%d" % max(1, int(left_s * 1000))))
    headers.append((SERVER_ID, server.id.encode("latin-1")))
    if request.account is not None:
        headers.append((ACCOUNT, request.account.name.encode("latin-1")))
    if request.route.has_prompts:
        priority = min(MAX_PRIORITY, DEFAULT_PRIORITY + request.rank)
        headers.append((PRIORITY, b"%d" % priority))
    if request.body or request.head.method not in ("GET", "HEAD", "DELETE"):
        headers.append((b"content-length", b"%d" % len(request.body)))
    return headers


def read_answer_head(status, headers):
    """Decodes the head of a backend server's answer.

    Args:
        status: HTTP status.
        headers: Pairs of bytes.

    Returns:
        An ``AnswerHead``.
    """
    values = {}
    for name, value in headers:
        values.setdefault(name.lower(), value)
    dropped = _HOP_BY_HOP | _connection_headers(headers)
    length = values.get(b"content-length")
    ids, signatures = _values(headers, REQUEST_ID), _values(headers, SIGNATURE)
    is_refusal = NOT_RUN in values or status == NOT_RUN_STATUS
    is_contradictory = max(len(ids), len(signatures)) > 1 or (
        is_refusal and status < FIRST_ERROR_STATUS
    )
    named = [value for name, value in headers if name.lower() == LIMIT]
    limits = [float(value) for value in named if _DECIMAL.fullmatch(value.strip())]
    delays = [v for n, v in headers if status == BUSY_STATUS and n.lower() == DELAY]
    cold_times = [value for name, value in headers if name.lower() == COLD]
    cold_ms = [_parse_milliseconds(v) for v in cold_times if _DECIMAL.fullmatch(v)]
    pauses = [float(value) for value in delays if _DECIMAL.fullmatch(value.strip())]
    return AnswerHead(
        status=status,
        request_id=b", ".join(ids).decode("latin-1"),
        is_signed=any(signatures),
        ran=is_contradictory or not is_refusal,
        is_encoded=b"content-encoding" in values,
        keep_alive_s=_parse_keep_alive_s(headers),
        length=_parse_count(length or b""),
        is_chunked=b"chunked" in values.get(b"transfer-encoding", b"").lower(),
        headers=[(n.lower(), v) for n, v in headers if n.lower() not in dropped],
        limit_per_s=min(limits, default=None),
        has_unreadable_limit=bool(named) and not limits,
        is_leaving=values.get(LEAVING, b"").strip() == b"1",
        pause_s=max(pauses, default=None),
        has_unreadable_pause=bool(delays) and not pauses,
        server_id=_text(values, HEALTHY_ID),
        cold_left_s=max((s for s in cold_ms if s is not None), default=None),
        has_unreadable_cold_time=len(cold_ms) < len(cold_times),
        is_contradictory=is_contradictory,
    )


def _text(values, name):
    return values.get(name, b"").decode("latin-1")


def _values(headers, name):
    """Returns the values of the headers with a name."""
    return [value.strip() for key, value in headers if key.lower() == name]


def _items(headers, name):
    """Returns the items of the lists in the headers with a name, in lower case."""
    lists = b",".join(_values(headers, name)).lower()
    return [item.strip() for item in lists.split(b",")]


def _connection_headers(headers):
    return frozenset(_items(headers, b"connection")) - _END_TO_END


def _parse_milliseconds(value):
    try:
        milliseconds = float(value or b"nan")
    except ValueError:
        return None
    is_proper = 0 <= milliseconds <= MAX_MILLISECONDS
    return milliseconds / 1000 if is_proper else None


def _body_length(values):
    value = values.get(b"content-length", b"").strip()
    if value.isdigit() and len(value) > MAX_COUNT_DIGITS:
        return 10**MAX_COUNT_DIGITS
    return _parse_count(value) or 0


def _parse_count(value):
    """Returns a number of digits as an integer; None if it is no such number."""
    value = value.strip()
    is_count = value.isdigit() and len(value) <= MAX_COUNT_DIGITS
    return int(value) if is_count else None


def _parse_prompt(values):
    usage = values.get(TOKEN_USAGE)
    if usage is None:
        return None
    prompt_tokens, output_tokens = map(_parse_count, usage.partition(b",")[::2])
    if prompt_tokens is None or output_tokens is None:
        return None
    parts = []
    for item in values.get(PREFIX, b"").split(b","):
        part_id, _, tokens = item.strip().partition(b":")
        tokens = _parse_count(tokens)
        if part_id and tokens is not None:
            parts.append((part_id.decode("latin-1"), tokens))
    return Prompt(prompt_tokens, output_tokens, tuple(parts))


def _parse_keep_alive_s(headers):
    """Returns how long the server keeps the connection open; None if not announced."""
    if b"close" in _items(headers, b"connection"):
        return 0.0
    for item in _items(headers, b"keep-alive"):
        name, _, value = item.partition(b"=")
        if name == b"timeout" and _parse_count(value) is not None:
            return float(_parse_count(value))
    return None
