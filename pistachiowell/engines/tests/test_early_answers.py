"""A server answers a long upload at once and ends, or sends a status that is none.

Guards against a part of a body, or no answer at all, that is taken for a whole answer.
"""

import anyio
import pytest

from pistachiowell.core.errors import MAY_HAVE_RUN, ServerFailed
from pistachiowell.engines import HttpBackend
from pistachiowell.standins.early import (
    EarlyServer,
    close_unread,
    read_after_end,
    reset,
    reset_after_end,
    reset_later,
    reset_soon_after_end,
)

pytestmark = pytest.mark.anyio

PART = b"a" * 3_000
UPLOAD = b"u" * 200_000
# The server's kernel has all of it before the answer begins.
SHORT_UPLOAD = b"u" * 1_000


async def exchange(answer, end, upload=UPLOAD):
    """Returns the status and body of the answer to an upload, or its error."""
    server = EarlyServer(lambda head: answer, end)
    async with anyio.create_task_group() as group:
        await group.start(server.serve)
        backend = HttpBackend(f"http://127.0.0.1:{server.port}")
        try:
            async with backend.request("POST", "/x", {}, upload) as response:
                parts = [part async for part in response.chunks()]
                result = response.status, b"".join(parts)
        except ServerFailed as error:
            result = error
        await backend.aclose()
        group.cancel_scope.cancel()
    return result


@pytest.mark.parametrize("end", [reset, reset_later, close_unread, reset_after_end])
async def test_part_of_an_answer_is_taken_as_whole(end):
    error = await exchange(b"HTTP/1.1 200 OK\r\n\r\n" + PART, end)
    assert isinstance(error, ServerFailed)
    assert error.ran == MAY_HAVE_RUN


async def test_part_of_an_answer_to_an_unread_request_is_taken_as_whole():
    answer = b"HTTP/1.1 200 OK\r\n\r\n" + PART
    error = await exchange(answer, reset_soon_after_end, SHORT_UPLOAD)
    assert isinstance(error, ServerFailed)
    assert error.ran == MAY_HAVE_RUN


async def test_whole_answer_fails_as_its_server_reads_the_upload_later():
    answer = b"HTTP/1.1 200 OK\r\n\r\n" + PART
    assert await exchange(answer, read_after_end) == (200, PART)


@pytest.mark.parametrize("length", [b"", b"Content-Length: 2\r\n"], ids=len)
@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
async def test_status_of_no_answer_is_passed_on(status, length):
    answer = b"HTTP/1.1 %b Odd\r\n%b\r\nok" % (status, length)
    error = await exchange(answer, read_after_end)
    assert isinstance(error, ServerFailed)
    assert error.ran == MAY_HAVE_RUN
