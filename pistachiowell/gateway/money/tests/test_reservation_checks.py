"""Reservations that no gateway settles any more.

Guards against tokens that stay reserved for ever after a lost settlement or a killed
gateway, and against charging a reservation that its gateway still uses, or twice.
"""

from types import SimpleNamespace

import msgspec
import pytest

from pistachiowell.budgets import GrantHolder
from pistachiowell.budgets.page import TopUp, apply_changes
from pistachiowell.core.errors import LinkLost
from pistachiowell.core.metrics import Metrics
from pistachiowell.gateway.money.reservation_checks import (
    ReservationAnswers,
    ReservationChecks,
)
from pistachiowell.router.fleet import ROUTERS
from pistachiowell.schema.generated.messages_budgets import CheckReservations
from pistachiowell.schema.generated.objects_budgets import BudgetPage
from pistachiowell.schema.generated.objects_membership import RouterRecord
from pistachiowell.store.memory import MemoryStore
from pistachiowell.store.store import ABSENT
from pistachiowell.wire import Handlers

pytestmark = pytest.mark.anyio

GATEWAY = "gate-run-1"
TOKENS = 500


class GatewayLink:
    """A link to a gateway with some open reservations.

    Attributes:
        open_ids: Ids of these.
        is_answering: Whether calls are answered.
    """

    def __init__(self):
        self.hello = SimpleNamespace(incarnation=GATEWAY, id="gate")
        self.open_ids = set()
        self.is_answering = True
        self._handlers = Handlers()
        spending = SimpleNamespace(is_open=lambda holder, name: name in self.open_ids)
        ReservationAnswers(spending, self._handlers)

    async def call(self, message, timeout_s):
        del timeout_s
        if not self.is_answering:
            raise LinkLost("Lost.")
        assert isinstance(message, CheckReservations)
        return await self._handlers.find(message)(self, message)


class Rig:
    """An agent with two reservations of a gateway."""

    def __init__(self):
        self.now = 0.0
        self.store = MemoryStore()
        self.link = GatewayLink()
        self.links = SimpleNamespace(links=[self.link])
        self.holder = GrantHolder("agent-1", 1)
        self.metrics = Metrics()
        runtime = SimpleNamespace(
            incarnation="agent-1",
            now=lambda: self.now,
            store=self.store,
            metrics=self.metrics,
        )
        self.checks = ReservationChecks(runtime, self.holder, self.links)
        for name in ("used", "lost"):
            self.holder.reserve("shop", name, GATEWAY, TOKENS, 0.0)
        page = apply_changes(BudgetPage(), [TopUp("shop", "t", 10_000)])
        page = apply_changes(page, self.holder.plan(0, 0.0))
        self.holder.observe(0, 1, page, 0.0)

    def register(self, incarnation):
        """Writes the registration of the gateway's latest run."""
        record = RouterRecord(
            id="gate",
            incarnation=incarnation,
            data_centre="east",
            peer_host="127.0.0.1",
            peer_port=1,
            http_host="127.0.0.1",
            http_port=2,
        )
        entry = self.store.table.get(ROUTERS, "gate")
        version = entry.version if entry else ABSENT
        value = msgspec.json.encode(record)
        self.store.table.put(ROUTERS, "gate", value, version)

    async def check_for(self, length_s):
        """Checks the reservations every two seconds."""
        for _ in range(int(length_s / 2)):
            await self.checks.check()
            self.now += 2.0

    @property
    def open_ids(self):
        """Ids of the reservations that are not settled."""
        return {each.reservation_id for each in self.holder.open_reservations()}

    @property
    def used(self):
        """Tokens charged so far."""
        grants = self.holder.ledger("shop").grants.values()
        return sum(grant.used_tokens for grant in grants)


@pytest.fixture
def rig():
    return Rig()


async def test_reservation_without_a_settlement_stays_open(rig):
    rig.link.open_ids = {"used"}
    await rig.check_for(12.0)
    assert rig.open_ids == {"used"}
    assert rig.used == TOKENS
    rig.holder.settle("shop", "lost", GATEWAY, 100, rig.now)
    rig.holder.settle("shop", "used", GATEWAY, 100, rig.now)
    assert rig.used == TOKENS + 100
    assert rig.metrics.values["budgets.lost.settlement"] == TOKENS


async def test_gateway_that_does_not_answer_is_charged(rig):
    rig.link.is_answering = False
    await rig.check_for(30.0)
    assert rig.open_ids == {"used", "lost"}


@pytest.mark.parametrize("successor", [None, "gate-run-2"])
async def test_reservations_of_a_lost_gateway_stay_open(rig, successor):
    if successor:
        rig.register(successor)
    await rig.check_for(2.0)
    rig.links.links.clear()
    await rig.check_for(14.0)
    assert not rig.open_ids
    assert rig.used == 2 * TOKENS


@pytest.mark.parametrize("store_is_down", [False, True])
async def test_gateway_that_is_only_cut_off_is_charged(rig, store_is_down):
    rig.register(GATEWAY)
    await rig.check_for(2.0)
    rig.store.set_down(store_is_down)
    rig.links.links.clear()
    await rig.check_for(30.0)
    assert rig.open_ids == {"used", "lost"}
    rig.holder.settle("shop", "used", GATEWAY, 100, rig.now)
    assert rig.used == 100
