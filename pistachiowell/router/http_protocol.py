"""HTTP protocol class for uvicorn that limits the size of request headers."""

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

WRITE_BUFFER_BYTES = 4096

_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-type: application/json\r\n"
    b"connection: close\r\n"
    b"content-length: %d\r\n\r\n%b"
)


def bounded_protocol(max_header_bytes, body):
    """Returns a protocol class that refuses requests with too large headers.

    uvicorn's own httptools protocol buffers headers without a limit, so a caller that
    sends headers without end would exhaust the memory of the process.

    Args:
        max_header_bytes: Largest head of a request in bytes.
        body: JSON body of the refusal as bytes.

    Returns:
        A class for ``uvicorn.Config(http=...)``.
    """

    class BoundedProtocol(HttpToolsProtocol):
        """Counts the bytes of a request's head until it is complete."""

        def __init__(self, *args, **kwargs):
            super().__init__(*args, **kwargs)
            self._head_bytes = 0

        def connection_made(self, transport):
            """Limits the connection's write buffer.

            A small buffer makes writes wait for the caller early, so that flow control
            reaches the agent and the memory per caller stays bounded.
            """
            transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
            super().connection_made(transport)

        def on_message_begin(self):
            """Starts counting the header bytes of a request."""
            self._is_in_head = True
            super().on_message_begin()

        def on_headers_complete(self):
            """Stops counting the header bytes of a request."""
            self._is_in_head = False
            self._head_bytes = 0
            super().on_headers_complete()

        def data_received(self, data):
            """Parses data of the caller and refuses a head that is too large."""
            super().data_received(data)
            if not self._is_in_head:
                return
            self._head_bytes += len(data)
            if self._head_bytes > max_header_bytes and not self.transport.is_closing():
                self.transport.write(_TOO_LARGE % (len(body), body))
                self.transport.close()

        _is_in_head = True

    return BoundedProtocol
