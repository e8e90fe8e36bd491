"""HTTP calls to the programs of a rig."""

from dataclasses import dataclass

import httpcore
import msgspec

TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class Reply:
    """Response to an HTTP request.

    Attributes:
        status: HTTP status; 0 if the connection failed, broke off or timed out.
        headers: Header values by lower-case name.
        body: Body as bytes.
    """

    status: int
    headers: dict
    body: bytes

    @property
    def document(self):
        """Body decoded from JSON."""
        return msgspec.json.decode(self.body)

    @property
    def error_code(self):
        """Error code in the body; empty if the body has none."""
        try:
            return self.document["error"]["code"] or ""
        except (msgspec.MsgspecError, KeyError, TypeError):
            return ""


def call(url, document=None, *, method=None, headers=None, timeout_s=TIMEOUT_S):
    """Sends one HTTP request on a new connection.

    Args:
        url: The URL.
        document: Value sent as JSON, or bytes sent unchanged; None for no body.
        method: HTTP method; POST with a body and GET without if None.
        headers: Mapping of further headers.
        timeout_s: Timeout in seconds of the connection and of each read and write.

    Returns:
        A ``Reply``; network errors and timeouts give one with status 0.
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
