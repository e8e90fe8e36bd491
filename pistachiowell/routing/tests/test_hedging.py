"""Second attempts for slow answers.

Guards against latency that a few slow answers set although other servers are idle, and
against hedges that add to an overload or exceed their share. Each test is named for the
failure that it guards against.
"""

from dataclasses import replace

import pytest

from pistachiowell.bench.hedging import (
    FLEET,
    FLEET_REQUESTS,
    KIND,
    REQUESTS,
    HedgeModel,
)
from pistachiowell.routing import (
    HEDGE_POLICIES,
    AttemptFailure,
    HedgeDenial,
    HedgeSettings,
    RetryShare,
    RetryShareSettings,
    RouteRetries,
)


def play(policy, load, **more):
    model = HedgeModel(policy, load, **more)
    model.run(REQUESTS)
    return model


@pytest.fixture
def policy():
    """A policy that has learned 0.1 s and saved hedges."""
    policy = HEDGE_POLICIES.find("quantile")(HedgeSettings(share=0.1))
    for number in range(60):
        policy.record_request(KIND)
        policy.record_answer(KIND, 0.1, number / 10, was_slow=False)
    return policy


@pytest.fixture
def retries():
    """A ``RetryShare`` with nearly all of its retries left."""
    share = RetryShare(RetryShareSettings(), lambda: 1)
    share.record_request(6.0)
    return share


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_slow_tail_stays_without_hedges(seed):
    plain = play("none", 0.3, seed=seed)
    hedged = play("quantile", 0.3, seed=seed)
    assert hedged.quantile_s(0.99) < 0.6 * plain.quantile_s(0.99)
    assert not plain.hedged_at
    assert 0.02 * REQUESTS < len(hedged.hedged_at) <= 0.05 * REQUESTS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_gateways_with_few_answers_each_hedge_nothing(seed):
    plain = HedgeModel("none", 0.3, seed, FLEET)
    hedged = HedgeModel(HedgeSettings().policy, 0.3, seed, FLEET)
    for model in (plain, hedged):
        model.run(FLEET_REQUESTS)
    assert hedged.quantile_s(0.99) < 0.75 * plain.quantile_s(0.99)
    # A route that always takes three times as long is not hedged more than the others.
    hedges = [hedged.hedges_by_kind[kind] for kind in FLEET.kinds]
    assert max(hedges) < 1.5 * min(hedges)
    assert all(
        number <= 0.05 * requests
        for number, requests in enumerate(hedged.hedged_at, start=1)
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_is_hedged_by_gateways_with_few_answers(seed):
    shape = replace(FLEET, slowdown_s=40.0)
    model = HedgeModel(HedgeSettings().policy, 0.7, seed, shape)
    model.run(FLEET_REQUESTS)
    assert model.hedged_at
    assert model.late_hedges < 0.02 * FLEET_REQUESTS * FLEET.hedgeable
    assert model.last_hedge_s < shape.slowdown_s + 20.0


@pytest.mark.parametrize("policy", ["quantile", "fixed_delay"])
@pytest.mark.parametrize("load", [0.3, 0.6, 0.9])
def test_hedges_exceed_their_share(policy, load):
    model = play(policy, load, share=0.02)
    assert all(
        number <= 0.02 * requests + 1e-6
        for number, requests in enumerate(model.hedged_at, start=1)
    )


@pytest.mark.parametrize("policy", ["quantile", "fixed_delay"])
def test_overload_is_hedged(policy):
    model = play(policy, 1.3)
    late = [requests for requests in model.hedged_at if requests > REQUESTS / 4]
    assert late == []


def test_few_answers_are_taken_for_the_usual(policy):
    other = ("desk", "other")
    policy.record_request(other)
    for _ in range(HedgeSettings().min_samples - 1):
        policy.record_answer(other, 0.1, 6.0, was_slow=False)
    assert policy.delay_s(other, 6.0) is None
    policy.record_answer(other, 0.1, 6.0, was_slow=False)
    assert policy.delay_s(other, 6.0) is not None


def test_answers_of_hedges_shorten_the_delay(policy):
    # Each slow answer is cut short by its hedge. The first attempt is counted with the
    # time that it was given, or the quantile would fall with each hedge.
    for number in range(1_000):
        now = 6.0 + number / 100
        delay_s = policy.delay_s(KIND, now)
        time_s = delay_s + 0.05 if number % 20 == 0 else 0.1
        policy.record_answer(KIND, time_s, now, was_slow=time_s > delay_s)
    assert 0.1 <= policy.delay_s(KIND, 16.0) < 0.2


def test_hedge_is_sent_shortly_before_the_deadline(policy):
    assert policy.denial(KIND, 1.0, 6.0) is None
    assert policy.denial(KIND, 0.09, 6.0) is HedgeDenial.late


def test_gateway_at_its_limit_hedges(policy):
    assert policy.denial(KIND, 1.0, 6.0, refused_share=0.01) is HedgeDenial.load
    for _ in range(20):
        policy.record_transit(0.1, 6.0)
    assert policy.denial(KIND, 1.0, 6.0) is HedgeDenial.load


def test_service_whose_servers_refuse_is_hedged(policy):
    policy.record_refusal("desk", 6.0)
    assert policy.denial(KIND, 1.0, 7.9) is HedgeDenial.load
    assert policy.denial(KIND, 1.0, 8.1) is None


def test_hedges_take_the_retries_that_failures_need(policy, retries):
    sent = 0
    while policy.denial(KIND, 1.0, 6.0) is None and policy.try_spend(retries, 6.0):
        sent += 1
        policy.record_request(KIND)
        policy.record_request(KIND)
        for _ in range(10):
            policy.record_request(KIND)
    assert sent == retries.retries
    assert retries.has_left(6.0)
    left = 0
    while retries.try_spend(6.0):
        left += 1
    assert left >= sent


def test_both_attempts_count_against_the_route():
    route = type("Route", (), {"is_idempotent": True, "max_attempts": 3})
    share = RetryShare(RetryShareSettings(), lambda: 1)
    requests = RouteRetries(route, 9.0)
    failure = AttemptFailure("server_failed", "unknown")
    requests.start(0.0, share)
    requests.start(0.0, share)
    requests.record_failure(failure)
    assert requests.may_retry(failure, 0.0, share)
    requests.start(0.0, share)
    assert not requests.may_retry(failure, 0.0, share)
