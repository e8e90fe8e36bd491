"""The smooth split keeps the count of each version close to its share.

Guards against a version with a small weight that gets several requests in a row, from
one router by chance or from many routers at the same time.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiowell.core.rng import Random
from pistachiowell.routing import SPLITTERS

WEIGHTS = {"old": 99.0, "new": 1.0}


def largest_excess(name, seed, weights, count=300):
    split = SPLITTERS.find(name)(Random(seed))
    sent = dict.fromkeys(weights, 0)
    excess = 0.0
    for number in range(1, count + 1):
        sent[split.choose("chat", weights)] += 1
        for version, weight in weights.items():
            share = number * weight / sum(weights.values())
            excess = max(excess, sent[version] - share)
    return excess


@given(st.integers(0, 999), st.lists(st.integers(1, 99), min_size=1, max_size=4))
def test_no_version_passes_its_share_by_more_than_the_bound(seed, weights):
    weights = {f"v{n}": weight for n, weight in enumerate(weights)}
    assert largest_excess("smooth", seed, weights) <= len(weights)


def test_drawn_split_passes_it():
    with pytest.raises(AssertionError):
        assert max(largest_excess("random", seed, WEIGHTS) for seed in range(20)) <= 2


def test_routers_meet_a_small_version_at_different_requests():
    first = set()
    for seed in range(50):
        split = SPLITTERS.find("smooth")(Random(seed))
        sent = [split.choose("chat", WEIGHTS) for _ in range(100)]
        assert sent.count("new") <= 2
        first.add(sent.index("new") if "new" in sent else 100)
    assert len(first) > 20


def test_zero_weights_choose_nothing():
    for name in ("smooth", "random"):
        assert SPLITTERS.find(name)(Random(1)).choose("chat", {"v": 0.0}) is None
