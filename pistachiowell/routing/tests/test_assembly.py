"""Each caller gets exactly the bytes of one attempt, whole or clearly broken."""

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from pistachiowell.routing import ASSEMBLERS, Broken, Deliver, Finished

NAIVE = settings(phases=[Phase.generate], report_multiple_bugs=False)


def play(name, data):
    assembler = ASSEMBLERS.find(name)()
    bodies, events, got, ended = {}, [], b"", None
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
            number, offset, part = data.draw(st.sampled_from(events))
            if part is None:
                actions = assembler.end(number, offset)
            else:
                actions = assembler.add_chunk(number, offset, part)
        else:
            actions = assembler.fail(data.draw(st.integers(1, attempt)), "lost")
        for action in actions:
            assert ended is None, "nothing follows the end"
            if isinstance(action, Deliver):
                got += action.data
            else:
                assert isinstance(action, Finished | Broken)
                ended = action
        assert any(body.startswith(got) for body in bodies.values())
        assert len(got) == assembler.delivered_bytes
        if isinstance(ended, Finished):
            assert got in bodies.values()
            assert got == bodies[got[0]] if got else True


@given(st.data())
def test_offsets_hold_against_late_repeated_and_reordered_chunks(data):
    play("offsets", data)


def test_appending_does_not():
    with pytest.raises(AssertionError):
        NAIVE(given(st.data())(lambda data: play("append", data)))()
