"""HTTP protocol class for uvicorn that limits what a caller sends beside bodies."""

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

WRITE_BUFFER_BYTES = 4096

_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-type: application/json\r\n"
    b"connection: close\r\n"
    b"content-length: %d\r\n\r\n%b"
)


def bounded_protocol(max_header_bytes, body, take_over=None):
    """Returns a protocol class that refuses requests with too large headers.

    uvicorn's own httptools protocol buffers headers and trailers without a limit, so a
    caller that sends them without end would exhaust the memory of the process.

    Args:
        max_header_bytes: Largest head of a request in bytes.
        body: JSON body of the refusal as bytes.
        take_over: Function of the transport of a new connection and of a function
            that serves it here after all; returns whether it takes the connection
            over. None to serve all connections here.

    Returns:
        A class for ``uvicorn.Config(http=...)``.
    """

    class BoundedProtocol(HttpToolsProtocol):
        """Counts the bytes that belong to no body, until a head or body part ends."""

        def __init__(self, *args, **kwargs):
            super().__init__(*args, **kwargs)
            self._other_bytes = 0

        def connection_made(self, transport):
            """Limits the connection's write buffer.

            A small buffer makes writes wait for the caller early, so that flow control
            reaches the agent and the memory per caller stays bounded.
            """
            transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
            if take_over is None or not take_over(transport, self.serve):
                super().connection_made(transport)

        def serve(self, transport):
            """Serves a connection that was taken over, of which nothing was read."""
            transport.set_protocol(self)
            super().connection_made(transport)

        def on_message_begin(self):
            """Starts counting the header bytes of a request."""
            self._is_in_head = True
            super().on_message_begin()

        def on_headers_complete(self):
            """Stops counting the header bytes of a request."""
            self._is_in_head = False
            self._has_ended_part = True
            super().on_headers_complete()

        def on_header(self, name, value):
            """Stores a header, and drops a trailer."""
            if self._is_in_head:
                super().on_header(name, value)

        def on_body(self, body):
            """Stores a part of a body."""
            self._has_ended_part = True
            super().on_body(body)

        def data_received(self, data):
            """Parses data of the caller; refuses a head or trailers without end."""
            self._has_ended_part = False
            super().data_received(data)
            if self._has_ended_part:
                self._other_bytes = 0
                return
            self._other_bytes += len(data)
            if self._other_bytes <= max_header_bytes or self.transport.is_closing():
                return
            if self._is_in_head:
                self.transport.write(_TOO_LARGE % (len(body), body))
            self.transport.close()

        _has_ended_part = False
        _is_in_head = True

    return BoundedProtocol
