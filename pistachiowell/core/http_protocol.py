"""HTTP protocol class for uvicorn that limits what a caller sends and leaves unread."""

import httptools

from pistachiowell.core.clients import default_clients
from pistachiowell.core.closing_protocol import ClosingProtocol
from pistachiowell.core.connection_order import Stage
from pistachiowell.core.keep_alive import KEEP_ALIVE
from pistachiowell.core.read_gate import ReadGate
from pistachiowell.core.refusals import INVALID, LEAVING, NO_ROOM, TOO_SLOW, refusal
from pistachiowell.core.traffic import ConnectionTraffic, CountedTransport

WRITE_BUFFER_BYTES = 4096
# The parser sees no more at once, so that a head over the limit is never kept whole.
PIECE_BYTES = 16_384
# Memory of the objects of one header line, here and in the request to the server.
LINE_COST_BYTES = 512
# Key of the ``ConnectionTraffic`` in the scope of a request.
TRAFFIC = "pistachiowell.traffic"


class _StopParsingError(Exception):
    """Ends the parsing of a connection from a callback of the parser."""


def bounded_protocol(
    max_header_bytes, body, clients=None, take_over=None, traffic=None
):
    """Returns a protocol class that bounds what each connection costs.

    uvicorn's own httptools protocol buffers headers and trailers without a limit, and
    parses requests that follow each other on a connection before they are answered, so
    a caller that sends them without end would exhaust the memory of the process.

    A request that comes before the answer to the one before it is not read; the
    connection is closed after that answer.

    Args:
        max_header_bytes: Largest head of a request in bytes.
        body: JSON body of the refusal as bytes.
        clients: The ``Clients`` of the process; None for some of its own.
        take_over: Function of the transport of a new connection and of a function
            that serves it here after all; returns whether it takes the connection
            over. None to serve all connections here.
        traffic: The ``Traffic`` of the process; None to count no bytes.

    Returns:
        A class for ``uvicorn.Config(http=...)``.
    """
    if clients is None:
        clients = default_clients()
    too_large = refusal(431, body)

    class BoundedProtocol(ClosingProtocol):
        """Counts what a connection holds, and tells ``clients`` what it does.

        Attributes:
            checked_bytes: Bytes of an answer that were unread at the last check.
        """

        def __init__(self, *args, **kwargs):
            super().__init__(clients.close_log, *args, **kwargs)
            self._other_bytes = 0
            self._body_bytes = 0
            self._head_bytes = 0
            self._lines = 0
            self._has_ended_part = False
            self._reported = Stage.silent, 0
            self._traffic = None
            self.checked_bytes = float("inf")

        @property
        def unsent_bytes(self):
            """Bytes of answers that the client's kernel has not taken."""
            return self.transport.unsent_bytes

        def connection_made(self, transport):
            """Limits the connection's write buffer and reads.

            A small buffer makes writes wait for the caller early, so that flow control
            reaches the agent and the memory per caller stays bounded.
            """
            transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
            if take_over is None or not take_over(transport, self.serve):
                self._begin(transport)

        def serve(self, transport):
            """Serves a connection that was taken over, of which nothing was read."""
            transport.set_protocol(self)
            self._begin(transport)

        def _begin(self, transport):
            super().connection_made(transport)
            self.flow = ReadGate(transport, self.loop)
            if traffic is not None:
                self._traffic = ConnectionTraffic(traffic)
                self.transport = CountedTransport(self.transport, self._traffic)
            clients.add(self)

        def connection_lost(self, exc):
            """Gives back what the connection held."""
            clients.remove(self)
            super().connection_lost(exc)

        def on_message_begin(self):
            """Starts counting the header bytes of a request."""
            if self._is_answering:
                self._refuse_request_ahead()
            self._is_in_head = self._is_in_message = True
            self._lines = 0
            super().on_message_begin()
            if self._traffic is not None:
                self.scope[TRAFFIC] = self._traffic

        def _refuse_request_ahead(self):
            self._has_request_ahead = True
            self.cycle.keep_alive = False
            self.scope.pop(KEEP_ALIVE, None)
            self.flow.shut()
            clients.record_close("pipelined")
            raise _StopParsingError

        def on_header(self, name, value):
            """Stores a header, and drops a trailer."""
            if not self._is_in_head:
                return
            self._lines += 1
            if self._lines > clients.limits.header_lines:
                self._end("head_too_large", too_large)
                raise _StopParsingError
            super().on_header(name, value)

        def on_headers_complete(self):
            """Starts the request if there is room for its head."""
            self._head_bytes = self._lines * LINE_COST_BYTES
            self._report(Stage.head)
            if self.transport.is_closing():
                raise _StopParsingError
            self._is_in_head = False
            self._has_ended_part = True
            super().on_headers_complete()

        def on_body(self, body):
            """Stores a part of a body."""
            self._has_ended_part = True
            if self._is_answering:
                self._body_bytes += len(body)
            super().on_body(body)

        def on_message_complete(self):
            """Records the end of a request, for which a close may have waited."""
            self._is_in_message = False
            super().on_message_complete()
            if self.transport.is_lingering:
                self.transport.close_now()

        def on_response_complete(self):
            """Releases what the request held."""
            self._body_bytes = self._head_bytes = 0
            self.flow.record_request()
            super().on_response_complete()
            self._report(self._stage())

        def pause_writing(self):
            """Records that the client does not read its answer."""
            super().pause_writing()
            self.checked_bytes = self.unsent_bytes
            self._report(Stage.stalled)

        def resume_writing(self):
            """Records that the client has read its answer so far."""
            super().resume_writing()
            self._report(self._stage())

        def data_received(self, data):
            """Parses data of the caller; refuses a head or trailers without end."""
            if self._traffic is not None:
                self._traffic.add(len(data))
            self._active_at = self.loop.time()
            if self.transport.is_lingering:
                self._drop(data)
                return
            for start in range(0, len(data), PIECE_BYTES):
                if self._has_request_ahead or self.transport.is_closing():
                    return
                self._parse(data[start : start + PIECE_BYTES])
            if not self.transport.is_closing():
                self._report(self._stage())
                self.flow.record_read(len(data))

        def _drop(self, data):
            """Drops the rest of a request that was answered before its end."""
            self.transport.drop(len(data))
            if self._is_in_message and not self._has_request_ahead:
                self._parse(data)
            elif not self._has_request_ahead:
                self.record_crossed()

        def _parse(self, piece):
            self._has_ended_part = False
            self._unset_keepalive_if_required()
            try:
                self.parser.feed_data(piece)
            except httptools.HttpParserError:
                # A callback may have ended the connection.
                if not self._has_request_ahead:
                    self._end("invalid", INVALID)
            except httptools.HttpParserUpgrade:
                pass  # The request is served without the upgrade.
            if self._has_ended_part:
                self._other_bytes = 0
                return
            self._other_bytes += len(piece)
            if self._other_bytes > max_header_bytes:
                self._end("head_too_large", too_large if self._is_in_head else b"")

        def give_way(self, reason):
            """Closes the connection; refuses its request if no server can have it.

            Args:
                reason: Reason of ``Clients``.
            """
            self._close_reason = reason
            stage = self._stage()
            self._refuse_begun(TOO_SLOW if reason.endswith("timeout") else NO_ROOM)
            if self.transport.get_write_buffer_size() or stage is Stage.stalled:
                self.transport.abort()
            self.transport.close_now()

        def finish(self):
            """Closes the connection as the process ends; refuses what cannot run."""
            self._close_reason = "stop"
            self._refuse_begun(LEAVING)
            self.transport.close_now()

        def _refuse_begun(self, answer):
            """Closes the connection with a refusal if a request has begun to come."""
            if self.transport.is_closing():
                return
            stage = self._stage()
            is_unread = stage in (Stage.silent, Stage.idle) and self._unread_bytes > 0
            if is_unread or stage in (Stage.head, Stage.body):
                self._end(None, answer)

        def _end(self, reason, answer):
            """Closes the connection at once with an answer of its own."""
            if self.transport.is_closing():
                return
            if reason is not None:
                self._close_reason = reason
                clients.record_close(reason)
            if not self._is_answering:
                self._refuse(answer)
            elif self.cycle.more_body and not self.cycle.response_started:
                # The application has not the whole body, so nothing has run.
                self._refuse(answer)
                self.cycle.disconnected = True
                self.cycle.message_event.set()
            self.transport.close_now()

        def _report(self, stage):
            held_bytes = self._body_bytes + self._head_bytes
            if stage is Stage.stalled:
                held_bytes += self.transport.get_write_buffer_size()
            elif stage is Stage.head:
                held_bytes = self._other_bytes + self._lines * LINE_COST_BYTES
            if (stage, held_bytes) != self._reported:
                self._reported = stage, held_bytes
                clients.update(self, stage, held_bytes)

    return BoundedProtocol
