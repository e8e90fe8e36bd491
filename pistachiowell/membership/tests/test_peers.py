"""A peer is usable only while its present incarnation is linked, heard and staying.

Otherwise new work would go to a process that is frozen, was replaced or is leaving.
"""

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
    peers = PeerTable(SETTINGS)
    now, current, last_heartbeat, linked = 0.0, 0, -10.0, False
    left, replaced, vm_left = set(), set(), False
    for kind, run, step, flag in history:
        now += step
        name = f"run-{run}"
        if kind == "connect":
            accepted = peers.record_connection("p", name, now)
            # An incarnation that was replaced is rejected for ever.
            assert accepted == (run not in replaced)
            if accepted:
                replaced |= {current} - {run}
                current, last_heartbeat, linked = run, now, True
        elif kind == "hear":
            peers.record_heartbeat("p", name, now)
            last_heartbeat = now if run == current else last_heartbeat
        elif kind == "leave":
            peers.record_leaving("p", name)
            left |= {run} & {current}
        elif kind == "lose":
            peers.record_disconnection("p", name)
            linked = linked and run != current
        else:
            peers.apply_vm_list({"h"} if flag else set(), {"p": "h"})
            vm_left = flag
        expected = (
            linked
            and now - last_heartbeat <= SETTINGS.silence_s
            and current not in left
            and not vm_left
        )
        assert peers.usable("p", now) == expected
        assert not (peers.usable("p", now) and peers.peers_to_disconnect(now))
