"""Gateways do the work of agents while there are none, and end it when they are back.

Guards against a fleet that refuses all paid requests because its agents are lost, and
against gateways that keep the work for themselves.
"""

import pytest

from pistachiowell.membership import DeputyRule, DeputySettings

SETTINGS = DeputySettings()
STEP_S = 0.25
GATEWAYS = [f"gate-{number}" for number in range(18)]


class Play:
    """A fleet of gateways, some of them gone, in steps of time."""

    def __init__(self, alive=GATEWAYS):
        self.rules = {name: DeputyRule(SETTINGS, name) for name in alive}
        self.deputies = set()
        self.now = 0.0

    def run(self, seconds, agents=0, registered=GATEWAYS):
        """Plays a time with a number of usable agents."""
        until = self.now + seconds
        while self.now < until:
            known = len(self.deputies)
            self.deputies = {
                name
                for name, rule in self.rules.items()
                if rule.update(agents, known, registered, self.now)
            }
            self.now += STEP_S


def test_few_gateways_become_deputies():
    play = Play()
    play.run(30.0)
    assert len(play.deputies) == SETTINGS.wanted


@pytest.mark.parametrize("alive", [1, 2, 5])
def test_deputies_come_from_those_that_are_left(alive):
    play = Play(GATEWAYS[:alive])
    longest_s = SETTINGS.patience_s + SETTINGS.step_s * len(GATEWAYS) / SETTINGS.wanted
    play.run(longest_s + 2 * STEP_S)
    assert len(play.deputies) >= min(alive, SETTINGS.wanted)


def test_agents_that_are_away_for_a_moment_are_waited_for():
    play = Play()
    play.run(10.0, agents=5)
    play.run(SETTINGS.patience_s - STEP_S)
    assert not play.deputies


def test_deputies_end_once_agents_are_back_to_stay():
    play = Play()
    play.run(10.0)
    play.run(SETTINGS.return_s - STEP_S, agents=1)
    assert play.deputies
    play.run(1.0, agents=1)
    assert not play.deputies


def test_without_the_store_nobody_becomes_a_deputy():
    play = Play()
    play.run(20.0, registered=None)
    assert not play.deputies
