"""Moves by permits: gateways and a judge without a network."""

from random import Random
from types import SimpleNamespace

import pytest

from pistachiowell.catalog import BackendServer
from pistachiowell.gateway.move_judge import MoveJudge
from pistachiowell.gateway.move_orders import MoveOrder, MoveState
from pistachiowell.gateway.moves import GatewayMoves
from pistachiowell.router.move_reports import count_messages
from pistachiowell.schema.generated.messages_moves import MoveCounts
from pistachiowell.wire import Handlers

pytestmark = pytest.mark.anyio

DURATION_S = 12.0
SERVERS = [
    BackendServer(f"{version}-{n}", "desk", "10.0.0.1", 80 + n, f"dc-{n}", version)
    for version in ("v1", "v2")
    for n in range(3)
]


class Codec:
    """Stands for the adapter's codec."""

    COLLECTION = "moves"

    @staticmethod
    def encode_state(order, state):
        """Returns the state as it is."""
        return state


class World:
    """Three gateways, one judge, a clock and a store that takes states."""

    def __init__(self):
        self.time = 100.0
        self.version = 7
        self.state = MoveState.ordered
        self.states = []
        runtime = SimpleNamespace(now=lambda: self.time, store=self)
        self.judge = MoveJudge(runtime, Handlers(), Codec)
        self.gateways = [GatewayMoves(runtime, None, Random(seed)) for seed in range(3)]
        self.links = [
            SimpleNamespace(hello=SimpleNamespace(id=f"g{n}")) for n in range(3)
        ]

    async def put_status(self, collection, name, value, version):
        """Takes a state as the store would."""
        del collection, name
        assert version == self.version
        self.version += 1
        self.state = value
        self.states.append((self.time, value))

    def tell_orders(self, target="v2"):
        """Tells all of the order as it stands."""
        order = MoveOrder("desk", target, DURATION_S, self.state, self.version)
        for part in (*self.gateways, self.judge):
            part.apply_orders({"desk": order})

    async def step(self):
        """Lets 0.1 s pass with a report of each gateway."""
        self.time += 0.1
        for gateway, link in zip(self.gateways, self.links, strict=True):
            await self._report(gateway, link)
        for service, judged in list(self.judge.judged.items()):
            await self.judge.tick(service, judged)
        self.tell_orders()

    async def _report(self, gateway, link):
        tracker = gateway.tracker("desk")
        if tracker is None:
            return
        counts, tripped = tracker.take_report()
        message = MoveCounts(
            "desk",
            count_messages(counts, self.time),
            tripped=tripped,
            probes_left=tracker.probes_left,
        )
        permit = await self.judge.take_counts(link, message)
        if permit is not None:
            tracker.take_permit(
                fence=permit.fence,
                share=permit.share,
                probes=permit.probes,
                valid_until=self.time + permit.valid_s,
                now=self.time,
            )


async def play(is_bad, rate_per_step=2):
    """Returns the world, and the versions of the requests with their times."""
    world, rng, sent = World(), Random(3), []
    for gateway in world.gateways:
        gateway.choose("desk", [s for s in SERVERS if s.version == "v1"])
    world.tell_orders()
    while not world.state.has_ended and world.time < 100.0 + DURATION_S:
        await world.step()
        for _ in range(rate_per_step):
            gateway = rng.choice(world.gateways)
            server = rng.choice(gateway.choose("desk", SERVERS))
            failed = server.version == "v2" and is_bad(world.time - 100.0, rng)
            gateway.note("desk", server, failed, world.time - 0.02)
            sent.append((world.time, server.version, failed))
    return world, sent


async def test_good_version_is_completed_in_time():
    world, _ = await play(lambda at, rng: False)
    assert world.states[-1][1] is MoveState.completed
    assert world.states[-1][0] < 100.0 + DURATION_S


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
    world, sent = await play(is_bad)
    assert world.states[-1][1] is MoveState.rolled_back
    exposed = sum(version == "v2" for _, version, _ in sent)
    assert exposed <= 0.1 * len(sent) + 50


async def test_version_without_an_order_gets_nothing_while_others_serve():
    gateway = World().gateways[0]
    gateway.choose("desk", [s for s in SERVERS if s.version == "v1"])
    assert {s.version for s in gateway.choose("desk", SERVERS)} == {"v1"}
    only_new = [s for s in SERVERS if s.version == "v2"]
    assert gateway.choose("desk", only_new) == only_new


async def test_without_a_permit_the_new_version_gets_nothing():
    world = World()
    gateway = world.gateways[0]
    gateway.choose("desk", [s for s in SERVERS if s.version == "v1"])
    world.tell_orders()
    chosen = [gateway.choose("desk", SERVERS) for _ in range(50)]
    assert {s.version for servers in chosen for s in servers} == {"v1"}
