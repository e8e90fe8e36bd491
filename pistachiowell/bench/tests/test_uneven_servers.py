"""Replays of prompts at engines of different speeds.

Guards against late first tokens at slow engines, and against equal engines that read
more shared prefixes again than by the policy with one rate.
"""

import pytest

from pistachiowell.bench.uneven_servers import measure

SEEDS = range(1, 5)


def play(scenario):
    """Returns the figures of the learned speeds and of one rate for all."""
    return [
        measure(placer, scenario, SEEDS) for placer in ("learned_cost", "least_cost")
    ]


@pytest.mark.parametrize("scenario", ["uneven", "all"])
def test_fewer_first_tokens_are_late_at_uneven_engines(scenario):
    learned, present = play(scenario)
    assert learned["late"] < 0.98 * present["late"]


@pytest.mark.parametrize("scenario", ["equal", "waves"])
def test_equal_engines_do_as_well_as_by_one_rate(scenario):
    learned, present = play(scenario)
    assert learned["late"] < 1.1 * present["late"]
    assert learned["read_again_k"] < 1.05 * present["read_again_k"]
