"""Opens links to peers and accepts links from them."""

import ssl
from contextlib import asynccontextmanager

import anyio
from anyio.streams.tls import TLSStream

from pistachiowell.core.clients import default_clients
from pistachiowell.core.errors import LinkLost
from pistachiowell.core.logs import part_logger
from pistachiowell.wire.link import Link
from pistachiowell.wire.strangers import Stranger, accept_without_end

_HANDSHAKE_ERRORS = (
    OSError,
    ssl.SSLError,
    anyio.BrokenResourceError,
    anyio.EndOfStream,
)

_log = part_logger("wire")


@asynccontextmanager
async def connect(host, port, hello, handlers, clock, *, tls=None, timeout_s=2.0):
    """Opens a link to a peer and runs it while the context is open.

    Args:
        host: IP address.
        port: TCP port.
        hello: The ``Hello`` of this process.
        handlers: A ``Handlers``.
        clock: The process's ``HybridClock``.
        tls: A ``LinkTls``; None for a link without TLS.
        timeout_s: Timeout of the connection, including the TLS handshake, in seconds.

    Yields:
        The ``Link``.

    Raises:
        LinkLost: The peer refused the connection or did not answer in time.
    """
    try:
        with anyio.fail_after(timeout_s):
            stream = await _open_stream(host, port, tls)
    except (OSError, TimeoutError, ssl.SSLError, anyio.BrokenResourceError) as error:
        raise LinkLost(f"No connection to {host}:{port}: {error}.") from error
    link = Link(stream, handlers, clock)
    link.send(hello)
    failure = None
    async with anyio.create_task_group() as group:
        group.start_soon(link.run)
        try:
            yield link
        except Exception as error:
            # Raised below the task group, which would wrap it in an exception group.
            failure = error
        finally:
            link.close()
            group.cancel_scope.cancel()
    if failure is not None:
        raise failure


async def _open_stream(host, port, tls):
    stream = await anyio.connect_tcp(host, port)
    if tls is None:
        return stream
    return await TLSStream.wrap(
        stream, server_side=False, ssl_context=tls.client, standard_compatible=False
    )


async def serve(
    host,
    port,
    hello,
    handlers,
    clock,
    *,
    clients=None,
    tls=None,
    on_link=None,
    task_status,
):
    """Accepts links until cancelled.

    Args:
        host: IP address to listen on.
        port: TCP port.
        hello: The ``Hello`` of this process, sent on every link.
        handlers: A ``Handlers``.
        clock: The process's ``HybridClock``.
        clients: The ``Clients`` of the process; None for some of its own.
        tls: A ``LinkTls``; None for links without TLS.
        on_link: Function to call with each ``Link`` whose peer has sent its ``Hello``;
            None for none.
        task_status: Status of anyio's ``TaskGroup.start``, set once the port is open.
    """
    if clients is None:
        clients = default_clients()

    async def handle_connection(stream):
        stranger = Stranger(clients, on_link)
        async with stranger.admitted(stream):
            if tls is not None:
                try:
                    stream = await _accept_tls(stream, tls)
                except _HANDSHAKE_ERRORS as error:
                    _log.debug("A handshake failed: {}", error)
                    return
            link = Link(stream, handlers, clock, stranger)
            link.send(hello)
            await link.run()

    listeners = await anyio.create_tcp_listener(local_host=host, local_port=port)
    task_status.started()
    async with listeners, anyio.create_task_group() as group:
        for listener in listeners.listeners:
            group.start_soon(accept_without_end, listener, handle_connection)


async def _accept_tls(stream, tls):
    return await TLSStream.wrap(
        stream, server_side=True, ssl_context=tls.server, standard_compatible=False
    )
