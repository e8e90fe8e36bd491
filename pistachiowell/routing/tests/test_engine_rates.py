"""Speeds of engines that are learned from the times to the first token.

Guards against a slow engine that gets as many prompts as the others, against odd
answers that make an engine look slow, and against choices among equal engines that
differ from those by one rate and so lose the prefixes that are cached.
"""

from random import Random

import pytest

from pistachiowell.catalog import EngineLimits
from pistachiowell.routing import (
    PLACERS,
    Candidate,
    EngineLoad,
    EngineRates,
    EngineRequest,
    EngineRun,
    EngineTable,
    PlacementSettings,
    RateSettings,
)

LIMITS = EngineLimits(slots=64, kv_tokens=560_000, tokens_per_event=6)
NAMES = ["s0", "s1", "s2", "s3"]
CANDIDATES = [Candidate(name) for name in NAMES]
RUN = EngineRun("chat", 1)


def prompt(tokens, name="own"):
    return EngineRequest(tokens, 10, ((name, tokens),))


class Play:
    """Sends prompts to engines, each alone there, and places others."""

    def __init__(self):
        self.table = EngineTable(PlacementSettings(), EngineRates(RateSettings()))
        self.now = 0.0

    def answer(self, name, time_s, run=RUN, *, is_cancelled=False):
        """Has an engine answer a prompt of 5,000 tokens after some time."""
        placed = self.table.record_sent(name, prompt(5_000), self.now, run)
        first_at = self.now + time_s
        if not is_cancelled:
            self.table.record_first_token(placed, first_at)
        self.table.record_end(placed)

    def answer_all(self, rounds, slow_s=0.12, **kwargs):
        """Has all engines answer; ``s0`` after another time than the others."""
        for _ in range(rounds):
            self.now += 0.2
            for name in NAMES:
                self.answer(name, slow_s if name == "s0" else 0.12, **kwargs)

    def factors(self):
        return self.table.rates.factors(NAMES, self.now)

    def choices(self, policy="learned_cost"):
        placer = PLACERS.find(policy)(PlacementSettings(), self.table, Random(1))
        return {
            placer.place(CANDIDATES, prompt(900), LIMITS, self.now)[0].server
            for _ in range(40)
        }


@pytest.fixture
def play():
    """Engines that have been running for long."""
    play = Play()
    for name in NAMES:
        play.answer(name, 0.12)
    play.now = 10.0
    return play


def test_slow_engine_costs_more_and_only_with_the_policy(play):
    play.answer_all(15, slow_s=0.155)
    assert play.factors() == pytest.approx([1.35, 1.0, 1.0, 1.0], abs=0.02)
    assert play.choices() == {"s1", "s2", "s3"}
    assert play.choices("least_cost") == set(NAMES)


def test_engine_that_has_become_fast_again_is_chosen(play):
    play.answer_all(15, slow_s=0.155)
    play.answer_all(64)
    assert play.factors() == [1.0] * 4
    assert play.choices() == set(NAMES)


@pytest.mark.parametrize(
    "kwargs", [{"is_cancelled": True}, {"run": EngineRun("chat", 1, is_cold=True)}]
)
def test_cancelled_and_cold_answers_teach_nothing(play, kwargs):
    play.answer_all(20, slow_s=0.5, **kwargs)
    assert play.factors() == [1.0] * 4


def test_engine_that_has_just_started_teaches_nothing(play):
    play.answer_all(10)
    play.now += 1.0
    for _ in range(10):
        play.now += 0.2
        play.answer("s0", 0.5, EngineRun("chat", 2))
    assert play.factors() == [1.0] * 4


def test_some_odd_answers_change_nothing(play):
    play.answer_all(20)
    for _ in range(6):
        play.answer("s0", 30.0)
    assert play.factors() == [1.0] * 4


def test_equal_engines_are_chosen_as_by_one_rate(play):
    rng = Random(3)
    for _ in range(400):
        play.now += 0.05
        play.answer(rng.choice(NAMES), 0.02 + 0.1 * rng.uniform(0.8, 1.25))
    assert play.factors() == [1.0] * 4


def test_factor_is_dropped_without_answers(play):
    play.answer_all(15, slow_s=0.155)
    play.now += 40.0
    assert play.choices() == set(NAMES)


def test_engine_that_stands_still_loses_weight_until_its_queue_moves(play):
    play.answer_all(10)
    waiting = [
        play.table.record_sent("s0", prompt(500), play.now, RUN) for _ in range(2)
    ]
    for name in NAMES[1:]:
        play.table.record_sent(name, prompt(1_500), play.now, RUN)
    assert play.choices() == {"s0"}
    for name in NAMES[1:]:
        play.table.record_remote_load(name, EngineLoad(2_000, 1, 0), play.now + 0.3)
    play.now += 0.3
    assert play.table.stall_cost_s("s0", play.now) > 0.0
    play.table.record_first_token(waiting[0], play.now)
    assert play.table.stall_cost_s("s0", play.now) == 0.0


def test_old_reports_of_others_leave_the_own_sums(play):
    """An agent that is gone leaves the load and the rates as the gateway knows them."""
    play.answer_all(15, slow_s=0.155)
    play.table.record_remote_load("s1", EngineLoad(90_000, 9, 0), play.now)
    assert "s1" not in play.choices()
    play.now += 2.0
    assert play.choices() == {"s1", "s2", "s3"}


def test_memory_is_bounded():
    rates = EngineRates(RateSettings(max_engines=10, young_s=0.0))
    for number in range(100):
        rates.record_start(f"s{number}", 1, 0.0)
        for _ in range(100):
            rates.record_first_token("chat", f"s{number}", 5_000, 0.1, 1.0)
    assert len(rates._factors) == 10
    assert max(len(factor) for factor in rates._factors.values()) == 64
