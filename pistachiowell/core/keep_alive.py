"""Announces to callers for how long their connections are kept.

A caller that keeps to it sends nothing on a connection that is about to be closed.

References:
    RFC 2068, section 19.7.1.1: the header ``Keep-Alive``.
"""

import math

# Time for the end of an answer to reach its caller, and for a request to come back.
MARGIN_S = 0.5
# Key of the ``KeepAlivePromise`` in the scope of a request.
KEEP_ALIVE = "pistachiowell.keep_alive"


def announced_seconds(limit_s):
    """Returns the whole seconds to announce for a time limit; 0 for no announcement.

    Args:
        limit_s: Least time in seconds for which an idle connection is kept.

    Examples:
        >>> announced_seconds(2.6), announced_seconds(15.0), announced_seconds(1.4)
        (2, 14, 0)
    """
    return max(0, math.floor(limit_s - MARGIN_S))


class KeepAlivePromise:
    """What the caller of one connection was told last.

    Attributes:
        kept_s: Seconds after the end of an answer for which the connection is kept; 0
            if nothing was announced.
    """

    __slots__ = ("kept_s",)

    def __init__(self):
        self.kept_s = 0.0


class KeepAliveApp:
    """ASGI application that adds the header ``Keep-Alive`` to the answers of another.

    An answer that closes its connection gets none.

    Args:
        app: The other ASGI application.

    Attributes:
        announced_s: Whole seconds to announce; 0 for no announcement.
    """

    __slots__ = ("_app", "announced_s")

    def __init__(self, app):
        self._app = app
        self.announced_s = 0

    async def __call__(self, scope, receive, send):
        """Handles one request."""

        def announce(message):
            if message["type"] == "http.response.start":
                message = self._announced(scope, message)
            return send(message)

        await self._app(scope, receive, announce)

    def _announced(self, scope, message):
        promise, headers = scope.get(KEEP_ALIVE), message.get("headers", ())
        if promise is None:
            return message
        closes = (b"connection", b"close") in headers
        promise.kept_s = 0.0
        if closes or not self.announced_s:
            return message
        promise.kept_s = self.announced_s + MARGIN_S
        header = b"keep-alive", b"timeout=%d" % self.announced_s
        return {**message, "headers": [*headers, header]}
