"""A gateway whose network link is full before its processor.

Guards against answers that are late as a link is full while the event loop is on time,
against refusals for bursts and single large answers, and against a link that is left
unused while nobody else has room. The model is that of ``docs/design/gateway_load.md``.
"""

import math
import random
from collections import Counter

import pytest

from pistachiowell.admission import (
    OVERLOAD_POLICIES,
    LinkMeter,
    LinkSettings,
    LinkShare,
    OverloadSettings,
    PeerRooms,
    PeerRoomSettings,
    RelaySettings,
    RelayShare,
)
from pistachiowell.bench.gateway_load import LINK, STEP_S, Link, Stream, play

# The link of 5 Mbit/s takes 104 requests a second.
CAPACITY_PER_S = 104.0


class Replay:
    """A gateway of 5 Mbit/s with an event loop that is always on time.

    Args:
        room_per_s: Function of the time that returns the room of other gateways.
    """

    def __init__(self, room_per_s=lambda now: 0.0):
        self.link = Link(5.0)
        self.came = Counter()
        self.refusals = []
        self.most_delay_s = 0.0
        self._rng = random.Random(1)
        self._peers = PeerRooms(PeerRoomSettings())
        policy = OVERLOAD_POLICIES.find("ranked_share")
        self._policy = policy(OverloadSettings(), self._peers, self._rng)
        self._room_per_s = room_per_s
        self.now = 0.0

    def run(self, length_s, demands):
        """Replays demands, in requests a second by rank and account."""
        end = self.now + length_s
        while self.now < end:
            self.now += STEP_S
            if room_per_s := self._room_per_s(self.now):
                self._peers.record("other", room_per_s, self.now)
            self.link.work(self._peers.room_per_s(self.now), self.now)
            share = self.link.share
            self._policy.record_transit(0.0, self.now)
            self._policy.record_link(share.refused_share, share.has_peer_room, self.now)
            for (rank, account), rate in demands.items():
                draws = 1 + int(rate * STEP_S)
                for _ in range(draws):
                    if self._rng.random() < rate * STEP_S / draws:
                        self._request(rank, account)
            self.most_delay_s = max(self.most_delay_s, self.link.delay_s)

    def refused_share(self, rank, account):
        """Returns the share of the requests that was refused."""
        refused = [entry for entry in self.refusals if entry[1:3] == (rank, account)]
        return len(refused) / self.came[rank, account]

    def delays(self, after_s):
        """Returns the delays told from a time on."""
        return [delay for at, _, _, delay in self.refusals if at > after_s]

    def _request(self, rank, account):
        self.came[rank, account] += 1
        wait_s = self._policy.wait_s(account, self.now, rank)
        if wait_s:
            self.refusals.append((self.now, rank, account, wait_s))
            self.link.refuse(self.now)
        else:
            self.link.add(Stream(self.now, self._rng), self.now)


@pytest.mark.parametrize("seed", range(3))
def test_surge_that_fills_a_link_is_served_by_others(seed):
    found = play("relay, and refusals for the link", seed=seed, scene=LINK)
    assert found.in_time >= 0.97
    # Relaying it takes as much of the link.
    assert play("relay", seed=seed, scene=LINK).in_time < 0.75


def test_several_full_links_do_not_fill_those_of_the_others():
    found = play("relay, and refusals for the link", hot=4, seed=1, scene=LINK)
    assert found.in_time >= 0.6
    assert play("relay", hot=4, seed=1, scene=LINK).in_time < 0.3


@pytest.mark.parametrize("factor", [3, 6, 8])
def test_burst_of_half_a_second_causes_no_refusals(factor):
    replay = Replay()
    usual = 0.35 * CAPACITY_PER_S
    replay.run(5.0, {(1, "a"): usual})
    replay.run(0.5, {(1, "a"): factor * usual})
    replay.run(5.0, {(1, "a"): usual})
    assert not replay.refusals


def test_single_large_answer_causes_no_refusals():
    replay = Replay()
    replay.run(5.0, {(1, "a"): 0.6 * CAPACITY_PER_S})
    # It is sent in 13 s, in which the others take the rest of the link.
    large = Stream(replay.now, random.Random(1))
    large.size, large.per_s = 4_000_000, 310_000
    large.ends_at = replay.now + large.size / large.per_s
    replay.link.add(large, replay.now)
    replay.run(25.0, {(1, "a"): 0.45 * CAPACITY_PER_S})
    assert not replay.refusals


def test_only_what_exceeds_the_link_is_refused_while_nobody_else_has_room():
    replay = Replay()
    replay.run(8.0, {(1, "a"): 1.3 * CAPACITY_PER_S})
    sent = replay.link.sent
    replay.run(10.0, {(1, "a"): 1.3 * CAPACITY_PER_S})
    assert 0.9 <= (replay.link.sent - sent) / 10.0 / replay.link.bytes_per_s <= 1.0
    assert replay.most_delay_s < 0.4
    assert min(replay.delays(0.0)) >= 0.25
    replay.run(4.0, {(1, "a"): 0.5 * CAPACITY_PER_S})
    assert not replay.link.share.is_refusing
    assert not replay.delays(replay.now - 2.0)


def test_other_delays_are_told_once_the_reports_of_others_end():
    replay = Replay(lambda now: 300.0 if now < 8.0 else 0.0)
    replay.run(18.0, {(1, "a"): 1.3 * CAPACITY_PER_S})
    short = [delay for delay in replay.delays(2.5) if delay <= 0.075]
    late = replay.delays(13.0)
    assert len(short) > 0.9 * (len(replay.delays(2.5)) - len(replay.delays(8.0)))
    assert min(late) >= 0.25
    # What others took while they were known to have room is served here again.
    refused_before = len(replay.delays(3.0)) - len(replay.delays(8.0))
    assert len(late) < 0.8 * refused_before


def test_link_is_shared_by_rank_and_account():
    replay = Replay()
    surge = {(1, "surge"): CAPACITY_PER_S, (1, "usual"): 10.0, (2, "usual"): 10.0}
    replay.run(20.0, {(0, "a"): 0.5 * CAPACITY_PER_S, **surge})
    assert replay.refused_share(0, "a") < 0.05
    assert replay.refused_share(1, "usual") < 0.15
    assert replay.refused_share(1, "surge") > 0.5
    assert replay.refused_share(2, "usual") < 0.95


def test_link_of_unknown_bandwidth_is_never_full():
    meter = LinkMeter(LinkSettings(), math.inf)
    share = LinkShare(LinkSettings(), meter)
    for tick in range(200):
        now = tick * 0.05
        meter.add_request(now)
        meter.add_size(1e9, now)
        meter.record(tick * 10**9, now)
        share.record(0.0, now)
        assert not (share.refused_share or share.is_near_limit)
    assert meter.room_per_s(10.0) == math.inf


def test_nothing_is_relayed_while_the_link_is_near_its_limit():
    share = RelayShare(RelaySettings())
    for tick in range(40):
        share.record(1.0, tick * 0.05)
    assert share.share > 0.0
    share.record(1.0, 2.0, is_link_full=True)
    assert not share.takes_next(2.0)
