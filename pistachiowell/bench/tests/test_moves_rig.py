"""Tests of version moves with the real programs.

A move survives the loss of the router that runs it, and a move to a version that
fails is rolled back before many requests have reached that version.
"""

import threading
import time

import pytest

from pistachiowell.bench.client import call
from pistachiowell.bench.plan import ServerSpec

ROUTERS = (("router-1", "osu"), ("router-2", "tema"), ("router-3", "kasoa"))
SERVERS = (
    ServerSpec("old-1", "osu", "chat-1"),
    ServerSpec("new-1", "osu", "chat-2"),
    ServerSpec("new-2", "tema", "chat-2"),
)


class Traffic:
    """Sends chats to all routers until stopped, on one thread for each router."""

    def __init__(self, rig):
        self.rig, self.stopped, self.statuses = rig, False, []
        self.threads = [
            threading.Thread(target=self.send, args=(name,)) for name in rig.routers
        ]
        for thread in self.threads:
            thread.start()

    def send(self, router):
        while not self.stopped:
            reply = self.rig.chat("hello words=2", router=router, timeout_s=2.0)
            self.statuses.append(reply.status)
            time.sleep(0.03)

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()


@pytest.fixture
def traffic():
    running = []

    def start(rig):
        running.append(Traffic(rig))
        return running[-1]

    yield start
    for one in running:
        one.stop()


def start_move(rig, name, deadline):
    code, document = rig.ctl(
        "move", "start", name, "chat", "chat-1", "chat-2", deadline, "--soak=2"
    )
    assert code == 0, document


def move_end(rig, name):
    _, document = rig.ctl("move", "status", name)
    return document["moves"][0].get("end", "")


def route_weights(rig):
    return rig.objects("rows")["route-chat"]["row"]["weights"]


def count_requests(rig, version):
    names = [spec.name for spec in SERVERS if spec.version == version]
    return sum(engine_status(rig, name)["counts"]["requests"] for name in names)


def engine_status(rig, name):
    return call(f"{rig.url(name)}/control").document


def test_good_move_survives_its_holder_and_ends_done(make_rig, traffic):
    """Another router takes over the move of a paused router and completes it.

    The paused router resumes while it still believes that it holds the move. The
    fence, which each takeover increments, must reject its late decisions.
    """
    rig = make_rig(routers=ROUTERS, servers=SERVERS, relays=True)
    traffic(rig)
    start_move(rig, "m1", "35s")
    rig.wait_until(lambda: rig.objects("moves").get("m1", {}).get("stage", -1) >= 0)
    holder = rig.objects("moves")["m1"]["holder"]
    by_incarnation = {
        r["incarnation"]: r["id"] for r in rig.objects("routers").values()
    }
    rig.pause(by_incarnation[holder])
    rig.wait_until(lambda: rig.objects("moves")["m1"]["fence"] == 2)
    rig.resume(by_incarnation[holder])
    rig.wait_until(lambda: move_end(rig, "m1"), timeout_s=90.0)
    state = rig.objects("moves")["m1"]
    assert (state["end"], state["fence"]) == ("done", 2), state
    assert route_weights(rig) == {"chat-2": 1}
    assert engine_status(rig, "new-1")["orders"][-1][0] == "load"


@pytest.fixture
def bad_move(make_rig, traffic):
    """Returns a rig whose move to a failing version was rolled back, and its traffic.

    The servers of the new version fail every request.
    """
    rig = make_rig(routers=ROUTERS[:2], servers=SERVERS, relays=True)
    for name in ("new-1", "new-2"):
        rig.server_faults(name, fail_share=1.0)
    running = traffic(rig)
    start_move(rig, "m2", "120s")
    rig.wait_until(lambda: move_end(rig, "m2") == "taken_back", timeout_s=60.0)
    return rig, running


@pytest.fixture
def rolled_back_rig(bad_move):
    rig, _ = bad_move
    return rig


def test_bad_version_is_taken_back(rolled_back_rig):
    """The weights return to the old version, and no request reaches the new one."""
    assert route_weights(rolled_back_rig) == {"chat-1": 1, "chat-2": 0}
    new_count = count_requests(rolled_back_rig, "chat-2")
    assert new_count > 0
    old_count = count_requests(rolled_back_rig, "chat-1")
    rolled_back_rig.wait_until(
        lambda: count_requests(rolled_back_rig, "chat-1") > old_count + 50
    )
    assert count_requests(rolled_back_rig, "chat-2") == new_count


def test_bad_version_meets_few_requests(rolled_back_rig):
    """The move is stopped before many requests have reached the failing version."""
    assert count_requests(rolled_back_rig, "chat-2") <= 12


def test_old_version_answers_what_a_bad_one_fails(bad_move):
    """Callers see no failure: requests that the new version fails are retried."""
    _, running = bad_move
    assert set(running.statuses) == {200}
