"""A faulty server that writes each answer twice."""

import anyio
import httptools


class DoubleAnswers:
    """Answers the requests on each connection with their numbers, twice.

    Attributes:
        delay_s: Seconds between the two answers; 0 writes them together.
        port: TCP port; 0 before ``serve`` listens.
        requests: Number of requests received.
    """

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.port = 0
        self.requests = 0

    async def serve(self, *, task_status):
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._answer_all)

    async def _answer_all(self, stream):
        async with stream:
            parser = httptools.HttpRequestParser(self)
            received = 0
            try:
                while True:
                    parser.feed_data(await stream.receive())
                    if received < self.requests:
                        received = self.requests
                        await self._answer(stream, b"%d" % received)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    def on_message_complete(self):
        """Counts a request."""
        self.requests += 1

    async def _answer(self, stream, body):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        if self.delay_s:
            await stream.send(answer)
            await anyio.sleep(self.delay_s)
            await stream.send(answer)
        else:
            await stream.send(answer * 2)
