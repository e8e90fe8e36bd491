"""Reservations at the owner of a budget page while its writes take time.

Guards against refusals of an account that has enough free tokens.
"""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.budgets.page import (
    COLLECTION,
    RestoreClosed,
    RestoreGrant,
    SetCredit,
    apply_changes,
    decode_page,
    encode_page,
    free_tokens,
    page_name,
)
from pistachiowell.core.errors import PistachiowellError
from pistachiowell.core.runtime import Runtime
from pistachiowell.gateway.money.budget_owner import BudgetOwner
from pistachiowell.schema.generated.messages_budgets import (
    ReserveTokens,
    SettleTokens,
    TokensReserved,
)
from pistachiowell.schema.generated.objects_budgets import BudgetPage
from pistachiowell.schema.generated.settings import GatewayAgentSettings
from pistachiowell.store.memory import MemoryStore
from pistachiowell.store.store import ABSENT
from pistachiowell.wire import Handlers, LinkSet

pytestmark = pytest.mark.anyio

ACCOUNT = "shop"
WRITE_S = 0.05
MAX_ANSWER_S = 2.0


class SlowStore(MemoryStore):
    """A store whose conditional writes of budget pages take ``WRITE_S`` each.

    Attributes:
        writes: Number of these writes so far.
    """

    writes = 0

    async def put(self, collection, name, value, expected_version):
        if collection == COLLECTION:
            self.writes += 1
            await anyio.sleep(WRITE_S)
        return await super().put(collection, name, value, expected_version)


class Caller:
    """Calls the handlers of an owner as gateways do."""

    def __init__(self, runtime, handlers):
        self.metrics = runtime.metrics
        self.answers = {}
        self._handlers = handlers

    async def reserve(self, name, tokens):
        """Sends a reservation and keeps its answer or error by name."""
        message = ReserveTokens(
            ACCOUNT, name, tokens, reservation_id=name, router="gate-1"
        )
        try:
            handler = self._handlers.find(message)
            self.answers[name] = await handler(None, message)
        except PistachiowellError as error:
            self.answers[name] = error

    async def wait_for_answer(self, name):
        """Waits for the answer or error of a reservation."""
        with anyio.fail_after(MAX_ANSWER_S):
            while name not in self.answers:
                await anyio.sleep(WRITE_S / 10)

    async def settle(self, name, used=0):
        """Settles a reservation."""
        message = SettleTokens(
            ACCOUNT, name, "", used, reservation_id=name, router="gate-1"
        )
        await self._handlers.find(message)(None, message)

    @property
    def refused(self):
        """Names of the reservations that were refused."""
        return [n for n, a in self.answers.items() if not isinstance(a, TokensReserved)]


@pytest.fixture
def store():
    return SlowStore()


@pytest.fixture
def start_owner(store):
    """Returns a function that starts an owner beside a budget."""

    async def start(credited, charged=0, elsewhere=0):
        changes = [
            SetCredit(ACCOUNT, credited, 1),
            RestoreClosed(ACCOUNT, "earlier", charged),
            RestoreGrant(ACCOUNT, "other", "agent-lost", elsewhere),
        ]
        page = encode_page(apply_changes(BudgetPage(), changes))
        store.table.put(COLLECTION, page_name(0), page, ABSENT)
        settings = GatewayAgentSettings(
            id="agent-1",
            region="south",
            data_centre="east",
            host="127.0.0.1",
            port=1,
            store_address="127.0.0.1:1",
            budget_pages=1,
        )
        handlers = Handlers()
        runtime = Runtime("agent", settings, store)
        state = SimpleNamespace(catalog=None)
        BudgetOwner(runtime, state, handlers, LinkSet())
        return Caller(runtime, handlers)

    return start


@pytest.fixture
def budget(store):
    """Returns a function that returns the budget as the store has it."""

    def read():
        value = store.table.get(COLLECTION, page_name(0)).value
        return decode_page(value).accounts[ACCOUNT]

    return read


async def test_large_request_waits_while_smaller_ones_arrive_all_the_time(
    start_owner, budget
):
    caller = await start_owner(5_000_000, charged=4_600_000)
    async with anyio.create_task_group() as group:
        group.start_soon(caller.reserve, "first", 40_000)
        await caller.wait_for_answer("first")
        await caller.settle("first", 15_000)
        group.start_soon(caller.reserve, "large", 27_332)
        for number in range(60):
            group.start_soon(caller.reserve, f"small-{number}", 1_500)
            await anyio.sleep(WRITE_S / 5)
    assert not caller.refused
    assert free_tokens(budget()) > 100_000


async def test_burst_waits_for_two_writes_at_most(start_owner, store):
    caller = await start_owner(5_000_000, charged=4_600_000)
    async with anyio.create_task_group() as group:
        for number in range(65):
            group.start_soon(caller.reserve, f"r-{number}", 1_000 + 50 * number)
    assert not caller.refused
    assert store.writes <= 2


async def test_request_whose_caller_has_left_refuses_the_others(start_owner):
    caller = await start_owner(10_000_000)
    async with anyio.create_task_group() as group:
        group.start_soon(caller.reserve, "left", 17_643)
        await anyio.sleep(WRITE_S / 2)
        await caller.settle("left")
    await caller.reserve("other", 2_000_000)
    assert "other" not in caller.refused


async def test_refusal_is_repeated_after_its_tokens_were_settled(start_owner):
    caller = await start_owner(100_000)
    await caller.reserve("running-1", 30_000)
    await caller.reserve("running-2", 30_000)
    await caller.reserve("refused", 50_000)
    await caller.settle("running-1", 15_000)
    await caller.reserve("next", 50_000)
    assert caller.refused == ["refused"]


async def test_settlement_serves_a_request_that_waits_for_a_write(start_owner):
    caller = await start_owner(100_000)
    await caller.reserve("running", 90_000)
    async with anyio.create_task_group() as group:
        group.start_soon(caller.reserve, "waiting", 50_000)
        await anyio.sleep(0)
        await caller.settle("running", 1_000)
    assert not caller.refused


async def test_refusal_does_not_say_where_the_tokens_are(start_owner):
    caller = await start_owner(100_000, charged=10_000, elsewhere=20_000)
    await caller.reserve("running", 60_000)
    await caller.settle("running", 25_000)
    await caller.reserve("running-2", 30_000)
    for name in ("refused", "refused again"):
        await caller.reserve(name, 50_000)
    values = caller.metrics.values
    assert values["budgets.refused.budget_unreachable"] == 2
    places = ("used", "reserved", "available", "live", "lost", "unknown", "free")
    tokens = {place: values[f"budgets.at_refusal.{place}"] for place in places}
    assert sum(tokens.values()) == 100_000
    assert (tokens["used"], tokens["reserved"]) == (35_000, 30_000)
    assert tokens["unknown"] == 20_000
