"""A peer gets new work only while its present run is linked, heard and staying."""

from hypothesis import given
from hypothesis import strategies as st

from pistachiowell.membership import MembershipSettings, PeerTable

SETTINGS = MembershipSettings()
steps = st.tuples(
    st.sampled_from(["connect", "hear", "leave", "lose", "vms"]),
    st.integers(1, 3),
    st.floats(0.0, 2.0),
    st.booleans(),
)


@given(st.lists(steps, max_size=40))
def test_usable_agrees_with_the_history(history):
    book = PeerTable(SETTINGS)
    now, current, heard, linked = 0.0, 0, -10.0, False
    left, replaced, vm_left = set(), set(), False
    for kind, run, step, flag in history:
        now += step
        name = f"run-{run}"
        if kind == "connect":
            accepted = book.record_connection("p", name, now)
            # A run that was followed by another one never comes back.
            assert accepted == (run not in replaced)
            if accepted:
                replaced |= {current} - {run}
                current, heard, linked = run, now, True
        elif kind == "hear":
            book.record_heartbeat("p", name, now)
            heard = now if run == current else heard
        elif kind == "leave":
            book.record_leaving("p", name)
            left |= {run} & {current}
        elif kind == "lose":
            book.record_disconnection("p", name)
            linked = linked and run != current
        else:
            book.apply_vm_list({"h"} if flag else set(), {"p": "h"})
            vm_left = flag
        expected = (
            linked
            and now - heard <= SETTINGS.silence_s
            and current not in left
            and not vm_left
        )
        assert book.usable("p", now) == expected
        assert not (book.usable("p", now) and book.peers_to_disconnect(now))
