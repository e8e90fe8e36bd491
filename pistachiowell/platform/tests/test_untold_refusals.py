"""A server answers with the status of a refusal and does not say that it has not run.

Guards against requests that run twice, as their callers send them again after 408, 429
and 503.
"""

import msgspec
import pytest

from pistachiowell.platform.standins import head

pytestmark = pytest.mark.anyio


def answer(status):
    """Returns a script that answers with a status, after it has run the request."""

    async def script(request, stream):
        text = head(request, f"{status} Odd", Content_Length="2")
        await stream.send((text + "\r\nno").encode())
        return True

    return script


async def send(start_rig, path, status):
    """Returns the status, the headers and the body of an answer to a caller."""
    async with start_rig() as rig:
        for service in ("desk", "pool"):
            await rig.add_server(service, service, answer(status))
        await rig.add_agent("agent-1")
        await rig.add_gateway()
        is_chat = path.startswith("/long")
        return await (rig.send_chat(path) if is_chat else rig.send(path, "POST"))


@pytest.mark.parametrize("path", ["/book/a", "/long/a"])
@pytest.mark.parametrize("status", [408, 429, 503])
async def test_caller_is_told_that_a_request_has_not_run(start_rig, path, status):
    answered, headers, body = await send(start_rig, path, status)
    assert (answered, msgspec.json.decode(body)["ran"]) == (502, "unknown")
    assert b"retry-after" not in headers


@pytest.mark.parametrize(
    ("path", "status"), [("/read/a", 429), ("/read/a", 503), ("/book/a", 500)]
)
async def test_other_answer_is_replaced(start_rig, path, status):
    answered, _, body = await send(start_rig, path, status)
    assert (answered, body) == (status, b"no")
