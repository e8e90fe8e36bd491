"""A gateway at its limit with requests of several ranks.

Guards against urgent requests that are refused while others are served, against ranks
and accounts that get nothing, and against refused callers that come back together.
"""

import random
from collections import Counter

import pytest

from pistachiowell.admission import (
    OVERLOAD_POLICIES,
    OverloadSettings,
    PeerRooms,
    PeerRoomSettings,
)

STEP_S = 0.01
WARM_UP_S = 1.0
LENGTH_S = 6.0
CAPACITY_PER_S = 50.0


def play(demands, peers=None):
    """Plays demands by rank and account at a gateway with a fixed capacity.

    Returns:
        Admitted shares and the delays of the refused ones, by rank and account.
    """
    rng = random.Random(1)
    policy = OVERLOAD_POLICIES.find("ranked_share")(OverloadSettings(), peers, rng)
    came, admitted, delays = Counter(), Counter(), {}
    now, backlog = 0.0, 0.0
    while now < LENGTH_S:
        now += STEP_S
        backlog = max(0.0, backlog - CAPACITY_PER_S * STEP_S)
        policy.record_transit(backlog / CAPACITY_PER_S, now)
        for (rank, account), rate in demands.items():
            if rng.random() < rate * STEP_S:
                wait_s = policy.wait_s(account, now, rank)
                backlog += not wait_s
                if now > WARM_UP_S:
                    came[rank, account] += 1
                    admitted[rank, account] += not wait_s
                    if wait_s:
                        delays.setdefault(rank, []).append(wait_s)
    return {key: admitted[key] / came[key] for key in came}, delays


def test_urgent_requests_are_served_and_no_rank_is_starved():
    demands = {(0, "a"): 30.0, (1, "b"): 30.0, (2, "c"): 60.0}
    shares, _ = play(demands)
    assert shares[0, "a"] > 0.9
    assert shares[1, "b"] > shares[2, "c"]
    assert shares[2, "c"] > 0.02


def test_accounts_of_a_rank_share_it_fairly():
    shares, _ = play({(1, "surge"): 90.0, (1, "usual"): 10.0, (2, "usual"): 10.0})
    assert shares[1, "usual"] > 0.85
    assert shares[1, "surge"] < 0.6


def test_refused_callers_come_back_spread_and_the_urgent_first():
    _, delays = play({(0, "a"): 90.0, (1, "b"): 90.0})
    means = {rank: sum(found) / len(found) for rank, found in delays.items()}
    assert means[0] < means[1]
    for found in delays.values():
        assert max(found) > 1.3 * min(found)


@pytest.mark.parametrize(("room_per_s", "is_short"), [(500.0, True), (5.0, False)])
def test_refused_callers_come_back_at_once_if_others_can_take_all(room_per_s, is_short):
    peers = PeerRooms(PeerRoomSettings())
    peers.record("10.0.0.2:1", room_per_s, LENGTH_S)
    _, delays = play({(1, "a"): 150.0}, peers)
    late = delays[1][len(delays[1]) // 2 :]
    assert all((0.05 <= delay <= 0.075) == is_short for delay in late)
