"""Holders that die, freeze and wake, and stores that fail, against what must hold."""

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
from pistachiowell.moves import Answer, EndMove, Lease, Mover, MoveStage
from pistachiowell.moves.lease import LEASE_S
from pistachiowell.moves.permits import PERMIT_S
from pistachiowell.moves.plan import STAGES
from pistachiowell.moves.tracker import Tracker
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
    """The store as one candidate sees it; ``fault`` counts for its next write."""

    def __init__(self, objects, late):
        self.objects, self.late = objects, late
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
            self.late.append((collection, name, value, version))
        if fault in ("dropped", "delayed"):
            raise StoreAnswerLost
        new_version = self.objects.put(collection, name, value, version)
        if fault == "lost":
            raise StoreAnswerLost
        return new_version


class Candidate:
    """A router that may hold the lease, with its own clock and the real store code."""

    def __init__(self, fleet, number):
        self.fleet, self.offset = fleet, 1000.0 * number
        self.count = 0
        self.restart()

    def restart(self):
        self.count += 1
        self.incarnation = f"r{self.offset:.0f}-{self.count}"
        self.store = FaultyStore(self.fleet.objects, self.fleet.late)
        self.moves = MoveStore(self, ROW)
        self.moves._lease = self.fleet.lease_class()
        self.mover, self.sleeping = None, None

    def now(self):
        return self.fleet.now + self.offset

    def act(self):
        """Runs one step of the holder's loop, to its end or to its pause."""
        task = self.sleeping or self.step()
        try:
            task.send(None)
            self.sleeping = task
        except StopIteration:
            self.sleeping = None
        except StoreUnavailable:
            self.sleeping = None

    async def step(self):
        if not self.moves.is_held:
            self.mover = None
            await self.moves.read()
            state = self.moves.state
            if (state and state.end) or not await self.moves.try_acquire():
                return
            state = self.moves.state
            deadline = self.now() + DEADLINE_S - self.fleet.now
            self.mover = Mover(self.now(), deadline, 5.0, state.stage, state.judged)
            self.mover.set_loaded()
        if self.fleet.aborted and self.store.fault != "down":
            self.mover.abort("Aborted.")
        action = self.mover.tick(self.now())
        if isinstance(action, MoveStage):
            if await self.moves.write(stage=action.stage):
                self.mover.confirm(action, self.now())
        elif isinstance(action, EndMove) and not self.moves.state.end:
            await self.moves.write(end=action.end)
        elif self.moves.needs_renewal:
            await self.moves.write(judged=self.mover.judged)


class NaiveLease(Lease):
    """Believes in its lease until a write fails."""

    __slots__ = ()

    def is_held(self, now):
        return self._held_until > float("-inf")


class RecordingTable(ObjectTable):
    """Tells the machine of each write that takes effect."""

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
        self.objects.on_write = self._note_write
        self.late = []
        self.candidates = [Candidate(self, number) for number in range(CANDIDATES)]
        self.trackers = [Tracker(ROW) for _ in range(CANDIDATES)]
        self.bad = self.aborted = False
        self.end, self.taken_back_at, self.fence = "", None, 0
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
        """Time passes; the processes that are not down act."""
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
    def run_well(self, seconds):
        """A while without faults, so that moves get somewhere."""
        for _ in range(seconds):
            self.run(1.0, set(), ["", "", ""], set(), set(), 10)

    @rule(seconds=st.integers(5, 20), cut=st.sets(st.integers(0, 2), min_size=1))
    def run_partitioned(self, seconds, cut):
        """A while in which one side sees neither the other nor the store."""
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
    def delayed_writes_land(self):
        for write in self.late:
            with contextlib.suppress(StoreConflict):
                self.objects.put(*write)
        self.late.clear()

    def _note_write(self, state):
        assert self.end in ("", state.end)
        assert state.fence >= self.fence
        self.fence = state.fence
        self.end = state.end
        if state.end == "taken_back" and self.taken_back_at is None:
            self.taken_back_at = self.now
        self.highest_stage = max(self.highest_stage, state.stage)

    def _report(self, number, cut):
        """A router reports to every candidate that it can reach and that holds."""
        tracker = self.trackers[number]
        for index, holder in enumerate(self.candidates):
            mover = holder.mover
            if (number in cut) != (index in cut) or mover is None:
                continue
            if not holder.moves.is_held or holder.sleeping is not None:
                continue
            now = holder.now()
            counts, tripped = tracker.take_report()
            for (answer, began), count in counts.items():
                mover.take(answer, began + holder.offset, count)
            if tripped:
                mover.trip(now)
            tracker.take_permit(
                fence=holder.moves.state.fence,
                share=mover.share(),
                probes=mover.probes(str(number), tracker.probes_left, now),
                valid_until=self.now + PERMIT_S,
                now=self.now,
            )

    def _send(self, number, load):
        tracker = self.trackers[number]
        bound = STAGES[self.highest_stage] if self.highest_stage >= 0 else 0.0
        assert tracker.permit_share(self.now) <= bound
        for _ in range(load):
            version = tracker.pick(ROUTE, self.rng, self.now)
            if version == "v2":
                gone = self.taken_back_at
                assert gone is None or self.now <= gone + PERMIT_S
            failed = version == "v2" and self.bad
            tracker.note(version, f"{version}-1", "dc", failed, self.now, self.now)


class NaiveLeaseFleet(Fleet):
    lease_class = NaiveLease


EFFORT = settings(max_examples=100, stateful_step_count=30, report_multiple_bugs=False)


def test_moves_under_faults():
    run_state_machine_as_test(Fleet, settings=EFFORT)


def test_naive_lease_is_rejected():
    effort = settings(EFFORT, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveLeaseFleet, settings=effort)


def drive(judge, new_fails, seconds=100):
    """Runs one mover with twenty requests a second; returns end and bad answers."""
    mover = Mover(0.0, 80.0, 10.0, judge=judge)
    mover.set_loaded()
    rng, bad = random.Random(3), 0
    for tick in range(seconds * 20):
        now = tick / 20
        is_new = rng.random() < mover.share() or (
            mover.probes("r", 0, now) > 0 and mover.is_suspect
        )
        failed = is_new and new_fails
        bad += failed
        mover.take(Answer(is_new, "s", "dc", failed, 8), now, 1)
        if failed and judge == "sequential":
            mover.trip(now)
        action = mover.tick(now)
        if isinstance(action, EndMove):
            return action.end, bad
        if action is not None:
            mover.confirm(action, now)
    return "", bad


@pytest.mark.parametrize(
    ("judge", "new_fails", "end", "most_bad"),
    [
        ("sequential", False, "done", 0),
        ("sequential", True, "taken_back", 6),
        ("naive", False, "done", 0),
    ],
)
def test_mover_ends(judge, new_fails, end, most_bad):
    assert drive(judge, new_fails)[0] == end
    assert drive(judge, new_fails)[1] <= most_bad


def test_naive_judge_lets_a_bad_version_through():
    end, bad = drive("naive", True)
    assert end == "done"
    assert bad > 300


def test_quiet_route_is_taken_back_at_the_deadline():
    mover = Mover(0.0, 100.0, 10.0)
    mover.set_loaded()
    now = 0.0
    while not isinstance(action := mover.tick(now), EndMove):
        if action is not None:
            mover.confirm(action, now)
        now += 1.0
    assert (action.end, now) == ("taken_back", 100.0)
    assert "Only 0 answers" in action.reason


def test_lease_outlasts_every_permit():
    lease = Lease()
    lease.renewed(1, sent_at=0.0)
    watcher = Lease()
    watcher.observe(1, now=0.0)
    assert not lease.is_held(LEASE_S)
    assert not watcher.may_take_over(LEASE_S + PERMIT_S - 0.01)


def test_probes_of_a_permit_that_holds_are_not_granted_again():
    mover = Mover(0.0, 100.0, 10.0)
    mover.set_loaded()
    mover.confirm(mover.tick(0.0), 0.0)
    mover.trip(1.0)
    granted = mover.probes("router-1", 0, 1.0)
    assert granted > 0
    assert mover.probes("router-2", 0, 1.0 + PERMIT_S - 0.01) == 0
    assert mover.probes("router-2", 0, 1.0 + PERMIT_S + 0.01) == granted
