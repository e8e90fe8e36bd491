"""Outlier ejection, load estimates and selection of servers.

Guards against requests that keep going to a slow or failing server, to a server that
refuses while its reports show free slots, or to a far server while a near one has room.
"""

import pytest

from pistachiowell.core.rng import Random
from pistachiowell.routing import (
    PICKERS,
    Candidate,
    HealthTable,
    LoadTable,
    RoutingSettings,
)

SERVERS = ["s1", "s2", "s3", "s4"]


@pytest.fixture
def table():
    return HealthTable(RoutingSettings())


def test_slow_server_is_ejected_and_comes_back_after_a_good_probe(table):
    for server in SERVERS:
        for _ in range(12):
            table.record_success(server, 2.0 if server == "s2" else 0.1, 0.0)
    assert table.usable(SERVERS, 0.0) == ["s1", "s3", "s4"]
    assert table.usable(SERVERS, 2.5) == SERVERS
    table.record_start("s2", 2.5)
    assert table.usable(SERVERS, 2.6) == ["s1", "s3", "s4"]
    table.record_success("s2", 0.1, 2.7)
    assert table.usable(SERVERS, 2.8) == SERVERS


def test_failed_probe_doubles_the_ejection(table):
    for _ in range(3):
        table.record_failure("s1", 0.0)
    table.record_start("s1", 2.0)
    table.record_failure("s1", 2.0)
    assert "s1" not in table.usable(SERVERS, 5.9)
    assert "s1" in table.usable(SERVERS, 6.0)


def test_probe_without_a_result_leaves_the_server_to_the_next_one(table):
    for _ in range(3):
        table.record_failure("s1", 0.0)
    table.record_start("s1", 2.0)
    assert "s1" not in table.usable(SERVERS, 2.1)
    table.record_inconclusive("s1")
    assert "s1" in table.usable(SERVERS, 2.2)


def test_server_that_refuses_counts_as_full_whatever_it_reports():
    loads = LoadTable(RoutingSettings())
    loads.record_load("s1", 0, 0, 8, 0.0)
    loads.record_refusal("s1", 0.0)
    loads.record_load("s1", 0, 0, 8, 0.1)
    assert loads.load_per_slot("s1", 0.2) > 1.0
    assert loads.load_per_slot("s1", 1.0) == 0.0


def test_at_most_half_are_ejected(table):
    for server in SERVERS:
        for _ in range(3):
            table.record_failure(server, 0.0)
    assert len(table.usable(SERVERS, 1.0)) == 2


def test_near_servers_go_first_until_they_are_full():
    settings = RoutingSettings()
    loads = LoadTable(settings)
    candidates = [Candidate("near", "osu", 0), Candidate("far", "tema", 1)]
    picker = PICKERS.find("two_choices")(settings, loads, Random(1))
    loads.record_load("near", 7, 0, 8, 0.0)
    loads.record_load("far", 0, 0, 8, 0.0)
    assert picker.pick(candidates, "", 0.0).server == "near"
    loads.record_sent("near")
    assert picker.pick(candidates, "", 0.0).server == "far"


def test_prefix_stays_on_its_server_within_the_bound():
    settings = RoutingSettings()
    loads = LoadTable(settings)
    candidates = [Candidate(server) for server in SERVERS]
    picker = PICKERS.find("two_choices")(settings, loads, Random(1))
    for server in SERVERS:
        loads.record_load(server, 0, 0, 8, 0.0)
    owner = picker.pick(candidates, "prefix", 0.0).server
    assert {picker.pick(candidates, "prefix", 0.0).server for _ in range(20)} == {owner}
    for _ in range(4):
        loads.record_sent(owner)
    assert picker.pick(candidates, "prefix", 0.0).server != owner


@pytest.mark.parametrize("cold", [1, 7])
def test_cold_servers_are_chosen_of_six_as_often_as_of_two(cold):
    # Of six alone, cold servers would get nothing as long as one of them is warm.
    candidates = [Candidate(f"s{n}", is_cold=n < cold) for n in range(8)]
    shares = []
    for name in ("two_choices", "six_choices"):
        settings = RoutingSettings(picker=name)
        picker = PICKERS.find(name)(settings, LoadTable(settings), Random(1))
        picks = [picker.pick(candidates, "", 0.0) for _ in range(2000)]
        shares.append(sum(c.is_cold for c in picks) / len(picks))
    assert shares[0] == pytest.approx(shares[1], abs=0.05)
