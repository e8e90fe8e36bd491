"""Validates the requests of the HTTP API."""

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
    """A validated request without a reservation yet.

    Attributes:
        request_id: Id of the request; the same for a repeat with the same
            idempotency key.
        account: The ``AccountRow``.
        route: The ``RouteRow``.
        method: HTTP method.
        path: Path at the backend server.
        body: JSON object for a model; bytes for a plain service.
        content_type: Content type of the body.
        idempotency_key: The caller's key or an empty string.
        stream: Whether the caller requested server-sent events.
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
        """Whether the caller requested the usage in the answer."""
        if not self.stream:
            return True
        options = self.body.get("stream_options") or {}
        return bool(options.get("include_usage"))


class HeaderMap:
    """Request headers by lower-case name.

    Args:
        pairs: Pairs of bytes, as in the ASGI scope.
        max_bytes: Largest total size in bytes.

    Raises:
        HeadersTooLarge: The headers exceed ``max_bytes``.
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
        table: The current ``Table``.
        headers: A ``HeaderMap``.

    Returns:
        The ``AccountRow``.

    Raises:
        Unauthorized: The key is missing or unknown.
    """
    account = table.account_of_key(_key_hash(headers))
    if account is None:
        raise Unauthorized("The API key is unknown.")
    return account


def check_operator(settings, headers):
    """Checks that a request has the key of an operator.

    Args:
        settings: Settings with ``operator_key_hashes``.
        headers: A ``HeaderMap``.

    Raises:
        Unauthorized: The key is missing or does not belong to an operator.
    """
    if _key_hash(headers) not in settings.operator_key_hashes:
        raise Unauthorized("The key does not belong to an operator.")


def _key_hash(headers):
    scheme, _, key = headers.get("authorization").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise Unauthorized("The request has no API key.")
    return hashlib.sha256(key.strip().encode("latin-1")).hexdigest()


async def read_body(receive, max_bytes):
    """Reads the whole body.

    Args:
        receive: ASGI receive function.
        max_bytes: Largest size of the body in bytes.

    Raises:
        BodyTooLarge: The body exceeds ``max_bytes``; it is not kept.
        InvalidRequest: The caller disconnected before the end of the body.
    """
    try:
        return await web.read_body(receive, max_bytes)
    except web.CallerGoneError as error:
        text = "The caller disconnected before the end of the body."
        raise InvalidRequest(text) from error


def parse_request(table, account, scope, headers, body):
    """Validates a request against the API and the table.

    Args:
        table: The current ``Table``.
        account: The caller's ``AccountRow``.
        scope: ASGI scope.
        headers: A ``HeaderMap``.
        body: The whole body as bytes.

    Returns:
        A ``CallerRequest``.

    Raises:
        PistachiowellError: The request is invalid; the status is 4xx.
    """
    key = headers.get("idempotency-key")
    if len(key) > MAX_KEY_CHARACTERS:
        raise InvalidRequest(
            f"The idempotency key exceeds {MAX_KEY_CHARACTERS} characters."
        )
    if scope["path"].startswith(SERVICES_PREFIX):
        return _parse_service_call(table, account, scope, headers, body, key)
    if scope["path"] not in (CHAT_PATH, COMPLETION_PATH):
        raise NotFound(f"There is no {scope['path']}.")
    if scope["method"] != "POST":
        raise MethodNotAllowed(f"{scope['path']} accepts only POST.")
    return _parse_model_call(table, account, scope, body, key)


def _parse_service_call(table, account, scope, headers, body, key):
    name, _, rest = scope["path"].removeprefix(SERVICES_PREFIX).partition("/")
    route = table.route(name)
    if route is None or route.service != "plain":
        raise NotFound(f"There is no service {name!r}.")
    if not route.repeatable and not key:
        raise IdempotencyKeyRequired(f"Calls of service {name} are not idempotent.")
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


def _parse_model_call(table, account, scope, body, key):
    document = _parse_json_object(body)
    name = _field_of_type(document, "model", str, None)
    if name is None:
        raise InvalidRequest("'model' is missing.")
    route = table.route(name)
    if route is None or route.service != "model":
        raise NotFound(f"There is no model {name!r}.")
    _check_prompt(scope["path"], document)
    options = _field_of_type(document, "stream_options", dict, {})
    _field_of_type(options, "include_usage", bool, False)
    choices = _field_of_type(document, "n", int, 1)
    if choices != 1:
        raise InvalidRequest("'n' must be 1.")
    answer_tokens = _requested_answer_tokens(document, route)
    return CallerRequest(
        request_id=request_id_of(account.name, name, key),
        account=account,
        route=route,
        method="POST",
        path=scope["path"],
        body=document,
        content_type="application/json",
        idempotency_key=key,
        stream=_field_of_type(document, "stream", bool, False),
        answer_tokens=answer_tokens,
        bound_tokens=len(body) * TOKENS_PER_BODY_BYTE + answer_tokens,
    )


def request_id_of(account, route, key):
    """Returns the request id, derived from the idempotency key if there is one.

    Repeats with the same key have the same id, so that they are billed as one request.

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


def _parse_json_object(body):
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequest(f"The body is not valid JSON: {error}.") from error
    if not isinstance(document, dict):
        raise InvalidRequest("The body is not a JSON object.")
    return document


def _field_of_type(document, name, cls, default):
    value = document.get(name)
    if value is None:
        return default
    if type(value) is not cls:
        raise InvalidRequest(f"'{name}' must be of type {cls.__name__}.")
    return value


def _check_prompt(path, document):
    if path == COMPLETION_PATH:
        if not isinstance(document.get("prompt"), str):
            raise InvalidRequest("'prompt' must be a string.")
        return
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise InvalidRequest("'messages' must be a list with at least one entry.")
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise InvalidRequest("Each of 'messages' must be an object with a role.")


def _requested_answer_tokens(document, route):
    limit = route.max_answer_tokens
    requested = [
        _field_of_type(document, name, int, limit)
        for name in ("max_tokens", "max_completion_tokens")
    ]
    if min(requested) < 1:
        raise InvalidRequest("The token limit of the answer must be at least 1.")
    if max(requested) > limit:
        raise InvalidRequest(f"The token limit of {route.name} is {limit} tokens.")
    return min(requested)
