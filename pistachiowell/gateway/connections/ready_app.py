"""ASGI application of the gateway for health checks."""


class ReadyApp:
    """Reports to the load balancer whether this gateway accepts callers.

    Args:
        state: The ``GatewayState``.
        path: Path of the health check.
    """

    __slots__ = ("_path", "_state")

    def __init__(self, state, path):
        self._state = state
        self._path = path

    async def __call__(self, scope, receive, send):
        """Answers 200 if ready and 503 if not; 404 on any other path."""
        del receive
        if scope["type"] != "http":
            return
        status = 404
        if scope["path"] == self._path:
            status = 200 if self._state.is_ready else 503
        headers = [(b"content-length", b"0")]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b""})
