"""Moves, racing operators and cut-off routers, with the real programs."""

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
    """Sends chats to all routers, one after the other, until stopped."""

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


def end_of(rig, name):
    _, document = rig.ctl("move", "status", name)
    return document["moves"][0].get("end", "")


def weights(rig):
    return rig.objects("rows")["route-chat"]["row"]["weights"]


def runs_of(rig, version):
    names = [spec.name for spec in SERVERS if spec.version == version]
    return sum(engine_status(rig, name)["counts"]["requests"] for name in names)


def engine_status(rig, name):
    return call(f"{rig.url(name)}/control").document


def test_good_move_survives_its_holder_and_ends_done(make_rig, traffic):
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
    rig.wait_until(lambda: end_of(rig, "m1"), timeout_s=90.0)
    state = rig.objects("moves")["m1"]
    assert (state["end"], state["fence"]) == ("done", 2), state
    assert weights(rig) == {"chat-2": 1}
    assert engine_status(rig, "new-1")["orders"][-1][0] == "load"


@pytest.fixture
def bad_move(make_rig, traffic):
    """A rig whose move to a bad version was taken back, and its traffic."""
    rig = make_rig(routers=ROUTERS[:2], servers=SERVERS, relays=True)
    for name in ("new-1", "new-2"):
        rig.server_faults(name, fail_share=1.0)
    running = traffic(rig)
    start_move(rig, "m2", "120s")
    rig.wait_until(lambda: end_of(rig, "m2") == "taken_back", timeout_s=60.0)
    return rig, running


@pytest.fixture
def taken_back(bad_move):
    rig, _ = bad_move
    return rig


def test_bad_version_is_taken_back(taken_back):
    assert weights(taken_back) == {"chat-1": 1, "chat-2": 0}
    runs = runs_of(taken_back, "chat-2")
    assert runs > 0
    old_runs = runs_of(taken_back, "chat-1")
    taken_back.wait_until(lambda: runs_of(taken_back, "chat-1") > old_runs + 50)
    assert runs_of(taken_back, "chat-2") == runs


def test_bad_version_meets_few_requests(taken_back):
    assert runs_of(taken_back, "chat-2") <= 12


def test_old_version_answers_what_a_bad_one_fails(bad_move):
    _, running = bad_move
    assert set(running.statuses) == {200}
