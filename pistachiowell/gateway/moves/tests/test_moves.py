"""Tests of version moves with gateways and a judge, without a network."""

import copy
import heapq
import itertools
import math
from collections import Counter
from random import Random
from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.catalog import BackendServer, ServerRegistry
from pistachiowell.core.errors import DeadlineExceeded, LinkLost, Overloaded
from pistachiowell.gateway.moves.move_judge import MoveJudge
from pistachiowell.gateway.moves.move_orders import MoveOrder, MoveState
from pistachiowell.gateway.moves.moves import GatewayMoves
from pistachiowell.gateway.selection.selection import Selection
from pistachiowell.gateway.selection.selection_parts import SelectionSources
from pistachiowell.moves.evidence import AnswerPhase
from pistachiowell.store.era import REVISION_BITS
from pistachiowell.store.memory import ObjectTable
from pistachiowell.wire import Handlers

pytestmark = pytest.mark.anyio

DURATION_S = 12.0
SERVERS = [
    BackendServer(f"{version}-{n}", "desk", "10.0.0.1", 80 + n, f"dc-{n}", version)
    for version in ("v1", "v2")
    for n in range(3)
]


class Codec:
    """Fake of the adapter's codec."""

    COLLECTION = "moves"

    @staticmethod
    def encode_state(order, state):
        """Returns the state as it is."""
        return state


class JudgeLink:
    """Link of one gateway to the judges of a simulation."""

    def __init__(self, simulation, name, incarnation):
        self.simulation = simulation
        self.hello = SimpleNamespace(id=name, incarnation=incarnation)

    async def call(self, message, timeout_s):
        """Calls the judge."""
        del timeout_s
        return await self.simulation.judge.handle_report(self, message)


class Simulation:
    """Three gateways, one judge, a clock and a store for states."""

    def __init__(self):
        self.time = 100.0
        self.version = 7
        self.state = MoveState.ordered
        self.states = []
        self.table = ObjectTable()
        self.copied = None
        self.fleets = []
        self._runs = itertools.count()
        settings = SimpleNamespace(exposure_share=0.1, exposure_slack=50.0)
        self.runtime = SimpleNamespace(
            now=lambda: self.time, store=self, settings=settings
        )
        self.start_judge()
        self.gateways = [self.make_gateway() for _ in range(3)]

    def start_judge(self):
        """Replaces the judge by one that knows nothing."""
        self.judge = MoveJudge(self.runtime, Handlers(), Codec)
        for fleet in self.fleets:
            self.link_judge(fleet)

    def link_judge(self, fleet):
        """Gives a gateway a new link to the judge."""
        number = fleet.number
        link = JudgeLink(self, f"g{number}", f"run-{number}")
        fleet.agents["judge"] = SimpleNamespace(
            usable=True, registered_version=1, link=link
        )

    def make_gateway(self):
        """Returns a new run of a gateway."""
        number = next(self._runs)
        fleet = SimpleNamespace(agents={}, number=number)
        self.link_judge(fleet)
        self.fleets.append(fleet)
        return GatewayMoves(self.runtime, fleet, Random(number))

    def take_copy(self):
        """Takes a copy of what the store holds."""
        self.copied = (copy.deepcopy(self.table), self.state, self.version)

    def return_from_copy(self):
        """Puts the copy in place of what the store holds, in a new era."""
        self.table, self.state, version = self.copied
        self.version = max(version, ((version >> REVISION_BITS) + 1) << REVISION_BITS)
        self.apply_orders()

    async def put_status(self, collection, name, value, version):
        """Stores a state like the platform's store."""
        del collection, name
        assert version == self.version
        self.version += 1
        self.state = value
        self.states.append((self.time, value))
        return self.version

    async def get(self, collection, name):
        """Reads from the table."""
        return self.table.get(collection, name)

    async def put(self, collection, name, value, version):
        """Writes to the table."""
        return self.table.put(collection, name, value, version)

    async def delete(self, collection, name, version):
        """Deletes from the table."""
        return self.table.delete(collection, name, version)

    def apply_orders(self, target="v2"):
        """Applies the present order at the gateways and the judge."""
        order = MoveOrder("desk", target, DURATION_S, self.state, self.version)
        for part in (*self.gateways, self.judge):
            part.apply_orders({"desk": order})

    async def step(self):
        """Advances the clock by 0.1 s, with a report of each gateway."""
        self.time += 0.1
        for gateway in self.gateways:
            await gateway.report()
        await self.judge.tick()
        self.apply_orders()


async def simulate(is_bad, rate_per_step=2, seed=3, old_rate=0.0):
    """Plays a move of requests that end within a step.

    Args:
        is_bad: Function of the seconds since the order and a generator that returns
            whether an answer of the new version fails.
        rate_per_step: Requests in each tenth of a second.
        seed: Seed of the draws.
        old_rate: Share of the answers of the old version that fail.

    Returns:
        The simulation, and the time, version and failure of each request.
    """
    simulation, rng, sent = Simulation(), Random(seed), []
    for gateway in simulation.gateways:
        gateway.filter_servers("desk", [s for s in SERVERS if s.version == "v1"])
    simulation.apply_orders()
    while not simulation.state.has_ended and simulation.time < 100.0 + DURATION_S:
        await simulation.step()
        for _ in range(rate_per_step):
            gateway = rng.choice(simulation.gateways)
            server = rng.choice(gateway.filter_servers("desk", SERVERS))
            if server.version == "v2":
                failed = is_bad(simulation.time - 100.0, rng)
            else:
                failed = old_rate > 0 and rng.random() < old_rate
            attempt = gateway.record_start("desk", server, simulation.time - 0.02)
            if attempt is not None:
                attempt.stop_waiting()
            gateway.record_end("desk", server, failed, simulation.time - 0.02)
            sent.append((simulation.time, server.version, failed))
    return simulation, sent


async def test_good_version_is_completed_in_time():
    simulation, _ = await simulate(lambda at, rng: False)
    assert simulation.states[-1][1] is MoveState.completed
    assert simulation.states[-1][0] < 100.0 + DURATION_S


@pytest.mark.parametrize(
    "is_bad",
    [
        lambda at, rng: rng.random() < 0.9,
        lambda at, rng: rng.random() < 0.4,
        lambda at, rng: at > 6.0 and rng.random() < 0.9,
    ],
    ids=["at once", "faintly", "later"],
)
async def test_bad_version_is_rolled_back_with_little_exposure(is_bad):
    simulation, sent = await simulate(is_bad)
    assert simulation.states[-1][1] is MoveState.rolled_back
    exposed = sum(version == "v2" for _, version, _ in sent)
    assert exposed <= 0.1 * len(sent) + 50


async def end_of_move(fails_each, old_rate, seed):
    """Returns the state in which a move ends.

    Args:
        fails_each: Number of answers of the new version for one that fails.
        old_rate: Share of the answers of the old version that fail.
        seed: Seed of the draws.
    """
    number = itertools.count(1)
    simulation, _ = await simulate(
        lambda at, rng: next(number) % fails_each == 0, 1, seed, old_rate
    )
    return simulation.states[-1][1]


@pytest.mark.parametrize("seed", range(10))
async def test_version_that_fails_somewhat_more_is_taken_for_good(seed):
    assert await end_of_move(7, 0.02, seed) is MoveState.rolled_back


@pytest.mark.parametrize("seed", range(10))
async def test_version_that_fails_as_often_as_the_old_one_is_completed(seed):
    assert await end_of_move(20, 0.05, seed) is MoveState.completed


async def test_version_without_an_order_gets_nothing_while_others_serve():
    gateway = Simulation().gateways[0]
    gateway.filter_servers("desk", [s for s in SERVERS if s.version == "v1"])
    assert {s.version for s in gateway.filter_servers("desk", SERVERS)} == {"v1"}
    only_new = [s for s in SERVERS if s.version == "v2"]
    assert gateway.filter_servers("desk", only_new) == only_new


async def test_without_a_traffic_token_the_new_version_gets_nothing():
    simulation = Simulation()
    gateway = simulation.gateways[0]
    gateway.filter_servers("desk", [s for s in SERVERS if s.version == "v1"])
    simulation.apply_orders()
    chosen = [gateway.filter_servers("desk", SERVERS) for _ in range(50)]
    assert {s.version for servers in chosen for s in servers} == {"v1"}


class Fleet:
    """Agents as a gateway sees them, each with a link of its own.

    Args:
        versions: Versions of their registrations in the store by name.
    """

    def __init__(self, **versions):
        self.agents = {
            name: SimpleNamespace(
                usable=True, registered_version=version, link=Link(name)
            )
            for name, version in versions.items()
        }


class Link:
    """Records which agent got reports."""

    reports = []

    def __init__(self, name):
        self.name = name

    async def call(self, message, timeout_s):
        del message, timeout_s
        Link.reports.append(self.name)


async def test_agent_that_joins_during_a_move_judges_it_beside_its_judge():
    Link.reports = []
    runtime = SimpleNamespace(now=lambda: 100.0)
    fleet = Fleet(b=1, c=2, d=3)
    moves = GatewayMoves(runtime, fleet, Random(1))
    moves.apply_orders({"desk": MoveOrder("desk", "v2", 9.0, MoveState.ordered, 7)})
    with anyio.move_on_after(0.1):
        await moves.run()
    joined = {f"joined-{number}": 8 + number for number in range(20)}
    fleet.agents |= Fleet(**joined).agents
    # The judge writes that the move is in progress, which raises the order's version.
    moves.apply_orders(
        {"desk": MoveOrder("desk", "v2", 9.0, MoveState.in_progress, 99)}
    )
    with anyio.move_on_after(0.1):
        await moves.run()
    assert len(set(Link.reports)) == 1
    fleet.agents[Link.reports[0]].usable = False
    with anyio.move_on_after(0.1):
        await moves.run()
    judges = set(Link.reports)
    assert len(judges) == 2
    assert judges <= {"b", "c", "d"}


async def test_report_read_after_the_next_one_is_counted_twice():
    simulation = Simulation()
    simulation.apply_orders()
    gateway, fleet = simulation.gateways[0], simulation.fleets[0]
    link, late = fleet.agents["judge"].link, []

    async def lose(message, timeout_s):
        del timeout_s
        late.append(message)
        raise LinkLost("The link was lost before the reply.")

    await gateway.report()
    gateway.record_end("desk", SERVERS[0], False, simulation.time - 1.0)
    link.call = lose
    await gateway.report()
    simulation.link_judge(fleet)
    await gateway.report()
    # The judge stood still, and reads what the lost link had delivered only now.
    assert await simulation.judge.handle_report(link, late[0]) is not None
    counts = simulation.judge.trials["desk"]._counts["run-0"]
    assert sum(counts.values()) == 1


class Streams:
    """Streams to both versions that may last longer than a move.

    Args:
        simulation: The ``Simulation``.
        slowdown: Factors on the times of the new version: to the first part, and from
            there on.
        rate_rps: Requests per second.
        seed: Seed of the draws.
        rest: Mean and deviation of the logarithm of the seconds after the first part.
        wait_s: Seconds after which a caller leaves.
    """

    def __init__(
        self, simulation, slowdown, rate_rps, seed, rest=(1.5, 0.8), wait_s=math.inf
    ):
        self._rest = rest
        self._wait_s = wait_s
        self._simulation = simulation
        self._slowdown = slowdown
        self._rate_rps = rate_rps
        self._rng = Random(seed)
        self._events = []
        self._numbers = itertools.count()
        self.sent = []

    def step(self, length_s):
        """Starts the requests of a step and plays what has happened by now."""
        now = self._simulation.time
        at = now + self._rng.expovariate(self._rate_rps)
        while at < now + length_s:
            self._start(at)
            at += self._rng.expovariate(self._rate_rps)
        while self._events and self._events[0][0] <= now:
            _, _, function, args = heapq.heappop(self._events)
            function(*args)

    def _start(self, at):
        gateway = self._rng.choice(self._simulation.gateways)
        server = self._rng.choice(gateway.filter_servers("desk", SERVERS))
        begin, pace = self._slowdown if server.version == "v2" else (1.0, 1.0)
        first_s = begin * self._rng.lognormvariate(-1.5, 0.5)
        rest_s = pace * self._rng.lognormvariate(*self._rest)
        paced_s, whole_s = first_s + 0.05 * rest_s, first_s + rest_s
        attempt = gateway.record_start("desk", server, at)
        if attempt is not None:
            self._record_until_left(attempt, at, first_s, paced_s, whole_s)
        if whole_s < self._wait_s:
            self._at(at + whole_s, gateway.record_end, "desk", server, False, at)
        self.sent.append(server.version)

    def _record_until_left(self, attempt, at, first_s, paced_s, whole_s):
        if first_s < self._wait_s:
            self._at(at + first_s, attempt.record_first_part, at + first_s)
            self._at(at + first_s, attempt.record_events, 1, at + first_s)
        if paced_s < self._wait_s:
            self._at(at + paced_s, attempt.record_events, 4, at + paced_s)
        if whole_s < self._wait_s:
            self._at(at + whole_s, attempt.stop_waiting)
        else:
            left_at = at + self._wait_s
            self._at(left_at, attempt.record_left, left_at)

    def _at(self, at, function, *args):
        heapq.heappush(self._events, (at, next(self._numbers), function, args))


async def simulate_streams(slowdown, rate_rps, seed, **options):
    """Returns the last state and the versions to which requests were sent."""
    simulation = Simulation()
    for gateway in simulation.gateways:
        gateway.filter_servers("desk", [s for s in SERVERS if s.version == "v1"])
    simulation.apply_orders()
    streams = Streams(simulation, slowdown, rate_rps, seed, **options)
    while not simulation.state.has_ended and simulation.time < 100.0 + DURATION_S:
        await simulation.step()
        streams.step(0.1)
    return simulation.state, streams.sent


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("rate_rps", [20, 60])
@pytest.mark.parametrize(
    "slowdown",
    [(4, 4), (8, 8), (1, 6), (4, 1)],
    ids=["all x4", "all x8", "pace x6", "begin x4"],
)
async def test_slow_version_whose_answers_outlast_the_move_is_kept(
    slowdown, rate_rps, seed
):
    state, sent = await simulate_streams(slowdown, rate_rps, seed)
    assert state is MoveState.rolled_back
    assert sent.count("v2") <= 0.1 * rate_rps * DURATION_S + 50


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("rate_rps", [20, 60])
async def test_good_version_with_long_answers_is_completed_in_time(rate_rps, seed):
    state, _ = await simulate_streams((1, 1), rate_rps, seed)
    assert state is MoveState.completed


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("rate_rps", [10, 30, 60])
@pytest.mark.parametrize(
    "slowdown", [(3, 3), (6, 6), (12, 12)], ids=["x3", "x6", "x12"]
)
async def test_version_whose_callers_leave_gets_half_of_the_requests(
    slowdown, rate_rps, seed
):
    options = {"rest": (-1.0, 0.8), "wait_s": 0.7}
    state, sent = await simulate_streams(slowdown, rate_rps, seed, **options)
    assert state is MoveState.rolled_back
    assert sent.count("v2") <= 0.1 * rate_rps * DURATION_S + 50


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("rate_rps", [20, 60])
async def test_good_version_whose_callers_may_leave_is_completed(rate_rps, seed):
    options = {"rest": (-1.0, 0.8), "wait_s": 0.7}
    state, _ = await simulate_streams((1, 1), rate_rps, seed, **options)
    assert state is MoveState.completed


@pytest.fixture
def selection():
    """Returns a ``Selection`` of one server while a move of its service is open."""

    def now():
        return 100.0

    moves = GatewayMoves(SimpleNamespace(now=now), None, Random(1))
    moves.apply_orders({"desk": MoveOrder("desk", "v2", 9.0, MoveState.ordered, 7)})
    registry = ServerRegistry(1.0)
    registry.replace({SERVERS[0].id: SERVERS[0]}, 100.0)
    settings = SimpleNamespace(data_centre="dc-0", uneven_servers=False)
    silence = SimpleNamespace(usable=lambda names, now: names)
    limits = SimpleNamespace(
        accepting=lambda servers, request: servers,
        with_room=lambda servers, rank: servers,
        is_cold=lambda server: False,
    )
    sources = SelectionSources(
        servers=registry,
        moves=moves,
        silence=silence,
        limits=limits,
        places=None,
        states=None,
    )
    return Selection(sources, settings, Random(1), now), moves


@pytest.mark.parametrize(
    ("error", "ended", "failed"),
    [
        (None, 1, 0),
        (DeadlineExceeded("late"), 1, 1),
        (Overloaded("full"), 1, 1),
        ("abandoned", 0, 0),
    ],
)
def test_attempt_that_its_caller_left_counts_as_good(selection, error, ended, failed):
    selection, moves = selection
    service = SimpleNamespace(engine=None)
    request = SimpleNamespace(service=service, prompt=None, fingerprint="f")
    choice = selection.choose(request, "desk", set(), (), 0)
    attempt = selection.start_attempt(request, "desk", choice)
    tracker = moves.tracker("desk")
    assert sum(tracker.waits(100.0).values()) == 1
    if error == "abandoned":
        attempt.record_abandoned()
    else:
        attempt.record_end(error, lambda fingerprint, server: False)
    counts = Counter(tracker.drain_report()[0])
    phases = Counter(answer.phase for answer, _ in counts.elements())
    assert phases[AnswerPhase.ended] == ended
    assert phases[AnswerPhase.waited_for] == (error == "abandoned")
    assert sum(answer.failed for answer, _ in counts) == failed
    assert not tracker.waits(100.0)
