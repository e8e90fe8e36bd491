"""Refusals of requests that fit the budget, with and without a store outage."""

import pytest

from pistachiowell.bench.budgets import measure_refusals


@pytest.mark.parametrize("scenario", ["calm", "outage", "skewed"])
def test_adaptive_grants_refuse_nothing_that_fits(scenario):
    result = measure_refusals(scenario, "adaptive")
    assert result.refused == 0
    assert result.overspend_tokens == 0
    assert result.stranded_tokens < 100


def test_exact_grants_refuse_during_an_outage():
    assert measure_refusals("outage", "exact").refused > 100
