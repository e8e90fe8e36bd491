"""Growth of grants beside others that are being lowered."""

import pytest

from pistachiowell.budgets import Holder
from pistachiowell.budgets.page import TopUp, apply_changes
from pistachiowell.budgets.sizing import SizingSettings
from pistachiowell.schema.generated.objects_budgets import BudgetPage


@pytest.fixture
def holder():
    sizing = SizingSettings(horizon_s=2.0, first_grant_requests=1, rate_window_s=5.0)
    return Holder("agent-1", 1, sizing=sizing)


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
