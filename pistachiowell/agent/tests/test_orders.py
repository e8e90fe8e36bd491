"""Tests of the fencing of orders to engines that ignore fencing numbers."""

import types

import msgspec
import pytest

from pistachiowell.agent.orders import MOVES_COLLECTION, EngineOrderHandler
from pistachiowell.core.events import EventKind
from pistachiowell.schema.generated.messages_moves import EngineOrder
from pistachiowell.schema.generated.objects_moves import MoveState
from pistachiowell.store.memory import MemoryStore
from pistachiowell.store.store import ABSENT
from pistachiowell.wire import Handlers


class Engine:
    """Engine that accepts every order and records it."""

    def __init__(self):
        self.orders = []

    async def order(self, action, version, fence):
        self.orders.append((action, version, fence))
        return True


@pytest.mark.anyio
async def test_orders_of_replaced_holders_are_refused():
    store, engine, handlers, events = MemoryStore(), Engine(), Handlers(), []
    ring = types.SimpleNamespace(add=lambda kind, **fields: events.append(kind))
    EngineOrderHandler(
        types.SimpleNamespace(store=store, events=ring), handlers, engine
    )

    async def order(fence):
        message = EngineOrder("load", "m2", fence, move="m1")
        report = await handlers.find(message)(None, message)
        return report.accepted, report.fence

    def state(fence):
        fields = ("m1", "chat", "v1", "v2", "2026-12-04T00:00:00Z")
        return msgspec.json.encode(MoveState(*fields, fence=fence))

    assert await order(1) == (False, 0)
    version = await store.put(MOVES_COLLECTION, "m1", state(1), ABSENT)
    assert await order(1) == (True, 1)
    await store.put(MOVES_COLLECTION, "m1", state(2), version)
    assert await order(1) == (False, 2)
    assert await order(2) == (True, 2)
    store.set_down(True)
    assert (await order(2))[0] is False
    assert [fence for _, _, fence in engine.orders] == [1, 2]
    assert events.count(EventKind.order_refused) == 3
