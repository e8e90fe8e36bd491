"""Moves while holders crash, pause and lose the store.

The tests guard against two holders that control the traffic of one route at once: an
end that changes, a fencing number that goes back, or requests that reach the new
version beyond the stored stage or after its rollback. This could come about if a paused
holder continues after a takeover, or if a write takes effect late.
"""

import contextlib
import random
import types

import msgspec
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from pistachiowell.core.errors import StoreAnswerLost, StoreConflict, StoreUnavailable
from pistachiowell.moves import (
    Answer,
    EndDecision,
    Lease,
    MoveController,
    StageDecision,
)
from pistachiowell.moves.lease import LEASE_DURATION_S
from pistachiowell.moves.plan import STAGES
from pistachiowell.moves.tracker import MoveTracker
from pistachiowell.moves.traffic_tokens import TRAFFIC_TOKEN_S
from pistachiowell.router.move_store import MoveStore
from pistachiowell.schema.generated.objects_moves import MoveState
from pistachiowell.schema.generated.table import MoveRow, RouteRow
from pistachiowell.store.memory import ObjectTable

ROW = MoveRow("move", "m", "chat", "v1", "v2", "2026-01-01T00:00:00Z")
ROUTE = RouteRow("route", "chat", "model", {"v1": 1.0})
DEADLINE_S = 100.0
CANDIDATES = 3
FAULT = st.sampled_from(["", "", "", "lost", "dropped", "delayed", "down"])


@types.coroutine
def _pause():
    yield


class FaultyStore:
    """Store of one candidate; ``fault`` applies to its next write."""

    def __init__(self, objects, delayed_writes):
        self.objects, self.delayed_writes = objects, delayed_writes
        self.fault, self.paused = "", False

    async def get(self, collection, name):
        if self.fault == "down":
            raise StoreUnavailable
        return self.objects.get(collection, name)

    async def put(self, collection, name, value, version):
        if self.paused:
            await _pause()
        fault, self.fault = self.fault, ""
        if fault == "down":
            raise StoreUnavailable
        if fault == "delayed":
            self.delayed_writes.append((collection, name, value, version))
        if fault in ("dropped", "delayed"):
            raise StoreAnswerLost
        new_version = self.objects.put(collection, name, value, version)
        if fault == "lost":
            raise StoreAnswerLost
        return new_version


class Candidate:
    """Router that may hold the lease; it has its own clock and uses ``MoveStore``."""

    def __init__(self, fleet, number):
        self.fleet, self.offset = fleet, 1000.0 * number
        self.count = 0
        self.restart()

    def restart(self):
        self.count += 1
        self.incarnation = f"r{self.offset:.0f}-{self.count}"
        self.store = FaultyStore(self.fleet.objects, self.fleet.delayed_writes)
        self.move_store = MoveStore(self, ROW)
        self.move_store._lease = self.fleet.lease_class()
        self.controller, self.paused_step = None, None

    def now(self):
        return self.fleet.now + self.offset

    def act(self):
        """Runs one step of the holder's loop until it ends or pauses."""
        task = self.paused_step or self.step()
        try:
            task.send(None)
            self.paused_step = task
        except StopIteration:
            self.paused_step = None
        except StoreUnavailable:
            self.paused_step = None

    async def step(self):
        if not self.move_store.is_held:
            self.controller = None
            await self.move_store.read()
            state = self.move_store.state
            if (state and state.end) or not await self.move_store.try_acquire():
                return
            state = self.move_store.state
            deadline = self.now() + DEADLINE_S - self.fleet.now
            self.controller = MoveController(
                self.now(), deadline, 5.0, state.stage, state.judged
            )
            self.controller.set_loaded()
        if self.fleet.aborted and self.store.fault != "down":
            self.controller.abort("Aborted.")
        decision = self.controller.tick(self.now())
        if isinstance(decision, StageDecision):
            if await self.move_store.write(stage=decision.stage):
                self.controller.confirm(decision, self.now())
        elif isinstance(decision, EndDecision) and not self.move_store.state.end:
            await self.move_store.write(end=decision.end)
        elif self.move_store.needs_renewal:
            await self.move_store.write(judged=self.controller.judged)


class NaiveLease(Lease):
    """Treats the lease as held until a write fails."""

    __slots__ = ()

    def is_held(self, now):
        return self._held_until > float("-inf")


class RecordingTable(ObjectTable):
    """Reports each write that takes effect to the state machine."""

    __slots__ = ("on_write",)

    def put(self, collection, name, value, expected_version):
        version = super().put(collection, name, value, expected_version)
        self.on_write(msgspec.json.decode(value, type=MoveState))
        return version


class Fleet(RuleBasedStateMachine):
    lease_class = Lease

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.rng = random.Random(1)
        self.objects = RecordingTable()
        self.objects.on_write = self._check_write
        self.delayed_writes = []
        self.candidates = [Candidate(self, number) for number in range(CANDIDATES)]
        self.trackers = [MoveTracker(ROW) for _ in range(CANDIDATES)]
        self.bad = self.aborted = False
        self.end, self.rolled_back_at, self.fence = "", None, 0
        self.highest_stage = -1

    @rule(
        step_s=st.sampled_from([0.3, 1.0, 3.0, 9.0]),
        down=st.sets(st.integers(0, 2), max_size=2),
        faults=st.lists(FAULT, min_size=3, max_size=3),
        paused=st.sets(st.integers(0, 2), max_size=1),
        cut=st.sets(st.integers(0, 2), max_size=2),
        load=st.integers(0, 30),
    )
    def run(self, step_s, down, faults, paused, cut, load):
        """Advances the time and runs the processes that are not down."""
        self.now += step_s
        for number, candidate in enumerate(self.candidates):
            if number not in down:
                candidate.store.fault = faults[number]
                candidate.store.paused = number in paused
                candidate.act()
        for number in range(CANDIDATES):
            if number not in down:
                self._report(number, cut)
                self._send(number, load)

    @rule(seconds=st.integers(5, 20))
    def run_without_faults(self, seconds):
        """Runs for some time without faults, so that moves advance."""
        for _ in range(seconds):
            self.run(1.0, set(), ["", "", ""], set(), set(), 10)

    @rule(seconds=st.integers(5, 20), cut=st.sets(st.integers(0, 2), min_size=1))
    def run_partitioned(self, seconds, cut):
        """Runs while one side reaches neither the other side nor the store."""
        faults = ["down" if number in cut else "" for number in range(CANDIDATES)]
        for _ in range(seconds):
            self.run(1.0, set(), faults, set(), cut, 10)

    @rule()
    def abort(self):
        self.aborted = True

    @rule()
    def version_turns_bad(self):
        self.bad = True

    @rule(number=st.integers(0, 2))
    def restart(self, number):
        self.candidates[number].restart()

    @rule()
    def delayed_writes_take_effect(self):
        for write in self.delayed_writes:
            with contextlib.suppress(StoreConflict):
                self.objects.put(*write)
        self.delayed_writes.clear()

    def _check_write(self, state):
        assert self.end in ("", state.end)
        assert state.fence >= self.fence
        self.fence = state.fence
        self.end = state.end
        if state.end == "taken_back" and self.rolled_back_at is None:
            self.rolled_back_at = self.now
        self.highest_stage = max(self.highest_stage, state.stage)

    def _report(self, number, cut):
        """Reports of one router to every holder that it can reach."""
        tracker = self.trackers[number]
        for index, holder in enumerate(self.candidates):
            controller = holder.controller
            if (number in cut) != (index in cut) or controller is None:
                continue
            if not holder.move_store.is_held or holder.paused_step is not None:
                continue
            now = holder.now()
            counts, tripped = tracker.drain_report()
            for (answer, began), count in counts.items():
                controller.record_answers(answer, began + holder.offset, count)
            if tripped:
                controller.suspect_version(now)
            tracker.apply_traffic_token(
                fence=holder.move_store.state.fence,
                share=controller.share(),
                probes=controller.grant_probes(str(number), tracker.probes_left, now),
                valid_until=self.now + TRAFFIC_TOKEN_S,
                now=self.now,
            )

    def _send(self, number, load):
        tracker = self.trackers[number]
        bound = STAGES[self.highest_stage] if self.highest_stage >= 0 else 0.0
        assert tracker.current_share(self.now) <= bound
        for _ in range(load):
            version = tracker.pick_version(ROUTE, self.rng, self.now)
            if version == "v2":
                rolled_back_at = self.rolled_back_at
                assert (
                    rolled_back_at is None
                    or self.now <= rolled_back_at + TRAFFIC_TOKEN_S
                )
            failed = version == "v2" and self.bad
            tracker.record_answer(
                version, f"{version}-1", "dc", failed, self.now, self.now
            )


class NaiveLeaseFleet(Fleet):
    lease_class = NaiveLease


EFFORT = settings(max_examples=100, stateful_step_count=30, report_multiple_bugs=False)


def test_moves_under_faults():
    run_state_machine_as_test(Fleet, settings=EFFORT)


def test_naive_lease_is_rejected():
    effort = settings(EFFORT, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveLeaseFleet, settings=effort)


def run_controller(judge, new_fails, seconds=100):
    """Runs one controller at 20 requests per second.

    Returns:
        The end of the move and the number of bad answers.
    """
    controller = MoveController(0.0, 80.0, 10.0, judge=judge)
    controller.set_loaded()
    rng, bad = random.Random(3), 0
    for tick in range(seconds * 20):
        now = tick / 20
        is_new = rng.random() < controller.share() or (
            controller.grant_probes("r", 0, now) > 0 and controller.is_version_suspected
        )
        failed = is_new and new_fails
        bad += failed
        controller.record_answers(Answer(is_new, "s", "dc", failed, 8), now, 1)
        if failed and judge == "sequential":
            controller.suspect_version(now)
        decision = controller.tick(now)
        if isinstance(decision, EndDecision):
            return decision.end, bad
        if decision is not None:
            controller.confirm(decision, now)
    return "", bad


@pytest.mark.parametrize(
    ("judge", "new_fails", "end", "most_bad"),
    [
        ("sequential", False, "done", 0),
        ("sequential", True, "taken_back", 6),
        ("naive", False, "done", 0),
    ],
)
def test_controller_ends_the_move(judge, new_fails, end, most_bad):
    assert run_controller(judge, new_fails)[0] == end
    assert run_controller(judge, new_fails)[1] <= most_bad


def test_naive_judge_lets_a_bad_version_through():
    end, bad = run_controller("naive", True)
    assert end == "done"
    assert bad > 300


def test_quiet_route_is_taken_back_at_the_deadline():
    controller = MoveController(0.0, 100.0, 10.0)
    controller.set_loaded()
    now = 0.0
    while not isinstance(decision := controller.tick(now), EndDecision):
        if decision is not None:
            controller.confirm(decision, now)
        now += 1.0
    assert (decision.end, now) == ("taken_back", 100.0)
    assert "Only 0 answers" in decision.reason


def test_takeover_waits_for_every_traffic_token():
    lease = Lease()
    lease.record_renewal(1, sent_at=0.0)
    watcher = Lease()
    watcher.observe(1, now=0.0)
    assert not lease.is_held(LEASE_DURATION_S)
    assert not watcher.may_take_over(LEASE_DURATION_S + TRAFFIC_TOKEN_S - 0.01)


def test_probes_of_a_valid_traffic_token_are_not_granted_again():
    controller = MoveController(0.0, 100.0, 10.0)
    controller.set_loaded()
    controller.confirm(controller.tick(0.0), 0.0)
    controller.suspect_version(1.0)
    granted = controller.grant_probes("router-1", 0, 1.0)
    assert granted > 0
    assert controller.grant_probes("router-2", 0, 1.0 + TRAFFIC_TOKEN_S - 0.01) == 0
    assert (
        controller.grant_probes("router-2", 0, 1.0 + TRAFFIC_TOKEN_S + 0.01) == granted
    )
