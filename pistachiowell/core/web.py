"""Embedded HTTP servers, and helpers for their ASGI applications."""

import socket
from contextlib import nullcontext

import uvicorn

from pistachiowell.core.errors import BodyTooLarge

ACCEPTED_AT_ONCE = 8
# A gateway of 0.4 cores serves 50 requests a second. Callers that wait longer than
# a third of a second for their connection are late; others may serve them sooner.
MAX_WAITING = 16


class CallerGoneError(Exception):
    """The caller disconnected before the end of its request."""


class EmbeddedServer(uvicorn.Server):
    """Uvicorn server that does not handle signals; the program handles them."""

    def capture_signals(self):
        """Returns a context manager that captures no signals."""
        return nullcontext()

    async def startup(self, sockets=None):
        """Opens the port; accepts few connections at once, but lets many wait.

        A connection over the limit is closed only after it was accepted, so accepting
        all that wait at once could use up the descriptors of the process.
        """
        await super().startup(sockets)
        for server in self.servers:
            for listener in server.sockets:
                # asyncio's view of a socket has no ``listen``.
                same = socket.socket(fileno=listener.fileno())
                same.listen(MAX_WAITING)
                same.detach()


def http_server(app, host, port, *, http="httptools", **options):
    """Returns a server for an ASGI application.

    Args:
        app: The ASGI application.
        host: IP address.
        port: TCP port.
        http: Protocol class or its name in uvicorn.
        **options: Further options of ``uvicorn.Config``.

    Returns:
        An ``EmbeddedServer``.
    """
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http=http,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        backlog=ACCEPTED_AT_ONCE,
        **options,
    )
    return EmbeddedServer(config)


async def read_body(receive, max_bytes):
    """Reads the whole body of a request.

    Args:
        receive: ASGI receive function.
        max_bytes: Largest allowed size of the body in bytes.

    Raises:
        BodyTooLarge: The body exceeds ``max_bytes``; it is discarded.
        CallerGoneError: The caller disconnected before the end of the body.
    """
    parts, size, more = [], 0, True
    while more:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise CallerGoneError
        parts.append(event.get("body", b""))
        size += len(parts[-1])
        if size > max_bytes:
            raise BodyTooLarge(f"The body exceeds {max_bytes} bytes.")
        more = event.get("more_body", False)
    return b"".join(parts)


async def watch_disconnect(receive, scope):
    """Cancels a scope when the caller disconnects.

    Args:
        receive: ASGI receive function, after the whole body has been read.
        scope: The ``CancelScope`` to cancel.
    """
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
