"""Replays of prompts at engines of different speeds.

Guards against late first tokens at slow engines, against equal engines that read more
shared prefixes again than by the policy with one rate, and against callers that wait in
vain or are refused although they could be served.
"""

import pytest

from pistachiowell.bench.uneven_servers import measure, measure_refusals

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


def test_callers_are_refused_at_once_and_none_that_could_be_served():
    sent, refused = (
        measure_refusals("load 2", SEEDS, refuses=refuses) for refuses in (False, True)
    )
    assert refused["refused"] > 0.05 * sent["given_up"]
    assert refused["refused_wrongly"] == 0
    assert refused["served"] >= 0.99 * sent["served"]


def test_nothing_is_refused_below_the_capacity():
    assert "refused" not in measure_refusals("load 0.8", SEEDS, refuses=True)
