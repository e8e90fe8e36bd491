"""ASGI helper functions of the HTTP stand-ins."""

import msgspec
import uvicorn


async def read_body(receive):
    """Reads the whole body of a request.

    Args:
        receive: The ASGI receive function.

    Returns:
        The body as bytes; incomplete if the client disconnects before its end.
    """
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            break
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            break
    return b"".join(parts)


async def wait_for_disconnect(receive):
    """Waits until the client disconnects.

    Args:
        receive: The ASGI receive function, after the body was read.
    """
    while (await receive())["type"] != "http.disconnect":
        pass


async def send_start(send, status, content_type):
    """Sends the status and the headers of an answer.

    Args:
        send: The ASGI send function.
        status: HTTP status.
        content_type: Value of the header ``Content-Type``.
    """
    headers = [(b"content-type", content_type.encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def send_body(send, data, more=True):
    """Sends a part of the body of an answer.

    Args:
        send: The ASGI send function.
        data: The part as bytes.
        more: Whether further parts follow.
    """
    await send({"type": "http.response.body", "body": data, "more_body": more})


async def send_json(send, status, document):
    """Sends a complete JSON answer.

    Args:
        send: The ASGI send function.
        status: HTTP status.
        document: Value that ``msgspec`` can encode.
    """
    await send_start(send, status, "application/json")
    await send_body(send, msgspec.json.encode(document), more=False)


async def send_error(send, status, message, kind="server_error"):
    """Sends an error in the format of the OpenAI API."""
    error = {"message": message, "type": kind, "param": None, "code": None}
    await send_json(send, status, {"error": error})


def header(scope, name):
    """Returns the value of a request header, empty if absent.

    Args:
        scope: The ASGI scope.
        name: Name of the header in lower case, as bytes.
    """
    for key, value in scope["headers"]:
        if key == name:
            return value.decode("latin-1")
    return ""


async def serve_app(app, port):
    """Serves an ASGI application on the loopback address until a signal stops it.

    Args:
        app: The ASGI application.
        port: TCP port.
    """
    config = uvicorn.Config(
        app,
        host="127.0.0.1",
        port=port,
        http="httptools",
        loop="asyncio",
        lifespan="off",
        log_level="critical",
        access_log=False,
        timeout_keep_alive=30,
        timeout_graceful_shutdown=1,
    )
    await uvicorn.Server(config).serve()
