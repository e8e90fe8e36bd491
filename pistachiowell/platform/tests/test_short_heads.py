"""A server stops in the middle of the head of its answer and closes.

Guards against a 200 with an empty or short body that looks complete, and against a
promise that the request has not run.
"""

import msgspec
import pytest

from pistachiowell.platform.standins import head

pytestmark = pytest.mark.anyio

LENGTH = {"Content_Length": "2"}
CHUNKED = {"Transfer_Encoding": "chunked"}
CLOSING = {"Connection": "close"}


def cut_head(share, fields):
    """Returns a script that sends a share of a head and closes the connection."""

    async def script(request, stream):
        data = (head(request, **fields) + "\r\n").encode()
        await stream.send(data[: min(len(data) - 1, int(share * len(data)))])
        return False

    return script


@pytest.mark.parametrize("fields", [LENGTH, CHUNKED, CLOSING])
@pytest.mark.parametrize("share", [0.02, 0.2, 0.5, 0.8, 1.0])
@pytest.mark.parametrize("path", ["/read/a", "/book/a", "/chat/a"])
async def test_answer_that_ends_in_its_head_is_no_success(
    start_rig, path, share, fields
):
    service = "pool" if path.startswith("/chat") else "desk"
    async with start_rig() as rig:
        await rig.add_server("server-1", service, cut_head(share, fields))
        await rig.add_gateway()
        status, headers, body = await rig.send(path)
    assert status == 502
    assert msgspec.json.decode(body)["ran"] == "unknown"
    assert int(headers[b"content-length"]) == len(body)
