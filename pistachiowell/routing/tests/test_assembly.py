"""Each caller gets exactly the bytes of one attempt, or an error.

Guards against chunks that arrive late, twice or out of order, or from an earlier
attempt, and would be mixed into the answer.
"""

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from pistachiowell.routing import ASSEMBLERS, Broken, Deliver, Finished

NAIVE = settings(phases=[Phase.generate], report_multiple_bugs=False)


def run_assembler(name, data):
    assembler = ASSEMBLERS.find(name)()
    bodies, events, received, ended = {}, [], b"", None
    attempt = 0
    for _ in range(data.draw(st.integers(1, 40))):
        step = data.draw(st.sampled_from(["begin", "event", "event", "event", "fail"]))
        actions = []
        if step == "begin" or not attempt:
            attempt += 1
            body = bytes([attempt]) * data.draw(st.integers(0, 6))
            bodies[attempt] = body
            cuts = [
                (attempt, first, body[first:last])
                for first in range(len(body))
                for last in range(first + 1, len(body) + 1)
            ]
            events += cuts + [(attempt, len(body), None)]
            actions = assembler.begin(attempt)
        elif step == "event":
            number, offset, chunk = data.draw(st.sampled_from(events))
            if chunk is None:
                actions = assembler.end(number, offset)
            else:
                actions = assembler.add_chunk(number, offset, chunk)
        else:
            actions = assembler.fail(data.draw(st.integers(1, attempt)), "lost")
        for action in actions:
            assert ended is None, "nothing follows the end"
            if isinstance(action, Deliver):
                received += action.data
            else:
                assert isinstance(action, Finished | Broken)
                ended = action
        assert any(body.startswith(received) for body in bodies.values())
        assert len(received) == assembler.delivered_bytes
        if isinstance(ended, Finished):
            assert received in bodies.values()
            assert received == bodies[received[0]] if received else True


@given(st.data())
def test_offsets_hold_against_late_repeated_and_reordered_chunks(data):
    run_assembler("offsets", data)


def test_appending_does_not():
    with pytest.raises(AssertionError):
        NAIVE(given(st.data())(lambda data: run_assembler("append", data)))()
