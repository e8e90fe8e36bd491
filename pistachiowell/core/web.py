"""HTTP servers inside a program, and what their applications share."""

from contextlib import nullcontext

import uvicorn

from pistachiowell.core.errors import BodyTooLarge


class CallerGoneError(Exception):
    """The caller has left before the end of its request."""


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves the signals to the program."""

    def capture_signals(self):
        """Returns a context that captures nothing."""
        return nullcontext()


def http_server(app, host, port, *, http="httptools", **options):
    """Makes the server of an ASGI application.

    Args:
        app: The ASGI application.
        host: IP address.
        port: TCP port.
        http: Protocol class, or the name that uvicorn has for one.
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
        **options,
    )
    return EmbeddedServer(config)


async def read_body(receive, max_bytes):
    """Reads the whole body of a request.

    Args:
        receive: ASGI receive function.
        max_bytes: Bound of the body's size.

    Raises:
        BodyTooLarge: The body exceeds the bound; it is not kept.
        CallerGoneError: The caller has left before its end.
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
    """Cancels a scope once the caller has left.

    Args:
        receive: ASGI receive function; the body has been read.
        scope: The ``CancelScope``.
    """
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
