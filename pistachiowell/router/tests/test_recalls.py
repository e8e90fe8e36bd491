"""Tests of the recall of idle tokens from another router.

Guards against refusing requests as if the budget were spent although another router
holds tokens, or a fenced one those that its recovery returns.
"""

from types import SimpleNamespace

import pytest

from pistachiowell.budgets.page import (
    COLLECTION,
    FenceGrants,
    TopUp,
    apply_changes,
    encode_page,
    page_name,
)
from pistachiowell.core.clock import HybridClock
from pistachiowell.core.errors import BudgetExhausted, BudgetUnreachable
from pistachiowell.core.events import EventRing
from pistachiowell.core.metrics import Metrics
from pistachiowell.router.pages import update_page
from pistachiowell.router.spending import Spending
from pistachiowell.schema.generated.objects_budgets import BudgetPage
from pistachiowell.store.memory import MemoryStore
from pistachiowell.store.store import ABSENT
from pistachiowell.wire import Handlers

CREDIT = 1_000

pytestmark = pytest.mark.anyio


class Router:
    """Router with real grants; its links call the handlers of the peer directly."""

    def __init__(self, name, table):
        settings = SimpleNamespace(id=name, data_centre="osu", budget_pages=1)
        self.runtime = SimpleNamespace(
            incarnation=f"{name}-1",
            settings=settings,
            now=lambda: 0.0,
            store=MemoryStore(table),
            events=EventRing(name, HybridClock(lambda: 1), 100),
            metrics=Metrics(),
        )
        self.peers = {}
        self.handlers = Handlers()
        fleet = SimpleNamespace(routers={}, agents={}, router_of=self.peers.get)
        self.spending = Spending(self.runtime, fleet, self.handlers, None)

    def link_to(self, other):
        self.peers[other.runtime.incarnation] = SimpleNamespace(link=other)

    async def call(self, message, timeout_s):
        try:
            return await self.handlers.find(message)(None, message)
        except BudgetUnreachable as error:
            return error

    async def spend(self, tokens):
        reservation = await self.spending.reserve("shop", "q", tokens)
        self.spending.settle(reservation, tokens)


@pytest.fixture
def routers():
    store = MemoryStore()
    page = apply_changes(BudgetPage(), [TopUp("shop", "t", CREDIT)])
    store.table.put(COLLECTION, page_name(0), encode_page(page), ABSENT)
    owner, other = Router("owner", store.table), Router("other", store.table)
    owner.link_to(other)
    return owner, other


async def test_idle_tokens_of_a_live_router_are_spent(routers):
    owner, other = routers
    await other.spend(100)
    await owner.spend(CREDIT - 100)
    with pytest.raises(BudgetExhausted):
        await owner.spend(1)


async def test_idle_tokens_are_recalled_while_others_write_the_page(routers):
    owner, other = routers
    await other.spend(100)
    other.runtime.store.faults.conflicts = 1
    await owner.spend(CREDIT - 100)


async def test_restarted_router_does_not_confirm_the_recall_of_its_earlier_grants(
    routers,
):
    owner, other = routers
    await other.spend(100)
    other.runtime.incarnation = "other-2"
    other.spending.reset()
    with pytest.raises(BudgetUnreachable):
        await owner.spend(CREDIT - 100)


async def test_fenced_router_does_not_confirm_a_recall(routers):
    owner, other = routers
    await other.spend(100)
    store = other.runtime.store
    await update_page(store, 0, lambda page: [FenceGrants("other-1")])
    with pytest.raises(BudgetUnreachable):
        await owner.spend(CREDIT - 100)
