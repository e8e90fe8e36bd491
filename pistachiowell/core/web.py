"""Embedded HTTP servers, and helpers for their ASGI applications."""

import asyncio
import socket
from contextlib import contextmanager, nullcontext

import uvicorn

from pistachiowell.core.errors import BodyTooLarge

ACCEPTED_AT_ONCE = 8
# With no room for a connection that its caller takes for open, the kernel resets it,
# and the request on it, later. Callers that wait for long are late; others may serve
# them sooner.
MAX_WAITING = 128
# Connections that are accepted as the port is closed; more may come meanwhile.
ACCEPTED_AT_CLOSE = 4 * MAX_WAITING
# Turns of the event loop from the call of ``accept`` to the protocol's first method.
TURNS_OF_ACCEPT = 3
# Time for requests that were cancelled at the end to send their answers.
CANCEL_S = 0.05


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
        for listener in self._listeners:
            with _same_socket(listener) as same:
                same.listen(MAX_WAITING)

    @property
    def _listeners(self):
        return [listener for server in self.servers for listener in server.sockets]

    async def shutdown(self, sockets=None):
        """Closes the port, and each connection after its present request.

        Connections that wait to be accepted would be reset with the port.
        """
        await self._stop_accepting()
        accepted = self._accept_waiting()
        for server in self.servers:
            server.close()
        for sock in accepted:
            await self._serve_last(sock)
        await super().shutdown(sockets)

    async def _serve_last(self, sock):
        loop = asyncio.get_running_loop()
        _, protocol = await loop.connect_accepted_socket(self._make_protocol, sock)
        if protocol in self.server_state.connections:
            protocol.shutdown()

    async def _stop_accepting(self):
        """Waits for the connections that asyncio has accepted and not begun to serve.

        It drops them, open, if their port is closed before. Their first answer is to
        tell of the close, so each is told before anything is read.
        """
        loop = asyncio.get_running_loop()
        for listener in self._listeners:
            loop.remove_reader(listener.fileno())
        for _ in range(TURNS_OF_ACCEPT):
            await asyncio.sleep(0)
            for connection in list(self.server_state.connections):
                connection.shutdown()

    def _accept_waiting(self):
        accepted = []
        for listener in self._listeners:
            with _same_socket(listener) as same:
                for _ in range(ACCEPTED_AT_CLOSE):
                    try:
                        accepted.append(same.accept()[0])
                    except OSError:
                        break  # None waits, or there is no descriptor for it.
        return accepted

    def _make_protocol(self):
        return self.config.http_protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )


class HttpServer(EmbeddedServer):
    """Server whose connections are refused, not reset, at its end."""

    async def shutdown(self, sockets=None):
        """Closes the port, and each connection as well as time allows."""
        await super().shutdown(sockets)
        if self.server_state.tasks:
            await asyncio.wait(self.server_state.tasks, timeout=CANCEL_S)
        for connection in list(self.server_state.connections):
            connection.finish()
        # The event loop closes the sockets in its next turn.
        await asyncio.sleep(0)
        await asyncio.sleep(0)


@contextmanager
def _same_socket(view):
    """Yields the socket of asyncio's view of it, which can do less."""
    same = socket.socket(fileno=view.fileno())
    try:
        yield same
    finally:
        same.detach()


def http_server(app, host, port, *, http, **options):
    """Returns a server for an ASGI application.

    Args:
        app: The ASGI application.
        host: IP address.
        port: TCP port.
        http: Protocol class; see ``bounded_protocol``.
        **options: Further options of ``uvicorn.Config``.

    Returns:
        An ``HttpServer``.
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
    return HttpServer(config)


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
