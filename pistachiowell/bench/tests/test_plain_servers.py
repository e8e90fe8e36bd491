"""Replays of plain requests at servers of different speeds.

Guards against late answers at servers that are slow for parts of a second, and against
a choice that is worse where all servers are alike.
"""

import pytest

from pistachiowell.bench.plain_servers import measure

SEEDS = range(1, 3)


@pytest.mark.parametrize(("scenario", "factor"), [("uneven", 0.95), ("all", 0.85)])
def test_fewer_answers_are_late_at_uneven_servers(scenario, factor):
    six, two = (
        measure(name, scenario, SEEDS) for name in ("six_choices", "two_choices")
    )
    assert six["late"] < factor * two["late"]


def test_equal_servers_answer_as_soon_as_by_two_choices():
    six, two = (
        measure(name, "equal", SEEDS) for name in ("six_choices", "two_choices")
    )
    assert six["mean_s"] <= 1.01 * two["mean_s"]
