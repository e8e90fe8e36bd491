"""Links: typed messages and calls over one TCP stream."""

import itertools
import ssl
from contextlib import asynccontextmanager

import anyio
from anyio.streams.tls import TLSListener, TLSStream

from pistachiowell.core.errors import LinkLost, LinkTimeout, PistachiowellError
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_requests import Failure, Hello
from pistachiowell.wire.codec import FrameReader, encode_frame

READ_BYTES = 65536
MAX_QUEUED_BYTES = 32 * 1024 * 1024
HELLO_TIMEOUT_S = 5.0

_log = part_logger("wire")


class Handlers:
    """Registry of the functions that take received messages.

    A handler is an async function ``handle(link, message)``. Its result, if not
    None, is the reply to a call. A ``PistachiowellError`` becomes a ``Failure``.
    """

    __slots__ = ("_by_class", "_quick")

    def __init__(self):
        self._by_class = {}
        self._quick = set()

    def on(self, message_class, *, quick=False):
        """Returns a decorator that registers the handler of a message class.

        Args:
            message_class: Class of the message.
            quick: Whether the handler never waits, so that a call needs no task.
        """

        def decorate(function):
            self._by_class[message_class] = function
            if quick:
                self._quick.add(message_class)
            return function

        return decorate

    def is_quick(self, message):
        """Whether the handler of a message never waits."""
        return type(message) in self._quick

    def find(self, message):
        """Returns the handler of a message, or None."""
        return self._by_class.get(type(message))


class Link:
    """One TCP stream to a peer.

    Messages are sent in order. A one-way message is handled before the next one is
    read; a call is handled in a task of its own, so a slow call holds up nothing.

    Args:
        stream: An anyio byte stream.
        handlers: A ``Handlers``.
        clock: The process's ``HybridClock``.
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_close_listeners",
        "_closed",
        "_handlers",
        "_numbers",
        "_queue",
        "_queued_bytes",
        "_stream",
        "_wake",
        "hello",
        "unknown_kinds",
    )

    def __init__(self, stream, handlers, clock):
        self._stream = stream
        self._handlers = handlers
        self._clock = clock
        self._calls = {}
        self._close_listeners = set()
        self._numbers = itertools.count(1)
        self._queue = []
        self._queued_bytes = 0
        self._wake = anyio.Event()
        self._closed = anyio.Event()
        self.hello = None
        self.unknown_kinds = 0

    @property
    def closed(self):
        """Whether the link is lost."""
        return self._closed.is_set()

    @property
    def queued_bytes(self):
        """Bytes that wait to be written."""
        return self._queued_bytes

    async def wait_closed(self):
        """Waits until the link is lost."""
        await self._closed.wait()

    def send(self, message, call=0):
        """Queues a message.

        Raises:
            LinkLost: The link is lost, or the peer reads too slowly.
        """
        if self.closed:
            raise LinkLost("The link is closed.")
        data = encode_frame(message, call, self._clock.tick())
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.close()
            raise LinkLost("The peer reads too slowly.")
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._wake.set()

    async def call(self, message, timeout_s):
        """Sends a call and waits for its reply.

        Args:
            message: Instance of a message class.
            timeout_s: Longest wait in seconds.

        Returns:
            The reply message, possibly a ``Failure``.

        Raises:
            LinkLost: The link was lost before the reply.
            LinkTimeout: No reply came in time.
        """
        number = next(self._numbers)
        waiter = _Waiter()
        self._calls[number] = waiter
        try:
            self.send(message, number)
            with anyio.move_on_after(timeout_s):
                await waiter.event.wait()
        finally:
            self._calls.pop(number, None)
        if waiter.reply is not None:
            return waiter.reply
        if self.closed:
            raise LinkLost("The link was lost before the reply.")
        raise LinkTimeout(f"No reply within {timeout_s} s.")

    def add_close_listener(self, function):
        """Has a function called without arguments when the link is lost."""
        self._close_listeners.add(function)

    def remove_close_listener(self, function):
        """Forgets a function given to ``add_close_listener``."""
        self._close_listeners.discard(function)

    def close(self):
        """Marks the link lost; ``run`` then ends."""
        if self.closed:
            return
        self._closed.set()
        for listener in list(self._close_listeners):
            listener()
        self._wake.set()
        for waiter in self._calls.values():
            waiter.event.set()

    async def run(self):
        """Sends and receives until the link is lost."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write_loop, group.cancel_scope)
                group.start_soon(self._read_loop, group)
                await self._closed.wait()
                group.cancel_scope.cancel()
        finally:
            self.close()
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.1):
                await self._stream.aclose()

    async def _write_loop(self, scope):
        try:
            while not self.closed:
                await self._wake.wait()
                self._wake = anyio.Event()
                batch = b"".join(self._queue)
                self._queue.clear()
                if batch:
                    await self._stream.send(batch)
                    self._queued_bytes -= len(batch)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            self.close()
            scope.cancel()

    async def _read_loop(self, group):
        reader = FrameReader()
        try:
            while True:
                data = await self._stream.receive(READ_BYTES)
                for frame in reader.feed(data):
                    await self._take(frame, group)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            OSError,
        ):
            pass
        except PistachiowellError as error:
            _log.warning("Closing a link: {}", error)
        self.close()

    async def _take(self, frame, group):
        self._clock.observe(frame.stamp)
        if frame.call < 0:
            self._take_reply(frame)
        elif frame.message is None:
            self.unknown_kinds += 1
            if frame.call:
                self.send(Failure("message_invalid", "Unknown kind."), -frame.call)
        elif frame.call and not self._handlers.is_quick(frame.message):
            group.start_soon(self._answer, frame)
        elif frame.call:
            await self._answer(frame)
        else:
            await self._handle(frame.message)

    def _take_reply(self, frame):
        waiter = self._calls.get(-frame.call)
        if waiter is not None:
            waiter.reply = frame.message
            waiter.event.set()

    async def _answer(self, frame):
        reply = await self._handle(frame.message)
        if not self.closed:
            self.send(reply or Failure("message_invalid", "No reply."), -frame.call)

    async def _handle(self, message):
        if isinstance(message, Hello):
            self.hello = message
        handler = self._handlers.find(message)
        if handler is None:
            return None
        try:
            return await handler(self, message)
        except PistachiowellError as error:
            return Failure(str(error.code), error.message)
        except Exception:
            # One faulty handler must not end the process and its other links.
            _log.exception("The handler of {} failed.", type(message).__name__)
            return Failure("internal_fault", "A handler failed.")


class _Waiter:
    __slots__ = ("event", "reply")

    def __init__(self):
        self.event = anyio.Event()
        self.reply = None


@asynccontextmanager
async def connect(host, port, hello, handlers, clock, *, tls=None, timeout_s=2.0):
    """Opens a link to a peer and runs it inside the context.

    Args:
        host: IP address.
        port: TCP port.
        hello: The ``Hello`` of this process.
        handlers: A ``Handlers``.
        clock: The process's ``HybridClock``.
        tls: A ``LinkTls``; None for a link without TLS.
        timeout_s: Longest wait for the connection in seconds.

    Raises:
        LinkLost: The peer could not be reached.
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
            # Raised below, so that the group does not wrap it.
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
        on_link: Function that is called with each new ``Link``.
        task_status: Tells anyio's ``TaskGroup.start`` that the port is open.
    """

    async def accept(stream):
        link = Link(stream, handlers, clock)
        link.send(hello)
        if on_link is not None:
            on_link(link)
        await link.run()

    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    if tls is not None:
        listener = TLSListener(listener, tls.server, standard_compatible=False)
    task_status.started()
    await listener.serve(accept)
