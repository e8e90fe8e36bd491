"""Relays connections of callers to other gateways of the data centre.

The bytes are copied as they are, so that exactly one gateway handles the request.
"""

import asyncio

from pistachiowell.core.lingering import LingeringTransport
from pistachiowell.core.logs import part_logger
from pistachiowell.core.refusals import UNANSWERED

# Accepting takes about a millisecond within a data centre. A caller waits for this
# longer only if the gateway is overloaded or unreachable.
CONNECT_TIMEOUT_S = 0.3
# If two gateways do not answer within this time, this VM's own link is full.
OWN_LINK_WINDOW_S = 1.0
READ_BYTES = 16_384
WRITE_BUFFER_BYTES = 4096
# Each takes at most 41 KB of buffers.
MAX_CONNECTIONS = 256
# Each takes two descriptors, beside those of the connections that are served here.
RELAYED_PART = 1 / 8
# A caller that does not read the end of its answer holds its connection for so long.
FLUSH_TIMEOUT_S = 5.0

_log = part_logger("relay")


class _Side(asyncio.BufferedProtocol):
    """One of the two connections; writes what it reads to the other one.

    The other one stops reading while this one's peer does not take what was written,
    so at most a read and a write buffer are held in each direction.

    Args:
        relay: The ``ConnectionRelay``.

    Attributes:
        other: The ``_Side`` of the other connection.
        transport: The transport; None until it is connected.
    """

    __slots__ = ("_relay", "other", "transport")

    def __init__(self, relay):
        self._relay = relay
        self.other = None
        self.transport = None

    def connection_made(self, transport):
        """Bounds the write buffer of a new connection."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def get_buffer(self, sizehint):
        """Returns the buffer to read into, which all connections share."""
        del sizehint
        return self._relay.buffer

    def buffer_updated(self, nbytes):
        """Writes what was read to the other connection."""
        self.other.transport.write(bytes(self._relay.buffer[:nbytes]))

    def pause_writing(self):
        """Stops reading what could not be written here."""
        self.other.hold()

    def resume_writing(self):
        """Reads again."""
        self.other.release()

    def hold(self):
        """Stops reading until ``release``."""
        self.transport.pause_reading()

    def release(self):
        """Reads again after ``hold``."""
        self.transport.resume_reading()


class CallerSide(_Side):
    """The connection of the caller.

    Attributes:
        has_answer: Whether anything was written to the caller.
        has_request: Whether anything that the caller has sent was read.
        serve: Function of the transport that serves the connection here after all.
        traffic: The ``ConnectionTraffic``; None to count no bytes.
    """

    __slots__ = ("_closing", "has_answer", "has_request", "serve", "traffic")

    def __init__(self, relay, serve):
        super().__init__(relay)
        self.serve = serve
        self._closing = None
        self.has_answer = False
        self.has_request = False
        self.traffic = relay.link.connection_traffic()

    def buffer_updated(self, nbytes):
        """Passes on a part of the request, or drops what comes after its answer."""
        if self._closing is not None:
            self._closing.drop(nbytes)
            return
        if not self.has_request:
            self.has_request = True
            self._relay.link.add_request(self.traffic)
        if self.traffic is not None:
            self.traffic.add(nbytes)
        super().buffer_updated(nbytes)

    def connection_lost(self, exc):
        """Closes the other connection, which cancels the request there."""
        del exc
        self._relay.remove(self)
        self._relay.link.end_request(self.traffic)
        if self.other.transport is not None:
            self.other.transport.abort()

    def finish(self):
        """Closes the connection once what was written has been sent."""
        transport = self.transport
        # How much of the request the other gateway has read is not known.
        self._closing = LingeringTransport(transport, lambda: True)
        self._closing.close()
        if transport.get_write_buffer_size():
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_TIMEOUT_S, transport.abort)


class GatewaySide(_Side):
    """The connection to the other gateway.

    Each event of a stream is written at once: joining those of 40 ms costs as much
    processor time as it saves; see ``docs/design/gateway_load.md``.
    """

    __slots__ = ()

    def buffer_updated(self, nbytes):
        """Passes on a part of the answer."""
        self.other.has_answer = True
        if self.other.traffic is not None:
            self.other.traffic.add(nbytes)
        super().buffer_updated(nbytes)

    def connection_lost(self, exc):
        """Ends the connection of the caller, or serves it here after all."""
        del exc
        if self.other is not None:
            self._relay.end_relayed(self.other)


class ConnectionRelay:
    """Takes over new connections and relays them.

    Args:
        runtime: The process's ``Runtime``.
        deadline: Function that returns a cancel scope of so many seconds, such as
            ``LoopWatch.deadline``: the gateway that relays is late itself, which says
            nothing about the others.
        max_connections: Number of connections that the process may have to its ports.
        choose: Function that returns the relay address for a new connection, or None
            if it is to be served here.
        record_failure: Function of a relay address that could not be reached.
        link: The ``LinkLoad``.

    Attributes:
        buffer: View of the bytes that a connection has just read.
        link: As above.
    """

    __slots__ = (
        "_callers",
        "_choose",
        "_connecting",
        "_deadline",
        "_has_stopped",
        "_max_connections",
        "_record_failure",
        "_runtime",
        "_timed_out",
        "buffer",
        "link",
    )

    def __init__(
        self, runtime, deadline, max_connections, choose, record_failure, link
    ):
        self._runtime = runtime
        self._deadline = deadline
        self._choose = choose
        self._record_failure = record_failure
        self._timed_out = {}
        self._max_connections = min(
            MAX_CONNECTIONS, int(max_connections * RELAYED_PART)
        )
        self._callers = set()
        self._connecting = set()
        self._has_stopped = False
        self.link = link
        self.buffer = memoryview(bytearray(READ_BYTES))
        runtime.metrics.watch("relay.in_progress", lambda: len(self._callers))

    @property
    def in_progress(self):
        """Number of relayed connections with a request."""
        return sum(caller.has_request for caller in self._callers)

    def take_over(self, transport, serve):
        """Takes over a new connection, of which nothing has been read.

        Args:
            transport: Its transport.
            serve: Function that serves it here after all.

        Returns:
            Whether it is taken over.
        """
        if self._has_stopped or len(self._callers) >= self._max_connections:
            return False
        address = self._choose()
        if address is None:
            return False
        caller, gateway = CallerSide(self, serve), GatewaySide(self)
        caller.other, gateway.other = gateway, caller
        caller.connection_made(transport)
        caller.hold()
        transport.set_protocol(caller)
        self._callers.add(caller)
        task = asyncio.ensure_future(self._connect(caller, address))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return True

    def stop(self):
        """Relays nothing more; what is relayed goes on."""
        self._has_stopped = True

    def close_idle(self):
        """Serves the relayed connections without a request here.

        One may have arrived that was not read, which is answered so.
        """
        for caller in list(self._callers):
            if not caller.has_request:
                self._take_back(caller)

    def end_relayed(self, caller):
        """Ends the connection of a caller whose other connection has ended."""
        if caller in self._callers and not caller.has_request:
            self._take_back(caller)
        else:
            caller.finish()

    def _take_back(self, caller):
        """Serves a connection here, of which nothing was relayed."""
        self._callers.discard(caller)
        gateway = caller.other
        # Its end, which may still come, does not concern the caller any more.
        gateway.other = None
        if gateway.transport is not None:
            gateway.transport.abort()
        if not caller.transport.is_closing():
            caller.serve(caller.transport)
            caller.transport.resume_reading()

    def end(self):
        """Closes all relayed connections, with an error where nothing was answered."""
        for caller in list(self._callers):
            if caller.has_request and not caller.has_answer:
                caller.transport.write(UNANSWERED)
                # Its end ends the connection of the caller after that.
                caller.other.transport.abort()
            else:
                caller.transport.abort()

    def remove(self, caller):
        """Forgets a relayed connection that is closed."""
        self._callers.discard(caller)

    async def _connect(self, caller, address):
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        gateway = caller.other
        try:
            with self._deadline(CONNECT_TIMEOUT_S) as scope:
                await loop.create_connection(lambda: gateway, host, int(port))
            if scope.cancelled_caught:
                raise TimeoutError
        except (OSError, OverflowError, TimeoutError, ValueError) as error:
            self._record_unreachable(address, error)
            if caller in self._callers:
                self._take_back(caller)
            return
        if caller not in self._callers or caller.transport.is_closing():
            gateway.transport.abort()
            return
        self._runtime.metrics.count("relay.connections")
        caller.release()

    def _record_unreachable(self, address, error):
        self._judge(address, error)
        self._runtime.metrics.count("relay.unreachable")
        _log.warning(
            "A gateway cannot be reached; its connection is served here.",
            gateway=address,
            error=str(error) or type(error).__name__,
        )

    def _judge(self, address, error):
        """Leaves a gateway out unless this VM's own link delays all connections."""
        if isinstance(error, TimeoutError):
            now = self._runtime.now()
            self._timed_out = {
                other: at
                for other, at in self._timed_out.items()
                if now - at < OWN_LINK_WINDOW_S
            }
            has_others = bool(self._timed_out.keys() - {address})
            self._timed_out[address] = now
            if has_others:
                return
        self._record_failure(address)
