"""A race of two attempts at the moments in which one of them ends.

Guards against an answer that is ready and lost, as the deadline passes while the other
attempt still ends.
"""

import anyio
import pytest

from pistachiowell.gateway.requests.race import Race

pytestmark = pytest.mark.anyio


async def test_answer_is_lost_as_the_deadline_passes_behind_it():
    async def answer(lane):
        await lane.claim("head", b"answer")
        scope.cancel()

    async def end_slowly(lane):
        try:
            await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.sleep(0.02)

    sent = []
    race = Race(anyio.current_time, lambda error: None)
    first, second = race.lane(), race.lane()
    with anyio.CancelScope() as scope:
        async with race.task_group() as group:
            group.start_soon(first.run, end_slowly)
            await anyio.sleep(0)
            await second.run(answer)
        sent.append(race.answer)
    assert sent == [("head", b"answer")]
    assert not scope.cancelled_caught
    assert race.errors == []
