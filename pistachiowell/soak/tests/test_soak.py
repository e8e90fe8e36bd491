"""A short soak under faults, and checks that the oracle detects broken promises."""

import pytest

from pistachiowell.soak.oracle import Oracle
from pistachiowell.soak.run import soak

pytestmark = pytest.mark.anyio

# Seeds that failed before stay in this list, each with a comment on the cause.
SEEDS = [1]


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_faults(seed, tmp_path):
    oracle = await soak(seed, 8.0, tmp_path)
    assert oracle.violations == []


@pytest.fixture
def oracle():
    return Oracle(prepaid_tokens=1_000)


async def test_oracle_sees_a_second_run(oracle):
    oracle.status_counts[200] += 1
    oracle.record_run("book-1", 0)
    oracle.record_run("book-1", 0)
    assert oracle.check_totals() == ["book-1: ran 2 times"]


async def test_oracle_sees_a_false_refusal(oracle):
    oracle.record_run("book-1", 0)
    oracle.check_answer("book-1", "book", 503, b"", b"x")
    assert "refused as not run" in oracle.violations[0]


async def test_oracle_sees_overspending(oracle):
    oracle.status_counts[200] += 1
    oracle.record_run("chat-1", 996)
    oracle.record_generated_tokens("chat-1", 3)
    oracle.record_run("chat-1", 996)
    oracle.record_generated_tokens("chat-1", 2)
    assert oracle.check_totals() == ["1001 tokens spent of 1000"]


async def test_oracle_sees_a_wrong_answer(oracle):
    oracle.check_answer("read-1", "read", 200, b"y", b"x")
    assert "wrong answer" in oracle.violations[0]
