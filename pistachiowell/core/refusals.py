"""Answers of a process itself, in place of those of an application."""

import http

import msgspec

from pistachiowell.core.errors import (
    BodyTimeout,
    InvalidRequest,
    Leaving,
    Overloaded,
    ServerFailed,
)

RETRY_AFTER_S = 0.5


def refusal(status, body, *headers):
    """Returns a whole answer that closes its connection.

    Args:
        status: HTTP status.
        body: JSON body as bytes.
        *headers: Further header lines as bytes.

    Examples:
        >>> refusal(431, b"{}").splitlines()[0]
        b'HTTP/1.1 431 Request Header Fields Too Large'
    """
    lines = (
        b"HTTP/1.1 %d %b" % (status, http.HTTPStatus(status).phrase.encode()),
        b"content-type: application/json",
        b"connection: close",
        b"content-length: %d" % len(body),
        *headers,
    )
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _encode(error):
    document = {"error": str(error.code), "message": error.message, "ran": error.ran}
    return msgspec.json.encode(document)


NO_ROOM = refusal(
    503,
    _encode(Overloaded("The process has no room for the request.")),
    b"retry-after: %.3f" % RETRY_AFTER_S,
)
LEAVING = refusal(
    503,
    _encode(Leaving("The process stops before the request can run.")),
    b"retry-after: %.3f" % RETRY_AFTER_S,
)
UNANSWERED = refusal(
    502, _encode(ServerFailed("The process stops before the answer has begun."))
)
INVALID = refusal(400, _encode(InvalidRequest("The request is not valid HTTP.")))
TOO_SLOW = refusal(408, _encode(BodyTimeout("The request did not arrive in time.")))
