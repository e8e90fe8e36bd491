"""Tests of the load generator and of the capacity tables."""

import pytest

from pistachiowell.bench import capacity
from pistachiowell.bench.capacity import FleetSize, MarginalCosts
from pistachiowell.bench.costs_state import measure_events, measure_journal
from pistachiowell.bench.costs_wire import measure_messages
from pistachiowell.bench.load import LoadPlan, draw_requests, run_load
from pistachiowell.bench.marginal_costs import MarginalCost


def test_load_is_seeded_and_bounded():
    """Equal seeds give equal loads within the configured time and length."""
    plan = LoadPlan(rate_per_s=100.0, duration_s=2.0)
    first = draw_requests(plan, ["a", "b"])
    assert first == draw_requests(plan, ["a", "b"])
    assert first[-1][0] <= 2.0
    assert max(words for _, _, _, words in first) <= plan.max_words


def test_load_is_answered_whole_and_billed_as_counted(rig):
    """Every answer is complete, and the journals bill exactly its usage."""
    report = run_load(rig, LoadPlan(rate_per_s=20.0, duration_s=1.5, mean_words=5))
    assert report.requests == report.answered > 10
    assert report.counted_tokens == report.billed_tokens > 0
    assert not report.broken


@pytest.fixture
def costs():
    measured = [*measure_messages(), *measure_events(), *measure_journal()]
    names = (
        "call Ping, both ends",
        "send LoadReport, both ends",
        "link held, both ends",
        "router: idle second, no agents",
        "router: idle second, one more agent",
        "agent: idle second, two routers",
        "router: request",
        "router: word",
        "router: open stream",
        "agent: request",
        "agent: word",
        "agent: open stream",
        "table row held",
        "table change, 7500 rows",
    )
    return MarginalCosts(
        [*measured, *[MarginalCost(n, 1, 100.0, 100.0, 1000.0) for n in names]]
    )


def test_capacity_grows_with_what_it_is_worked_out_from(costs):
    """The calculated load grows with the number of links that a router keeps."""
    small = FleetSize(linked_agents=10, linked_routers=10)
    loads = [capacity.router_control(size, costs) for size in (small, FleetSize())]
    sums = [sum(load.cpu_percent for load in one) for one in loads]
    assert sums[0] < sums[1]
    text = capacity.text(FleetSize(), costs)
    assert "| journals | 30 | 0 |" in text
    assert text.count("| total |") == 5
