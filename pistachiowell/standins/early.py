"""Stand-in of a server that answers a long upload before it has read it."""

import asyncio
import socket
import struct

import anyio

# A small buffer, so that most of an upload is still on its way when the answer comes.
RECEIVE_BUFFER_BYTES = 4_096
# Lingering for a time of zero: closing resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class EarlyServer:
    """Answers each request once its head has come, and then ends the connection.

    Args:
        answer: Function that returns the bytes of the answer to the head of a request.
        end: Async function of the socket that ends the connection; what it returns is
            added to ``uploads``.

    Attributes:
        port: TCP port, once it listens.
        received: Number of heads received.
        uploads: What was read of the requests after the answers.
    """

    def __init__(self, answer, end):
        self._answer = answer
        self._end = end
        self.port = 0
        self.received = 0
        self.uploads = []

    async def serve(self, *, task_status):
        """Serves until cancelled."""
        with socket.socket() as listener:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            self.port = listener.getsockname()[1]
            task_status.started()
            async with anyio.create_task_group() as group:
                while True:
                    loop = asyncio.get_running_loop()
                    sock, _ = await loop.sock_accept(listener)
                    group.start_soon(self._serve_connection, sock)

    async def _serve_connection(self, sock):
        loop = asyncio.get_running_loop()
        with sock:
            sock.setblocking(False)
            data = b""
            while b"\r\n\r\n" not in data:
                # One byte more than the head is not read.
                if not (part := await loop.sock_recv(sock, 1)):
                    return
                data += part
            self.received += 1
            await loop.sock_sendall(sock, self._answer(data))
            self.uploads.append(await self._end(sock))


async def reset(sock):
    """Resets a connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


async def reset_later(sock):
    """Resets a connection while the rest of the upload waits to be read."""
    await anyio.sleep(0.05)
    await reset(sock)


async def close_unread(sock):
    """Closes a connection of which some bytes were not read, which resets it."""
    del sock


async def reset_after_end(sock):
    """Ends the answer, and resets the connection while the upload is on its way."""
    sock.shutdown(socket.SHUT_WR)
    await anyio.sleep(0.05)
    await reset(sock)


async def reset_soon_after_end(sock):
    """Ends the answer, and soon closes the connection with the upload unread."""
    sock.shutdown(socket.SHUT_WR)
    await anyio.sleep(0.02)


async def read_after_end(sock):
    """Ends the answer, then reads the whole upload."""
    sock.shutdown(socket.SHUT_WR)
    await anyio.sleep(0.05)
    data = b""
    loop = asyncio.get_running_loop()
    while part := await loop.sock_recv(sock, RECEIVE_BUFFER_BYTES):
        data += part
    return data


async def read_on(answer, size, sock):
    """Reads the upload after the answer, then answers the next request.

    Args:
        answer: Function that returns the bytes of the answer to the head of a request.
        size: Size of the upload in bytes.
        sock: The socket.

    Returns:
        The upload, and the head of the next request; empty if there is none.
    """
    loop = asyncio.get_running_loop()
    await anyio.sleep(0.1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * RECEIVE_BUFFER_BYTES)
    upload = b""
    while left_bytes := size - len(upload):
        if not (part := await loop.sock_recv(sock, left_bytes)):
            break
        upload += part
    data = b""
    while not data.endswith(b"\r\n\r\n") and (part := await loop.sock_recv(sock, 1)):
        data += part
    if data:
        await loop.sock_sendall(sock, answer(data))
    return upload, data
