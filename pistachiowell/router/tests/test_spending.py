"""Tests of reservations at a home router whose answer does not come."""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.budgets import choose_owner
from pistachiowell.budgets.page import page_number
from pistachiowell.router.spending import Spending
from pistachiowell.schema.generated.messages_budgets import (
    ReserveTokens,
    SettleTokens,
    TokensSettled,
)
from pistachiowell.wire import Handlers

PAGES = 64


class FakeLink:
    """Answers settlements; reservations wait for ever."""

    def __init__(self):
        self.asked = []
        self.settled = []

    async def call(self, message, timeout_s):
        if isinstance(message, SettleTokens):
            self.settled.append(message)
            return TokensSettled(message.request_id)
        self.asked.append(message)
        return await anyio.sleep_forever()


@pytest.fixture
def link():
    return FakeLink()


@pytest.fixture
def spending(link):
    record = SimpleNamespace(incarnation="home-1", data_centre="osu")
    peer = SimpleNamespace(usable=True, record=record, link=link)
    fleet = SimpleNamespace(
        routers={"home": peer}, agents={}, router_of=lambda incarnation: peer
    )
    settings = SimpleNamespace(id="me", data_centre="osu", budget_pages=PAGES)
    runtime = SimpleNamespace(
        incarnation="me-1", settings=settings, now=lambda: 0.0, store=None
    )
    return Spending(runtime, fleet, Handlers(), None)


@pytest.fixture
def account():
    names = (f"account-{number}" for number in range(100))
    return next(
        name
        for name in names
        if choose_owner(page_number(name, PAGES), ["home", "me"]) == "home"
    )


@pytest.mark.anyio
async def test_caller_that_leaves_gives_its_reservation_up(spending, link, account):
    async with anyio.create_task_group() as group:
        group.start_soon(spending.reserve, account, "q", 10)
        while not link.asked:
            await anyio.sleep(0)
        group.cancel_scope.cancel()
    async with anyio.create_task_group() as group:
        group.start_soon(spending.run)
        with anyio.fail_after(10):
            while not link.settled:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    asked, settled = link.asked[0], link.settled[0]
    assert isinstance(asked, ReserveTokens)
    assert settled.reservation_id == asked.reservation_id
    assert settled.used_tokens == 0
