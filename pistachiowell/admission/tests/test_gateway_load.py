"""One hot gateway beside idle ones of its data centre.

Guards against a surge of one account that is refused at its gateway while the others
are idle. The model is that of ``docs/design/gateway_load.md``.
"""

import math
import random

import pytest

from pistachiowell.admission import (
    GatewayLoadSettings,
    LoadMeter,
    PeerRooms,
    PeerRoomSettings,
    RelaySettings,
    RelayShare,
)
from pistachiowell.bench.gateway_load import play


@pytest.mark.parametrize("seed", range(3))
def test_surge_at_one_gateway_is_served_by_its_idle_neighbours(seed):
    assert play("relay", seed=seed).in_time >= 0.95


def test_refusals_alone_serve_little_of_the_surge():
    assert play("refusals", seed=0).in_time < 0.7


def test_many_hot_gateways_do_not_overload_the_idle_ones():
    outcome = play("relay", hot=4, seed=1)
    # The kept busy shares of 0.75 and 0.7 leave room for 87 in 100 requests.
    assert outcome.in_time >= 0.82
    assert outcome.most_busy_neighbour <= 0.95


def test_share_does_not_begin_and_end_in_turns():
    share, begun = RelayShare(RelaySettings()), 0
    rng = random.Random(1)
    for tick in range(2000):
        before = share.share
        # The load would be 1.2 without the relay.
        busy = min(1.0, 1.2 * (1.0 - share.share) + rng.uniform(-0.1, 0.1))
        share.record(busy, tick * 0.05)
        begun += not before and share.share > 0
    assert begun <= 3
    assert 0.25 <= share.share <= 0.5


def test_gateway_with_room_relays_nothing():
    share = RelayShare(RelaySettings())
    for tick in range(100):
        share.record(0.7, tick * 0.05)
        assert not share.takes_next(tick * 0.05)


def test_learned_cost_replaces_the_assumed_one():
    meter = LoadMeter(GatewayLoadSettings(), 0.5)
    for tick in range(400):
        # 10 requests of 40 ms of busy time in a second.
        if tick % 2:
            meter.add_request()
        meter.record(tick * 0.02, tick * 0.05)
    assert 24.0 <= meter.capacity_per_s <= 35.0


def test_rooms_are_chosen_in_proportion_and_not_exceeded():
    rooms, rng = PeerRooms(PeerRoomSettings()), random.Random(1)
    chosen = []
    for tick in range(1000):
        now = tick * 0.01
        rooms.record("large", 30.0, now)
        rooms.record("small", 10.0, now)
        chosen.append(rooms.choose(now, rng))
    assert 280 <= chosen.count("large") <= 310
    assert 90 <= chosen.count("small") <= 105
    assert rooms.room_per_s(10.0) < 5.0


def test_old_copy_of_a_report_replaces_no_newer_one():
    rooms = PeerRooms(PeerRoomSettings())
    rooms.record("a", 5.0, 10.0)
    rooms.record("a", 50.0, 9.0)
    assert rooms.room_per_s(10.1) == 5.0


@pytest.mark.parametrize("room", [-1.0, math.nan, math.inf, 1e9])
def test_room_that_is_no_plain_number_is_ignored(room):
    rooms = PeerRooms(PeerRoomSettings())
    assert not rooms.record("a", room, 0.0)
    assert rooms.room_per_s(0.0) == 0.0


def test_gateway_that_cannot_be_reached_is_left_out_for_a_while():
    rooms, rng = PeerRooms(PeerRoomSettings()), random.Random(1)
    rooms.record("a", 5.0, 0.0)
    rooms.record_failure("a", 0.1)
    rooms.record("a", 5.0, 0.3)
    assert rooms.choose(0.4, rng) is None
    rooms.record("a", 5.0, 2.2)
    assert rooms.choose(2.3, rng) == "a"
