"""Links: typed messages and calls over one TCP stream.

A call carries a number that its reply repeats negated, so several calls can wait for
replies on one link and replies may arrive in any order.
"""

import itertools
from contextlib import suppress

import anyio

from pistachiowell.core.errors import (
    LinkLost,
    LinkTimeout,
    MessageInvalid,
    PistachiowellError,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_requests import Failure, Hello
from pistachiowell.wire.codec import FrameReader, encode_frame

READ_BYTES = 65536
MAX_QUEUED_BYTES = 32 * 1024 * 1024
WRITE_BYTES = 256 * 1024
# A link that is closed sends what is queued as long as its peer takes or answers some
# of it within this time, and for the second time at most.
CLOSE_S = 0.1
MAX_CLOSE_S = 1.0

_LOST_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)

_log = part_logger("wire")


class Link:
    """A connection to a peer over one TCP stream.

    Messages are sent in order. A one-way message is handled before the next message,
    so that one-way messages take effect in the order in which they were sent. A call is
    handled in a task of its own, so that a slow call does not delay other messages;
    calls with a quick handler need no task, see ``Handlers.on``.

    Messages to send are queued and written in batches. If the peer reads more slowly
    than this process sends and the queue would exceed ``MAX_QUEUED_BYTES``, the link is
    closed, so that a stalled peer cannot exhaust the memory of this process. What is
    queued when this process closes the link is still sent, for ``CLOSE_S`` if the peer
    takes nothing of it and ``MAX_CLOSE_S`` at most.

    Args:
        stream: An anyio byte stream.
        handlers: A ``Handlers``.
        clock: The process's ``HybridClock``.
        stranger: The ``Stranger`` if the peer has opened the link; None otherwise.

    Attributes:
        hello: The ``Hello`` of the peer; None until it has arrived.
        unknown_kinds: Number of received messages of a kind unknown to this process.
    """

    __slots__ = (
        "_call_numbers",
        "_clock",
        "_close_listeners",
        "_closed",
        "_closes_by",
        "_handlers",
        "_is_lost",
        "_pending_calls",
        "_queue",
        "_queued_bytes",
        "_reader",
        "_stranger",
        "_stream",
        "_wake_writer",
        "hello",
        "unknown_kinds",
    )

    def __init__(self, stream, handlers, clock, stranger=None):
        self._stream = stream
        self._stranger = stranger
        self._reader = FrameReader()
        self._handlers = handlers
        self._clock = clock
        self._pending_calls = {}
        self._close_listeners = set()
        self._call_numbers = itertools.count(1)
        self._queue = []
        self._queued_bytes = 0
        self._wake_writer = anyio.Event()
        self._closed = anyio.Event()
        self._closes_by = None
        self._is_lost = False
        self.hello = None
        self.unknown_kinds = 0

    @property
    def closed(self):
        """Whether the link is closed or was lost."""
        return self._closed.is_set()

    @property
    def queued_bytes(self):
        """Number of bytes that are queued to be written."""
        return self._queued_bytes

    async def wait_closed(self):
        """Waits until the link is closed or lost."""
        await self._closed.wait()

    def send(self, message, call=0):
        """Queues a message to be sent.

        Args:
            message: Instance of a message class.
            call: Number of a call, the negated number for a reply, or 0.

        Raises:
            LinkLost: The link is closed, or was closed now because the peer reads too
                slowly.
        """
        if self.closed:
            raise LinkLost("The link is closed; nothing was sent.")
        data = encode_frame(message, call, self._clock.tick())
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self._lose()
            raise LinkLost("The peer reads too slowly; the link was closed.")
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._wake_writer.set()
        self._report()

    async def call(self, message, timeout_s):
        """Sends a call and waits for its reply.

        Args:
            message: Instance of a message class.
            timeout_s: Longest wait in seconds.

        Returns:
            The reply message, possibly a ``Failure``.

        Raises:
            LinkLost: The link was lost before the reply; the call may have run.
            LinkTimeout: No reply came in time; the call may still run.
        """
        number = next(self._call_numbers)
        pending = _PendingCall()
        self._pending_calls[number] = pending
        try:
            self.send(message, number)
            with anyio.move_on_after(timeout_s):
                await pending.event.wait()
        finally:
            self._pending_calls.pop(number, None)
        if pending.reply is not None:
            return pending.reply
        if self.closed:
            raise LinkLost("The link was lost before the reply.")
        raise LinkTimeout(f"No reply within {timeout_s} s; the call may still run.")

    def add_close_listener(self, function):
        """Registers a function to call without arguments when the link is closed."""
        self._close_listeners.add(function)

    def remove_close_listener(self, function):
        """Removes a function registered with ``add_close_listener``."""
        self._close_listeners.discard(function)

    def close(self):
        """Closes the link: ``run`` ends, and pending calls fail with ``LinkLost``."""
        if self.closed:
            return
        self._closed.set()
        for listener in list(self._close_listeners):
            listener()
        self._wake_writer.set()
        for pending in self._pending_calls.values():
            pending.event.set()

    def _lose(self):
        """Closes the link and sends nothing more."""
        if not self.closed:
            self._is_lost = True
        self.close()

    async def run(self):
        """Sends and receives messages until the link is closed or lost."""
        writing = anyio.CancelScope(shield=True)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write_loop, writing)
                group.start_soon(self._read_loop, group)
                try:
                    await self._closed.wait()
                finally:
                    left_s = MAX_CLOSE_S if self._may_finish else 0.0
                    self._closes_by = anyio.current_time() + left_s
                    self._extend(writing)
                    self.close()
                    group.cancel_scope.cancel()
        finally:
            self.close()
            # What refers to the link may outlive it until a garbage collection.
            self._reader = FrameReader()
            self._queue.clear()
            with anyio.CancelScope(shield=True, deadline=writing.deadline) as ending:
                await self._wait_for_end(ending)
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.1):
                await self._stream.aclose()

    def _extend(self, scope):
        """Lets a scope go on for a while if the link is being closed."""
        if self._closes_by is not None:
            scope.deadline = min(anyio.current_time() + CLOSE_S, self._closes_by)

    @property
    def _may_finish(self):
        """Whether what is queued may be sent though the link is closed."""
        if self._is_lost or self._is_strange:
            return False
        return self._stranger is None or not self._stranger.has_given_way

    async def _write_loop(self, scope):
        with scope:
            try:
                while not self.closed or self._queue:
                    await self._wake_writer.wait()
                    self._wake_writer = anyio.Event()
                    await self._write_queue(scope)
            except _LOST_ERRORS:
                # The reader closes the link after what has already arrived.
                self._is_lost = True

    async def _write_queue(self, scope):
        batch = memoryview(b"".join(self._queue))
        self._queue.clear()
        for start in range(0, len(batch), WRITE_BYTES):
            part = batch[start : start + WRITE_BYTES]
            await self._stream.send(part)
            self._queued_bytes -= len(part)
            self._extend(scope)
        self._report()

    async def _wait_for_end(self, scope):
        """Ends the stream and waits until the peer has ended it as well.

        A connection that is closed while the peer still sends is reset, and the peer
        loses what it has not read.
        """
        # A stream of TLS can't be ended in one direction, but the one below it can.
        stream = getattr(self._stream, "transport_stream", self._stream)
        with suppress(*_LOST_ERRORS):
            await stream.send_eof()
            while True:
                await stream.receive(READ_BYTES)
                self._extend(scope)

    async def _read_loop(self, group):
        try:
            while True:
                data = await self._stream.receive(READ_BYTES)
                try:
                    for frame in self._reader.feed(data):
                        await self._handle_frame(frame, group)
                finally:
                    self._handlers.end_part(self)
                self._report()
        except _LOST_ERRORS:
            pass
        except PistachiowellError as error:
            log = _log.debug if self._is_strange else _log.warning
            log("Closing a link after an error in a received message: {}", error)
        self._lose()

    async def _handle_frame(self, frame, group):
        if self._is_strange:
            self._check_hello(frame)
        self._clock.observe(frame.stamp)
        if frame.call < 0:
            self._handle_reply(frame)
        elif frame.message is None:
            self.unknown_kinds += 1
            if frame.call:
                self.send(Failure("message_invalid", "Unknown kind."), -frame.call)
        elif frame.call and not self._handlers.is_quick(frame.message):
            group.start_soon(self._reply_to_call, frame)
        elif frame.call:
            await self._reply_to_call(frame)
        else:
            await self._run_handler(frame.message)

    @property
    def _is_strange(self):
        """Whether the peer opened this link and has not said who it is."""
        return self._stranger is not None and self.hello is None

    def _check_hello(self, frame):
        if not isinstance(frame.message, Hello):
            raise MessageInvalid("The first message has to be Hello.")
        self.hello = frame.message
        self._stranger.introduce(self)

    def _report(self):
        if self._stranger is not None:
            held_bytes = self._queued_bytes + self._reader.held_bytes
            self._stranger.report(not self._is_strange, held_bytes)

    def _handle_reply(self, frame):
        pending = self._pending_calls.get(-frame.call)
        if pending is not None:
            pending.reply = frame.message
            pending.event.set()

    async def _reply_to_call(self, frame):
        reply = await self._run_handler(frame.message)
        try:
            self.send(reply or Failure("message_invalid", "No reply."), -frame.call)
        except LinkLost as error:
            _log.debug("A reply was not sent: {}", error)

    async def _run_handler(self, message):
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
            # An error in one handler must not end the process and its other links.
            _log.exception(
                "Handler of {} failed; replying with internal_fault.",
                type(message).__name__,
            )
            return Failure("internal_fault", "A handler failed.")


def try_send(link, message):
    """Queues a message unless the link is closed, or its peer reads too slowly.

    Args:
        link: The ``Link``; closed if its peer reads too slowly.
        message: Instance of a message class.

    Returns:
        Whether the message was queued. It may still be lost with the link.
    """
    try:
        link.send(message)
    except LinkLost:
        return False
    return True


class _PendingCall:
    """A call that waits for its reply.

    Attributes:
        event: Event that is set by the reply or by the loss of the link.
        reply: The reply message; None until it has arrived.
    """

    __slots__ = ("event", "reply")

    def __init__(self):
        self.event = anyio.Event()
        self.reply = None
