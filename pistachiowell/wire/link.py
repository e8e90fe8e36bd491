"""Links: typed messages and calls over one TCP stream."""

import itertools

import anyio

from pistachiowell.core.errors import LinkLost, LinkTimeout, PistachiowellError
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_requests import Failure, Hello
from pistachiowell.wire.codec import FrameReader, encode_frame

READ_BYTES = 65536
MAX_QUEUED_BYTES = 32 * 1024 * 1024

_log = part_logger("wire")


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
            return Failure(str(error.code), error.message, error.retry_after_s)
        except Exception:
            # One faulty handler must not end the process and its other links.
            _log.exception("The handler of {} failed.", type(message).__name__)
            return Failure("internal_fault", "A handler failed.")


class _Waiter:
    __slots__ = ("event", "reply")

    def __init__(self):
        self.event = anyio.Event()
        self.reply = None
