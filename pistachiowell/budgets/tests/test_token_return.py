"""Tokens at risk, page writes and bridged outages under the owners' settings.

They guard against grants that lose much of an account's credit in a power loss, against
pages that are written for each request, and against accounts with much left that are
refused in an outage of the store.
"""

import pytest

from pistachiowell.bench.token_return import BEFORE, BOUNDED, measure
from pistachiowell.budgets import GrantHolder
from pistachiowell.budgets.page import SetCredit, TopUp, apply_changes, apply_plan
from pistachiowell.schema.generated.objects_budgets import BudgetPage

# Measured on the code before with the same load: 648 writes.
MAX_WRITES = 324
OUTAGE_S = 8.4


@pytest.fixture
def holder():
    return GrantHolder("agent-1", 1, policy=BOUNDED.policy, sizing=BOUNDED)


def test_settings_lose_more_or_write_more_often_than_before():
    before, bounded = measure("before", BEFORE), measure("bounded", BOUNDED)
    assert bounded.writes <= MAX_WRITES
    assert all(
        new <= old
        for new, old in zip(bounded.lost_worst, before.lost_worst, strict=True)
    )
    assert bounded.refused[-1] < before.refused[-1]


def test_refused_requests_of_a_spent_account_write_the_page(holder):
    changes = [SetCredit("spent", 100, 1), SetCredit("busy", 10_000_000, 1)]
    page = apply_changes(BudgetPage(), changes)
    writes = 0
    for step in range(100):
        now = step / 20
        holder.reserve("spent", f"s{step}", "g", 1_000, now)
        busy = ("busy", f"b{step}", "g")
        holder.reserve(*busy, 1_000, now)
        new = apply_plan(page, holder.plan(0, now))
        writes += new is not page
        page = new
        holder.observe(0, step, page, now)
        holder.ledger("spent").cancel(f"s{step}")
        holder.settle(*busy, 500, now)
    # Without the spent account there are 6, before the change 100.
    assert writes <= 8


@pytest.mark.parametrize("per_s", [5, 50])
def test_outage_soon_after_the_start_finds_a_rate_that_is_too_low(holder, per_s):
    page = apply_changes(BudgetPage(), [TopUp("shop", "t", 10**9)])
    for step in range(5 * per_s):
        now = step / per_s
        call = ("shop", f"r{step}", "g")
        if holder.reserve(*call, 1_000, now) is None or step % per_s == 0:
            page = apply_plan(page, holder.plan(0, now))
            holder.observe(0, step, page, now)
        holder.settle(*call, 1_000, now)
    assert holder.ledger("shop").available_tokens >= 2 * OUTAGE_S * per_s * 1_000


def test_idle_tokens_are_set_aside_in_an_outage_that_began_with_a_lost_answer(holder):
    page = apply_changes(BudgetPage(), [TopUp("shop", "t", 10**9)])
    holder.reserve("shop", "a", "g", 1_000, 0.0)
    page = apply_plan(page, holder.plan(0, 0.0))
    holder.observe(0, 1, page, 0.0)
    holder.settle("shop", "a", "g", 10, 0.1)
    available = holder.ledger("shop").available_tokens
    holder.on_answer_lost(0, 1)
    for step in range(5):
        holder.retire_idle("shop", 2.0 * step)
        holder.plan(0, 2.0 * step)
        holder.on_write_failed(0)
    assert holder.ledger("shop").available_tokens == available
