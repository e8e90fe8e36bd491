"""HTTP calls to the programs of a rig."""

from dataclasses import dataclass

import httpcore
import msgspec

TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer to one HTTP call.

    Attributes:
        status: HTTP status; 0 if the connection failed or broke off.
        headers: Header values by lower-case name.
        body: The body as bytes.
    """

    status: int
    headers: dict
    body: bytes

    @property
    def document(self):
        """The body as decoded JSON."""
        return msgspec.json.decode(self.body)

    @property
    def error_code(self):
        """Code of an error body, or an empty text."""
        try:
            return self.document["error"]["code"] or ""
        except (msgspec.MsgspecError, KeyError, TypeError):
            return ""


def call(url, document=None, *, method=None, headers=None, timeout_s=TIMEOUT_S):
    """Makes one HTTP call on a connection of its own.

    Args:
        url: The URL.
        document: Value sent as JSON, or bytes sent as they are; None for no body.
        method: HTTP method; POST with a body and GET without if None.
        headers: Mapping of further headers.
        timeout_s: Longest silence of the server in seconds.

    Returns:
        A ``Reply``.
    """
    body = document
    if document is not None and not isinstance(document, bytes):
        body = msgspec.json.encode(document)
    all_headers = {"content-type": "application/json", **(headers or {})}
    timeouts = {"connect": timeout_s, "read": timeout_s, "write": timeout_s}
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method or ("GET" if body is None else "POST"),
                url,
                headers=list(all_headers.items()),
                content=body or b"",
                extensions={"timeout": timeouts},
            )
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return Reply(0, {}, b"")
    pairs = [
        (name.decode().lower(), value.decode()) for name, value in response.headers
    ]
    return Reply(response.status, dict(pairs), response.content)
