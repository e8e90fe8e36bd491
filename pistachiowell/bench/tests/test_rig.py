"""Tests of the rig: each fault takes effect, and the fleet recovers from it."""

import pytest

from pistachiowell.bench.plan import DEFAULT_SERVERS, ServerSpec
from pistachiowell.bench.rig import RigTimeoutError
from pistachiowell.bench.rig_client import RigError


def is_answered(rig, **fields):
    return rig.chat("hello words=4", **fields).status == 200


def test_requests_pass_through_separate_processes(rig):
    """Requests to model and plain servers succeed across separate processes."""
    reply = rig.chat("hello words=4")
    assert reply.status == 200, reply
    assert reply.document["usage"]["total_tokens"] == 6
    assert rig.service("stock/belts", {}).status == 200
    assert rig.chat("hello", account="nobody").error_code == "unauthorized"
    pids = {process.pid for process in rig.processes.values()}
    assert len(pids) == len(rig.processes)


@pytest.mark.parametrize("name", ["router-2", "agent-engine-1", "engine-2"])
def test_killed_and_restarted_process_serves_again(rig, name):
    """The fleet serves without a killed process, and with it after its restart."""
    rig.kill(name)
    rig.wait_until(lambda: is_answered(rig), "The others serve.")
    rig.restart(name)
    rig.wait_ready()
    assert all(is_answered(rig, router=router) for router in rig.routers)


def test_links_recover_from_cuts_and_partitions(rig):
    """Routers reconnect after a cut and a partition, and serve without the store.

    A cut with ``only_from`` must end the links of that peer alone.
    """
    rig.set_link("agent-engine-1", cut=True, only_from=["router-1"])
    rig.wait_until(lambda: "agent-engine-1" not in rig.linked_peers("router-1"))
    assert "agent-engine-1" in rig.linked_peers("router-2")
    rig.clear_link_and_store_faults()
    rig.wait_ready()
    rig.partition(["osu"], ["tema"])
    rig.wait_until(lambda: is_answered(rig, timeout_s=1.0), "One side serves.")
    rig.clear_link_and_store_faults()
    rig.wait_ready()
    rig.store_faults(down=True)
    assert is_answered(rig)
    rig.clear_link_and_store_faults()


def test_wait_until_reports_the_unmet_condition(rig):
    """The error of a timeout contains the sentence of the expected condition."""
    with pytest.raises(RigTimeoutError, match="Never."):
        rig.wait_until(lambda: False, "Never.", timeout_s=0.1)


def test_start_passes_over_a_program_that_has_ended(make_rig):
    """A fleet that lacks a program from the start is not given to a test."""
    broken = ServerSpec("engine-1", "osu", "chat-1", flags=("--no_such_flag",))
    with pytest.raises(RigError, match="engine-1 has ended"):
        make_rig(servers=(broken,), routers=(("router-1", "osu"),))


def test_stopped_rig_leaves_nothing_running(make_rig):
    """A rig kills all its processes at its end, including a paused one.

    A paused process would not handle SIGTERM and would be left behind.
    """
    rig = make_rig(servers=DEFAULT_SERVERS[:1], routers=(("router-1", "osu"),))
    rig.pause("router-1")
    rig.stop()
    assert not any(process.running for process in rig.processes.values())
