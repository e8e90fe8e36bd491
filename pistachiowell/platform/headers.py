"""Headers of requests and answers in the platform's spelling."""

from pistachiowell.gateway.messages import AnswerHead, Prompt, RequestHead

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
API_KEY = b"api-key"
LAST_EVENT_ID = b"last-event-id"
NOT_RUN_STATUS = 421

# A server runs requests without a priority at this one; lower ones go first.
DEFAULT_PRIORITY = 5
MAX_PRIORITY = 9

_HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection"
    b" te trailer transfer-encoding upgrade expect content-length".split()
)
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
    dropped = _HOP_BY_HOP | _SET_BY_ROUTERS | _named_by_connection(values)
    return RequestHead(
        request_id=_text(values, REQUEST_ID),
        method=scope["method"],
        target=target,
        host=_text(values, b"host"),
        path=scope["raw_path"].decode("latin-1"),
        api_key=_text(values, API_KEY),
        wait_limit_s=_milliseconds(values.get(DEADLINE)),
        prompt=_prompt(values),
        last_event_id=_text(values, LAST_EVENT_ID),
        body_bytes=_length(values),
        headers=[pair for pair in headers if pair[0] not in dropped],
    )


def server_headers(request, server, left_s, *, last_event_id=None):
    """Returns the headers of a request as a backend server gets them.

    Args:
        request: The ``GatewayRequest``.
        server: The ``BackendServer``.
        left_s: Seconds after which the server shall stop.
        last_event_id: Id after which a stream goes on; None to leave what the caller
            sent.
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
        rank = min(MAX_PRIORITY, DEFAULT_PRIORITY + request.priority)
        headers.append((PRIORITY, b"%d" % rank))
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
    dropped = _HOP_BY_HOP | _named_by_connection(values)
    length = values.get(b"content-length")
    return AnswerHead(
        status=status,
        request_id=_text(values, REQUEST_ID),
        is_signed=SIGNATURE in values,
        ran=NOT_RUN not in values and status != NOT_RUN_STATUS,
        is_encoded=b"content-encoding" in values,
        keep_alive_s=_keep_alive_s(values),
        length=int(length) if length is not None and length.isdigit() else None,
        headers=[(n.lower(), v) for n, v in headers if n.lower() not in dropped],
    )


def _text(values, name):
    return values.get(name, b"").decode("latin-1")


def _named_by_connection(values):
    names = values.get(b"connection", b"").lower().split(b",")
    return frozenset(name.strip() for name in names) - {REQUEST_ID, b"host"}


def _milliseconds(value):
    if value is None or not value.isdigit():
        return None
    return int(value) / 1000


def _length(values):
    value = values.get(b"content-length", b"")
    return int(value) if value.isdigit() else 0


def _prompt(values):
    usage = values.get(TOKEN_USAGE)
    if usage is None:
        return None
    prompt_tokens, _, output_tokens = usage.partition(b",")
    if not prompt_tokens.isdigit() or not output_tokens.strip().isdigit():
        return None
    parts = []
    for item in values.get(PREFIX, b"").split(b","):
        part_id, _, tokens = item.strip().partition(b":")
        if part_id and tokens.isdigit():
            parts.append((part_id.decode("latin-1"), int(tokens)))
    return Prompt(int(prompt_tokens), int(output_tokens), tuple(parts))


def _keep_alive_s(values):
    """Returns for how long the server keeps the connection; None if it is not told."""
    tokens = [t.strip().lower() for t in values.get(b"connection", b"").split(b",")]
    if b"close" in tokens:
        return 0.0
    for item in values.get(b"keep-alive", b"").split(b","):
        name, _, value = item.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
