"""Tests of the hybrid logical clock."""

from hypothesis import given
from hypothesis import strategies as st

from pistachiowell.core.clock import HybridClock, Stamp

stamps = st.builds(Stamp, st.integers(0, 50), st.integers(0, 5))


@given(st.lists(st.tuples(st.integers(0, 50), st.none() | stamps), max_size=30))
def test_stamps_grow_and_pass_what_was_observed(steps):
    wall_ns = 0
    clock = HybridClock(lambda: wall_ns)
    last = Stamp(0, 0)
    for reading, received in steps:
        wall_ns = reading
        stamp = clock.tick() if received is None else clock.observe(received)
        assert stamp > last
        assert received is None or stamp > received
        last = stamp
