"""Growth, lowering and closing of grants.

A request is paid out of one grant. If a holder counted the tokens left in its other
grants, a large request could wait for ever beside a grant that is being lowered.
"""

import pytest

from pistachiowell.budgets import GrantHolder
from pistachiowell.budgets.page import (
    CloseGrant,
    TopUp,
    apply_changes,
    free_tokens,
    unspent_elsewhere,
)
from pistachiowell.budgets.sizing import Demand, SizingSettings, grant_growth
from pistachiowell.schema.generated.objects_budgets import BudgetPage


@pytest.fixture
def holder():
    sizing = SizingSettings(horizon_s=2.0, first_grant_requests=1, rate_window_s=5.0)
    return GrantHolder("agent-1", 1, sizing=sizing)


@pytest.fixture
def page():
    return apply_changes(BudgetPage(), [TopUp("shop", "t", 450_000)])


def write_plan(holder, page, version, now):
    page = apply_changes(page, holder.plan(0, now))
    holder.observe(0, version, page, now)
    return page


def test_large_request_fits_beside_a_grant_that_is_lowered(holder, page):
    holder.reserve("shop", "a", "router-1", 60_000, 0.0)
    page = write_plan(holder, page, 1, 0.0)
    assert holder.reserve("shop", "a", "router-1", 60_000, 0.0)
    holder.settle("shop", "a", "router-1", 1_000, 0.1)
    holder.retire_idle("shop", 2.0)
    assert holder.reserve("shop", "b", "router-1", 100_000, 2.0) is None
    write_plan(holder, page, 2, 2.0)
    assert holder.reserve("shop", "b", "router-1", 100_000, 2.0) is not None


def test_large_request_fits_when_the_smaller_of_two_grants_grows(holder, page):
    holder.reserve("shop", "a", "router-1", 60_000, 0.0)
    page = write_plan(holder, page, 1, 0.0)
    assert holder.reserve("shop", "a", "router-1", 60_000, 0.0)
    holder.settle("shop", "a", "router-1", 20_000, 0.1)
    holder.retire_idle("shop", 2.0)
    holder.reserve("shop", "b", "router-1", 45_000, 2.0)
    page = write_plan(holder, page, 2, 2.0)
    assert holder.reserve("shop", "b", "router-1", 45_000, 2.0)
    holder.ledger("shop").grants[min(holder.ledger("shop").grants)].ceiling = 50_000
    assert holder.reserve("shop", "c", "router-1", 100_000, 2.0) is None
    write_plan(holder, page, 3, 2.0)
    assert holder.reserve("shop", "c", "router-1", 100_000, 2.0) is not None


@pytest.mark.parametrize(("left", "most"), [(0.9, 0.30), (0.5, 0.09), (0.1, 0.004)])
def test_proportional_grants_shrink_with_what_is_left(left, most):
    sizing = SizingSettings(horizon_s=60.0)
    demand = Demand(rate_tokens_per_s=100_000.0, sizing=sizing)
    growth = grant_growth("proportional", demand, int(1_000_000 * left), 1_000_000)
    assert 0 < growth <= most * 1_000_000


@pytest.mark.parametrize("left", [10_000, 60_000, 200_000, 900_000])
def test_long_grants_are_a_small_part_of_what_is_left(left):
    sizing = SizingSettings(horizon_s=6.0, long_horizon_s=24.0, long_share=0.05)
    demand = Demand(rate_tokens_per_s=1_000.0, sizing=sizing, free_tokens=left)
    growth = grant_growth("proportional", demand, left, 1_000_000)
    assert growth <= max(6_000, 0.05 * left)
    assert growth <= 24_000


def test_proportional_grants_always_cover_what_waits():
    demand = Demand(need_tokens=50, smallest_need_tokens=50)
    assert grant_growth("proportional", demand, 60, 1_000_000) == 50


def test_grant_that_nobody_asks_is_closed_and_its_rest_returns(page):
    sizing = SizingSettings(horizon_s=60.0, close_idle_after_s=4.0)
    holder = GrantHolder("agent-1", 1, sizing=sizing)
    holder.reserve("shop", "a", "router-1", 1_000, 0.0)
    page = write_plan(holder, page, 1, 0.0)
    assert holder.reserve("shop", "a", "router-1", 1_000, 0.0)
    holder.retire_idle("shop", 9.0)
    assert not any(isinstance(change, CloseGrant) for change in holder.plan(0, 9.0))
    holder.settle("shop", "a", "router-1", 400, 9.0)
    holder.retire_idle("shop", 9.0)
    page = write_plan(holder, page, 2, 9.0)
    assert free_tokens(page.accounts["shop"]) == 450_000 - 400
    assert holder.reserve("shop", "b", "router-1", 1_000, 9.5) is None
    write_plan(holder, page, 3, 9.5)
    assert holder.reserve("shop", "b", "router-1", 1_000, 9.5)


def test_page_tells_other_holders_what_is_spent(holder, page):
    holder.reserve("shop", "a", "router-1", 1_000, 0.0)
    page = write_plan(holder, page, 1, 0.0)
    holder.reserve("shop", "a", "router-1", 1_000, 0.0)
    holder.settle("shop", "a", "router-1", 700, 0.1)
    holder.reserve("shop", "b", "router-1", 50_000, 0.2)
    page = write_plan(holder, page, 2, 0.2)
    budget = page.accounts["shop"]
    granted = sum(grant.amount for grant in budget.grants.values())
    assert unspent_elsewhere(budget, own_grants=()) == granted - 700


def test_idle_account_has_no_room_for_a_request_in_an_outage(page):
    sizing = SizingSettings(kept_requests=4)
    holder = GrantHolder("router-1", 1, sizing=sizing)
    for number in range(24):
        holder.reserve("shop", f"a{number}", "router-1", 4_100, 0.1 * number)
        page = write_plan(holder, page, number, 0.1 * number)
        assert holder.reserve("shop", f"a{number}", "router-1", 4_100, 0.1 * number)
        holder.settle("shop", f"a{number}", "router-1", 10, 0.1 * number)
    holder.retire_idle("shop", 8.0)
    write_plan(holder, page, 24, 8.0)
    assert holder.reserve("shop", "b", "router-1", 4_100, 9.0) is not None


def test_accounts_few_requests_keep_more_than_its_budget(page):
    page = apply_changes(BudgetPage(), [TopUp("shop", "t", 5_000)])
    sizing = SizingSettings(kept_requests=4)
    holder = GrantHolder("router-1", 1, sizing=sizing)
    holder.reserve("shop", "a", "router-1", 4_100, 0.0)
    page = write_plan(holder, page, 1, 0.0)
    holder.settle("shop", "a", "router-1", 10, 0.1)
    page = write_plan(holder, page, 2, 1.0)
    assert free_tokens(page.accounts["shop"]) >= 0
    assert holder.reserve("shop", "b", "router-1", 4_100, 1.0) is not None
