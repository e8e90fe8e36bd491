"""A store, or what is between, writes each answer twice.

Guards against reads that return what another call has asked for, and against writes
that count as applied and are not.
"""

import anyio
import pytest

from pistachiowell.standins.double_answers import DoubleAnswers
from pistachiowell.store.calls import StoreCalls

pytestmark = pytest.mark.anyio

CALLS = 6


@pytest.mark.parametrize("delay_s", [0.0, 0.01])
async def test_copy_of_an_answer_is_the_next_one(delay_s):
    server, bodies = DoubleAnswers(delay_s), []
    async with anyio.create_task_group() as group:
        await group.start(server.serve)
        calls = StoreCalls(f"http://127.0.0.1:{server.port}", 2.0)
        for _ in range(CALLS // 2):
            bodies.append((await calls.read("a"))[1])
            await anyio.sleep(5 * delay_s)
            bodies.append(await calls.write("PUT", "b", b"{}"))
            await anyio.sleep(5 * delay_s)
        await calls.aclose()
        group.cancel_scope.cancel()
    assert bodies == [b"%d" % number for number in range(1, CALLS + 1)]
