"""A faulty backend server writes each answer twice.

Guards against callers that get the answer to another request.
"""

import anyio
import pytest

from pistachiowell.engines import HttpBackend
from pistachiowell.standins.double_answers import DoubleAnswers

pytestmark = pytest.mark.anyio

REQUESTS = 6


@pytest.mark.parametrize("delay_s", [0.0, 0.01])
async def test_copy_of_an_answer_is_the_next_one(delay_s):
    server, bodies = DoubleAnswers(delay_s), []
    async with anyio.create_task_group() as group:
        await group.start(server.serve)
        backend = HttpBackend(f"http://127.0.0.1:{server.port}")
        for _ in range(REQUESTS):
            async with backend.request("POST", "/x", {}, b"y") as response:
                bodies.append(b"".join([part async for part in response.chunks()]))
            await anyio.sleep(5 * delay_s)
        await backend.aclose()
        group.cancel_scope.cancel()
    assert bodies == [b"%d" % number for number in range(1, REQUESTS + 1)]
