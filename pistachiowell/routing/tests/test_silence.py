"""Detection of silent servers, without a network."""

import heapq
from random import Random

import pytest

from pistachiowell.routing import SILENCE_DETECTORS, SilenceSettings

TICK_S = 0.05
SERVERS = ["s1", "s2", "s3", "s4"]


class Play:
    """Drives a detector over time and collects the servers that it takes for silent."""

    def __init__(self, detector="no_sign_of_life"):
        self.now = 0.0
        self.silences = []
        self.detector = SILENCE_DETECTORS.find(detector)(SilenceSettings())
        self.detector.tick(0.0)

    def advance(self, length_s):
        end = self.now + length_s
        while self.now < end - 1e-9:
            self.now = min(end, self.now + TICK_S)
            self.silences += self.detector.tick(self.now)

    def start(self, server, expected_s=0.0):
        return self.detector.record_start(server, expected_s, self.now)

    def answer(self, wait):
        self.detector.record_part(wait, self.now)
        self.detector.record_end(wait)

    def learn(self, server, wait_s=0.05, count=20):
        for _ in range(count):
            wait = self.start(server)
            self.advance(wait_s)
            self.answer(wait)

    def usable(self):
        return self.detector.usable(SERVERS, self.now)


@pytest.fixture
def play():
    play = Play()
    play.learn("s1")
    return play


def test_silent_server_is_left_out_after_its_usual_waits(play):
    play.start("s1")
    while not play.silences:
        play.advance(TICK_S)
    assert play.now <= 1.4
    assert play.usable() == ["s2", "s3", "s4"]
    assert not play.detector.hopeless_waits()
    play.advance(0.15)
    assert [wait.server for wait in play.detector.hopeless_waits()] == ["s1"]


def test_server_with_a_doubtful_request_is_avoided_before_it_is_silent(play):
    play.start("s1")
    play.advance(0.1)
    assert not play.silences
    assert play.usable() == ["s2", "s3", "s4"]


def test_long_prompt_is_waited_for(play):
    play.start("s1", expected_s=1.0)
    play.advance(1.5)
    assert not play.silences


def test_request_that_is_slow_alone_is_not_blamed_on_its_server(play):
    slow = play.start("s1")
    for _ in range(20):
        play.advance(0.05)
        play.learn("s1", count=1)
    play.advance(0.5)
    assert not play.silences
    assert slow.was_passed_over


def test_stream_that_stops_in_the_middle_makes_its_server_silent(play):
    wait = play.start("s1")
    for _ in range(20):
        play.advance(0.05)
        play.detector.record_part(wait, play.now)
    play.advance(0.6)
    assert play.silences == ["s1"]


def test_caller_that_reads_slowly_does_not_make_its_server_silent(play):
    wait = play.start("s1")
    play.detector.record_part(wait, play.now)
    wait.is_paused = True
    play.advance(5.0)
    assert not play.silences
    assert not play.detector.hopeless_waits()


def test_router_that_stood_still_blames_no_server(play):
    waits = [play.start(server) for server in SERVERS]
    play.now += 5.0
    play.silences += play.detector.tick(play.now)
    for wait in waits:
        play.answer(wait)
    assert not play.silences


def test_servers_that_are_all_slow_at_once_stay_in_use(play):
    for server in SERVERS:
        play.learn(server)
    waits = [play.start(server) for server in SERVERS]
    play.advance(1.0)
    assert play.usable() == SERVERS
    for wait in waits:
        play.answer(wait)
    assert play.usable() == SERVERS


def test_silent_server_gets_one_request_at_a_time_after_its_hold(play):
    play.detector.record_end(play.start("s1"))
    lost = play.start("s1")
    play.advance(0.4)
    play.detector.record_end(lost)
    play.advance(2.0)
    assert "s1" in play.usable()
    trial = play.start("s1")
    assert "s1" not in play.usable()
    play.answer(trial)
    assert "s1" in play.usable()


def test_notice_of_a_peer_ends_unless_it_is_renewed(play):
    play.detector.record_notice("s2", play.now, is_silent=True)
    assert play.usable() == ["s1", "s3", "s4"]
    play.advance(2.0)
    assert play.usable() == SERVERS


def test_doubt_of_a_peer_makes_a_server_the_last_choice_for_a_moment(play):
    play.detector.record_doubt("s2", 0.05, play.now)
    assert play.usable() == ["s1", "s3", "s4"]
    assert play.detector.usable(["s2"], play.now) == ["s2"]
    assert not play.detector.is_suspected("s2", play.now)
    play.advance(0.25)
    assert play.usable() == SERVERS


def test_doubt_of_a_peer_is_refuted_by_what_came_from_the_server(play):
    play.advance(0.05)
    play.detector.record_doubt("s1", 0.1, play.now)
    assert play.usable() == SERVERS
    wait = play.start("s1")
    play.detector.record_doubt("s1", 0.01, play.now)
    assert play.usable() == SERVERS[1:]
    play.answer(wait)
    assert play.usable() == SERVERS


def test_doubt_is_told_once_in_a_while_and_before_a_suspicion(play):
    play.learn("s1", 0.01)
    play.start("s1")
    play.advance(0.05)
    (doubt,) = play.detector.new_doubts()
    assert doubt == ("s1", pytest.approx(0.05))
    assert not play.silences
    assert play.detector.new_doubts() == []
    play.advance(0.3)
    assert [server for server, _ in play.detector.new_doubts()] == ["s1"]


def test_server_that_answers_a_peer_is_used_again(play):
    play.start("s2")
    play.advance(1.1)
    assert play.silences == ["s2"]
    play.detector.record_notice("s2", play.now, is_silent=True)
    play.detector.record_notice("s2", play.now, is_silent=False)
    play.detector.record_notice("s2", play.now, is_silent=True)
    assert not play.detector.is_suspected("s2", play.now)
    # What waits there is slow, and is not blamed on the server again and again.
    play.advance(1.5)
    assert play.silences == ["s2"]


def test_servers_that_peers_report_are_left_out_however_many(play):
    for server in SERVERS[:3]:
        play.detector.record_notice(server, play.now, is_silent=True)
    assert play.usable() == ["s4"]
    play.detector.record_notice("s4", play.now, is_silent=True)
    assert play.usable() == SERVERS


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("slots", [1, 6])
@pytest.mark.parametrize("peak", [1.0, 3.0])
def test_queue_of_a_sound_server_is_not_taken_for_silence(peak, slots, seed):
    """Plays a server that is loaded by half, with bursts of ``peak`` times that."""
    rng, work_s = Random(seed), 0.0225
    play, free_at, ends, requests = Play(), [0.0] * slots, [], 0
    due = 0.0
    while play.now < 60.0:
        rate = 0.5 * slots / work_s * (peak if play.now % 10 < 1 else 1.0)
        due += rng.expovariate(rate)
        while ends and ends[0][0] <= due:
            play.advance(ends[0][0] - play.now)
            play.answer(heapq.heappop(ends)[2])
        play.advance(due - play.now)
        start = max(due, heapq.heappop(free_at))
        end = start + rng.uniform(0.5, 2.0) * work_s
        heapq.heappush(free_at, end)
        requests += 1
        heapq.heappush(ends, (end, requests, play.start("s1")))
    assert not play.silences


def test_baseline_suspects_no_server():
    play = Play("none")
    play.learn("s1")
    play.start("s1")
    play.advance(5.0)
    assert not play.silences
    assert play.usable() == SERVERS


def test_servers_that_are_gone_are_forgotten():
    play = Play()
    kept = play.start("kept")
    for number in range(2 * SilenceSettings().max_servers):
        play.detector.record_end(play.start(f"gone-{number}"))
    assert play.detector.server_count <= SilenceSettings().max_servers + 1
    play.answer(kept)
