"""Opens links to peers and accepts links from them."""

import ssl
from contextlib import asynccontextmanager

import anyio
from anyio.streams.tls import TLSListener, TLSStream

from pistachiowell.core.errors import LinkLost
from pistachiowell.wire.link import Link


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
    host, port, hello, handlers, clock, *, tls=None, on_link=None, task_status
):
    """Accepts links until cancelled.

    Args:
        host: IP address to listen on.
        port: TCP port.
        hello: The ``Hello`` of this process, sent on every link.
        handlers: A ``Handlers``.
        clock: The process's ``HybridClock``.
        tls: A ``LinkTls``; None for links without TLS.
        on_link: Function to call with each new ``Link``; None for none.
        task_status: Status of anyio's ``TaskGroup.start``, set once the port is open.
    """

    async def handle_connection(stream):
        link = Link(stream, handlers, clock)
        link.send(hello)
        if on_link is not None:
            on_link(link)
        await link.run()

    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    if tls is not None:
        listener = TLSListener(listener, tls.server, standard_compatible=False)
    task_status.started()
    await listener.serve(handle_connection)
