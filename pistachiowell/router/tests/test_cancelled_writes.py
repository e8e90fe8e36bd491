"""Writes of a budget page whose task is cancelled, as when the caller's link is lost.

Guards against spending beyond a grant: the store may still apply a cancelled write
that has lowered it.
"""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.budgets import GrantHolder
from pistachiowell.budgets.page import (
    COLLECTION,
    TopUp,
    apply_changes,
    encode_page,
    page_name,
)
from pistachiowell.router.pages import GrantPage
from pistachiowell.schema.generated.objects_budgets import BudgetPage
from pistachiowell.store.memory import MemoryStore
from pistachiowell.store.store import ABSENT

pytestmark = pytest.mark.anyio


class LateStore(MemoryStore):
    """Applies a write whose caller was cancelled directly before the next write.

    Attributes:
        holds_next: Whether the next write is held until it is cancelled.
        on_get: Function that is called at each read.
    """

    holds_next = False
    on_get = staticmethod(lambda: None)
    _late = None

    async def get(self, collection, name):
        self.on_get()
        return await super().get(collection, name)

    async def put(self, *call):
        if self.holds_next:
            self.holds_next, self._late = False, call
            await anyio.sleep_forever()
        if self._late is not None:
            late, self._late = self._late, None
            self.table.put(*late)
        return await super().put(*call)


async def test_tokens_are_reserved_above_what_a_cancelled_write_may_leave():
    store = LateStore()
    page = apply_changes(BudgetPage(), [TopUp("shop", "t", 100_000)])
    store.table.put(COLLECTION, page_name(0), encode_page(page), ABSENT)
    runtime = SimpleNamespace(store=store, now=lambda: 10.0)
    holder = GrantHolder("agent-1", 1)
    pages = GrantPage(runtime, holder, 0)
    holder.reserve("shop", "a", "gate-1", 20_000, 10.0)
    await pages.sync()
    holder.settle("shop", "a", "gate-1", 1_000, 10.0)
    holder.recall("shop", 10.0)
    store.holds_next = True
    with anyio.move_on_after(0.05):
        await pages.sync()
    reserved = []
    store.on_get = lambda: reserved.append(
        holder.reserve("shop", "b", "gate-1", 15_000, 10.0)
    )
    holder.reserve("shop", "c", "gate-1", 500, 10.0)
    await pages.sync()
    assert reserved == [None] * len(reserved)
    assert len(reserved) > 1
