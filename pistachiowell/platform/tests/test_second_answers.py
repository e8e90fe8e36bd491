"""A faulty server writes a second answer right after the first one.

Guards against requests that fail, although their server ran them and answered: the
gateway read what an earlier answer had left on a kept connection.
"""

import anyio
import pytest

from pistachiowell.platform.standins import head

pytestmark = pytest.mark.anyio

REQUESTS = 12


def answer_twice(*, names_request, delay_s=0.0):
    """Returns a script that answers each request twice on its connection."""

    async def answer(request, stream):
        first = head(request, Content_Length="2") + "\r\nok"
        more = {} if names_request else {"Pistachiowell_Attempt_Id": ""}
        second = head(request, "500 Failed", Content_Length="2", **more) + "\r\nno"
        if not delay_s:
            await stream.send((first + second).encode())
        else:
            await stream.send(first.encode())
            await anyio.sleep(delay_s)
            await stream.send(second.encode())
        return True

    return answer


@pytest.mark.parametrize("names_request", [True, False])
@pytest.mark.parametrize("delay_s", [0.0, 0.02])
async def test_bytes_after_an_answer_fail_the_next_request(
    start_rig, names_request, delay_s
):
    script = answer_twice(names_request=names_request, delay_s=delay_s)
    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk", script)
        await rig.add_agent("agent-1")
        await rig.add_gateway()
        answers = []
        for _ in range(REQUESTS):
            answers.append(await rig.send("/book/a", "POST", b"x"))
            await anyio.sleep(0.05)
    assert [(status, body) for status, _, body in answers] == [(200, b"ok")] * REQUESTS
