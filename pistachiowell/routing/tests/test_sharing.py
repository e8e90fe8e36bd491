"""Rate and content of the load reports in fleets with many routers and engines.

Guards against reports whose bandwidth grows with each round and each router until the
links have no room for requests.
"""

import pytest

from pistachiowell.routing import (
    REPORT_PACERS,
    EngineLoad,
    LoadSums,
    SharingSettings,
)

DURATION_S = 10.0
CHANGE_S = 1.0


def reports_per_s(pacer_name, routers):
    """Returns the reports of one engine to all routers in a second.

    The load changes every ``CHANGE_S``.
    """
    settings = SharingSettings(pacer=pacer_name)
    pacer = REPORT_PACERS.find(pacer_name)(settings)
    last_reports = {}
    now, sent = 0.0, 0
    while now < DURATION_S:
        report = int(now / CHANGE_S)
        for router in range(routers):
            last, last_at = last_reports.get(router, (None, float("-inf")))
            if pacer.is_due(report, last, last_at, now):
                last_reports[router] = (report, now)
                sent += 1
        now += pacer.interval_s(routers)
    return sent / DURATION_S


@pytest.mark.parametrize("routers", [3, 27, 350])
def test_paced_reports_are_heartbeats_and_changes(routers):
    assert reports_per_s("changes", routers) <= 3.1 * routers


def test_naive_reports_grow_with_each_round():
    assert reports_per_s("always", 27) > 250


def test_interval_grows_with_the_fleet_up_to_the_heartbeat():
    pacer = REPORT_PACERS.find("changes")(SharingSettings())
    assert [pacer.interval_s(n) for n in (3, 50, 1000)] == [0.1, 0.25, 0.5]


def test_sums_follow_routers_that_come_change_and_go():
    sums = LoadSums()
    for number in range(5):
        sums.record_load(number, EngineLoad(10, 1, 20))
    sums.record_load(0, EngineLoad(0, 0, 0))
    sums.remove(1)
    sums.remove("unknown")
    assert sums.total_except(2) == EngineLoad(20, 2, 40)
    assert sums.total_except("unknown") == EngineLoad(30, 3, 60)
