"""Writes of a page whose accounts are used at different paces.

Guards against a page that is written once for each of its accounts, and so twice a
second while many are in use.
"""

import pytest

from pistachiowell.budgets import GrantHolder
from pistachiowell.budgets.page import TopUp, apply_changes
from pistachiowell.budgets.sizing import SizingSettings
from pistachiowell.schema.generated.objects_budgets import BudgetPage

HORIZON_S = 6.0
STEP_S = 0.1
CHECK_STEPS = 5
DURATION_S = 60.0
TOKENS = 10


@pytest.mark.parametrize("accounts", [1, 10])
def test_accounts_of_a_page_are_refilled_by_one_write(accounts):
    names = [f"shop-{number}" for number in range(accounts)]
    page = apply_changes(BudgetPage(), [TopUp(n, "t", 10**9) for n in names])
    sizing = SizingSettings(
        horizon_s=HORIZON_S, first_grant_requests=4, rate_window_s=5.0
    )
    holder = GrantHolder("agent-1", 1, policy="proportional", sizing=sizing)
    version = 0

    def write(now):
        nonlocal page, version
        page = apply_changes(page, holder.plan(0, now))
        version += 1
        holder.observe(0, version, page, now)

    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        for number, name in enumerate(names):
            if step % (1 + number % 4) == 0:
                call = (name, f"{name}-{step}", "g1", TOKENS, now)
                if holder.reserve(*call) is None:
                    write(now)
                    assert holder.reserve(*call)
                holder.settle(*call)
        if step % CHECK_STEPS == 0 and holder.has_changes(0, now):
            write(now)
    # A first write for each account; then grants are refilled at half their horizon.
    assert version <= accounts + 1.5 * DURATION_S / (HORIZON_S / 2)
