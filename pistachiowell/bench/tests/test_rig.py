"""Tests of the rig: the programs survive kills, pauses, cuts and restarts."""

import pytest

from pistachiowell.bench.plan import DEFAULT_SERVERS
from pistachiowell.bench.rig import RigTimeoutError


def answered(rig, **fields):
    return rig.chat("hello words=4", **fields).status == 200


def test_requests_pass_through_separate_processes(rig):
    reply = rig.chat("hello words=4")
    assert reply.status == 200, reply
    assert reply.document["usage"]["total_tokens"] == 6
    assert rig.service("stock/belts", {}).status == 200
    assert rig.chat("hello", account="nobody").error_code == "unauthorized"
    pids = {process.pid for process in rig.processes.values()}
    assert len(pids) == len(rig.processes)


@pytest.mark.parametrize("name", ["router-2", "agent-engine-1", "engine-2"])
def test_killed_and_restarted_process_serves_again(rig, name):
    rig.kill(name)
    rig.wait_until(lambda: answered(rig), "The others serve.")
    rig.restart(name)
    rig.wait_ready()
    assert all(answered(rig, router=router) for router in rig.routers)


def test_cut_and_dropping_links_heal(rig):
    rig.set_link("agent-engine-1", cut=True, only_from=["router-1"])
    rig.wait_until(lambda: "agent-engine-1" not in rig.linked_peers("router-1"))
    assert "agent-engine-1" in rig.linked_peers("router-2")
    rig.clear_link_and_store_faults()
    rig.wait_ready()
    rig.partition(["osu"], ["tema"])
    rig.wait_until(lambda: answered(rig, timeout_s=1.0), "One side serves.")
    rig.clear_link_and_store_faults()
    rig.wait_ready()
    rig.store_faults(down=True)
    assert answered(rig)
    rig.clear_link_and_store_faults()


def test_wait_until_tells_what_did_not_come(rig):
    with pytest.raises(RigTimeoutError, match="Never."):
        rig.wait_until(lambda: False, "Never.", timeout_s=0.1)


def test_stopped_rig_leaves_nothing_running(make_rig):
    rig = make_rig(servers=DEFAULT_SERVERS[:1], routers=(("router-1", "osu"),))
    rig.pause("router-1")
    rig.stop()
    assert not any(process.running for process in rig.processes.values())
