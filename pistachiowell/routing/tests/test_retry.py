"""Retries never run a non-idempotent request twice and stay within their budget.

Guards against a second run after an attempt whose outcome is unknown, and against a
retry storm when all attempts fail.
"""

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from pistachiowell.routing import (
    RETRIES,
    AttemptFailure,
    RetryBudget,
    RoutingSettings,
)

SETTINGS = RoutingSettings(retry_burst=2.0, max_attempts=3)
NAIVE = settings(phases=[Phase.generate], report_multiple_bugs=False)

codes = st.sampled_from(["overloaded", "link_lost", "server_failed", "quarantined"])
results = st.tuples(codes, st.booleans(), st.booleans(), st.sampled_from([0, 0, 9]))
requests = st.tuples(st.booleans(), st.lists(results, min_size=1, max_size=6))


def run_traffic(name, traffic):
    budget = RetryBudget(SETTINGS)
    retried = 0
    for number, (is_idempotent, failures) in enumerate(traffic, start=1):
        retries = RETRIES.find(name)(SETTINGS, budget, is_idempotent, deadline=5.0)
        runs = 0
        for now, (code, ran, reported, delivered) in enumerate(failures):
            assert retries.start() <= SETTINGS.max_attempts
            runs += ran
            assert runs <= 1 or is_idempotent, "ran twice"
            reported_no = reported and not ran
            failure = AttemptFailure(
                code, "no" if reported_no else "unknown", 0.0, delivered
            )
            if not retries.may_retry(failure, float(now)):
                break
            assert not delivered
            retried += 1
            assert retried <= SETTINGS.retry_burst + SETTINGS.retry_ratio * number
        assert retries.may_have_run or not runs, "refused means not run"


@given(st.lists(requests, max_size=30))
def test_budgeted_retries_are_safe_and_bounded(traffic):
    run_traffic("budgeted", traffic)


def test_retrying_always_is_not():
    with pytest.raises(AssertionError):
        NAIVE(
            given(st.lists(requests, max_size=30))(lambda t: run_traffic("always", t))
        )()
