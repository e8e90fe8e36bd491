"""What a caller has sent: checked requests of the HTTP API."""

import hashlib
import json
from dataclasses import dataclass

from pistachiowell.core import web
from pistachiowell.core.errors import (
    HeadersTooLarge,
    IdempotencyKeyRequired,
    InvalidRequest,
    MethodNotAllowed,
    NotFound,
    Unauthorized,
)
from pistachiowell.core.ids import new_id

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
SERVICES_PREFIX = "/services/"
MAX_KEY_CHARACTERS = 200
TOKENS_PER_BODY_BYTE = 1


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A checked request, not yet paid for.

    Attributes:
        request_id: Id of the request; the same for a repeat with the same
            idempotency key.
        account: The ``AccountRow``.
        route: The ``RouteRow``.
        method: HTTP method.
        path: Path at the backend server.
        body: Mapping for a model; bytes for a plain service.
        content_type: Content type of the body.
        idempotency_key: The caller's key or an empty string.
        stream: Whether the caller asked for server-sent events.
        answer_tokens: Largest answer in tokens; 0 for a plain service.
        bound_tokens: Upper bound of the price in tokens.
    """

    request_id: str
    account: object
    route: object
    method: str
    path: str
    body: object
    content_type: str
    idempotency_key: str
    stream: bool
    answer_tokens: int
    bound_tokens: int

    @property
    def include_usage(self):
        """Whether the caller wants the usage in the answer."""
        if not self.stream:
            return True
        options = self.body.get("stream_options") or {}
        return bool(options.get("include_usage"))


class HeaderMap:
    """Request headers by lower-case name.

    Args:
        pairs: Pairs of bytes, as ASGI gives them.
        max_bytes: Bound of their total size.

    Raises:
        HeadersTooLarge: They exceed the bound.
    """

    __slots__ = ("_values",)

    def __init__(self, pairs, max_bytes):
        if sum(len(name) + len(value) for name, value in pairs) > max_bytes:
            raise HeadersTooLarge(f"The headers exceed {max_bytes} bytes.")
        self._values = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in pairs
        }

    def get(self, name):
        """Returns a header's value or an empty string."""
        return self._values.get(name, "")


def find_account(table, headers):
    """Finds the client account of an API key.

    Args:
        table: The table in force.
        headers: A ``HeaderMap``.

    Returns:
        The ``AccountRow``.

    Raises:
        Unauthorized: There is no such key.
    """
    account = table.account_of_key(_key_hash(headers))
    if account is None:
        raise Unauthorized("The API key is not known.")
    return account


def check_operator(settings, headers):
    """Checks that a request bears an operator's key.

    Args:
        settings: Settings with ``operator_key_hashes``.
        headers: A ``HeaderMap``.

    Raises:
        Unauthorized: The key is not one of an operator.
    """
    if _key_hash(headers) not in settings.operator_key_hashes:
        raise Unauthorized("The key is not one of an operator.")


def _key_hash(headers):
    scheme, _, key = headers.get("authorization").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise Unauthorized("No API key was sent.")
    return hashlib.sha256(key.strip().encode("latin-1")).hexdigest()


async def read_body(receive, max_bytes):
    """Reads the whole body.

    Args:
        receive: ASGI receive function.
        max_bytes: Bound of the body's size.

    Raises:
        BodyTooLarge: The body exceeds the bound; it is not kept.
        InvalidRequest: The caller has left before its end.
    """
    try:
        return await web.read_body(receive, max_bytes)
    except web.CallerGoneError as error:
        text = "The caller has left before the end of the body."
        raise InvalidRequest(text) from error


def parse_request(table, account, scope, headers, body):
    """Checks a request against the API and the table.

    Args:
        table: The table in force.
        account: The caller's ``AccountRow``.
        scope: ASGI scope.
        headers: A ``HeaderMap``.
        body: The whole body as bytes.

    Returns:
        A ``CallerRequest``.

    Raises:
        PistachiowellError: With a 4xx status, if anything is wrong.
    """
    key = headers.get("idempotency-key")
    if len(key) > MAX_KEY_CHARACTERS:
        raise InvalidRequest(
            f"The idempotency key exceeds {MAX_KEY_CHARACTERS} characters."
        )
    if scope["path"].startswith(SERVICES_PREFIX):
        return _parse_plain(table, account, scope, headers, body, key)
    if scope["path"] not in (CHAT_PATH, COMPLETION_PATH):
        raise NotFound(f"There is no {scope['path']}.")
    if scope["method"] != "POST":
        raise MethodNotAllowed(f"{scope['path']} takes POST.")
    return _parse_model(table, account, scope, body, key)


def _parse_plain(table, account, scope, headers, body, key):
    name, _, rest = scope["path"].removeprefix(SERVICES_PREFIX).partition("/")
    route = table.route(name)
    if route is None or route.service != "plain":
        raise NotFound(f"There is no service {name!r}.")
    if not route.repeatable and not key:
        raise IdempotencyKeyRequired(f"Calls of {name} may run at most once.")
    query = scope.get("query_string", b"").decode("latin-1")
    return CallerRequest(
        request_id=request_id_of(account.name, name, key),
        account=account,
        route=route,
        method=scope["method"],
        path=f"/{rest}?{query}" if query else f"/{rest}",
        body=body,
        content_type=headers.get("content-type") or "application/octet-stream",
        idempotency_key=key,
        stream=False,
        answer_tokens=0,
        bound_tokens=route.cost_tokens,
    )


def _parse_model(table, account, scope, body, key):
    document = _load_object(body)
    name = _typed(document, "model", str, None)
    if name is None:
        raise InvalidRequest("'model' is missing.")
    route = table.route(name)
    if route is None or route.service != "model":
        raise NotFound(f"There is no model {name!r}.")
    _check_prompt(scope["path"], document)
    options = _typed(document, "stream_options", dict, {})
    _typed(options, "include_usage", bool, False)
    choices = _typed(document, "n", int, 1)
    if choices != 1:
        raise InvalidRequest("'n' must be 1.")
    answer_tokens = _answer_tokens(document, route)
    return CallerRequest(
        request_id=request_id_of(account.name, name, key),
        account=account,
        route=route,
        method="POST",
        path=scope["path"],
        body=document,
        content_type="application/json",
        idempotency_key=key,
        stream=_typed(document, "stream", bool, False),
        answer_tokens=answer_tokens,
        bound_tokens=len(body) * TOKENS_PER_BODY_BYTE + answer_tokens,
    )


def request_id_of(account, route, key):
    """Returns the request id: derived from the idempotency key, or a new one.

    Examples:
        >>> request_id_of("a", "r", "k") == request_id_of("a", "r", "k")
        True
        >>> request_id_of("a", "r", "") == request_id_of("a", "r", "")
        False
    """
    if not key:
        return new_id("request")
    text = json.dumps([account, route, key])
    return f"request-{hashlib.sha256(text.encode()).hexdigest()[:32]}"


def _load_object(body):
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequest(f"The body is no JSON: {error}.") from error
    if not isinstance(document, dict):
        raise InvalidRequest("The body is no JSON object.")
    return document


def _typed(document, name, cls, default):
    value = document.get(name)
    if value is None:
        return default
    if type(value) is not cls:
        raise InvalidRequest(f"'{name}' is no {cls.__name__}.")
    return value


def _check_prompt(path, document):
    if path == COMPLETION_PATH:
        if not isinstance(document.get("prompt"), str):
            raise InvalidRequest("'prompt' must be a string.")
        return
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise InvalidRequest("'messages' must be a list with one entry or more.")
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise InvalidRequest("Each of 'messages' must be an object with a role.")


def _answer_tokens(document, route):
    limit = route.max_answer_tokens
    asked = [
        _typed(document, name, int, limit)
        for name in ("max_tokens", "max_completion_tokens")
    ]
    if min(asked) < 1:
        raise InvalidRequest("The largest answer must be one token or more.")
    if max(asked) > limit:
        raise InvalidRequest(f"The largest answer of {route.name} is {limit} tokens.")
    return min(asked)
