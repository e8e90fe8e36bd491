"""Tests of reservations at an owner that does not answer."""

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
    """Link that confirms settlements and never answers reservations."""

    def __init__(self):
        self.reserve_calls = []
        self.settle_calls = []

    async def call(self, message, timeout_s):
        if isinstance(message, SettleTokens):
            self.settle_calls.append(message)
            return TokensSettled(message.request_id)
        self.reserve_calls.append(message)
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
async def test_cancelled_caller_cancels_its_reservation(spending, link, account):
    async with anyio.create_task_group() as group:
        group.start_soon(spending.reserve, account, "q", 10)
        while not link.reserve_calls:
            await anyio.sleep(0)
        group.cancel_scope.cancel()
    async with anyio.create_task_group() as group:
        group.start_soon(spending.run)
        with anyio.fail_after(10):
            while not link.settle_calls:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    reserve_call, settle_call = link.reserve_calls[0], link.settle_calls[0]
    assert isinstance(reserve_call, ReserveTokens)
    assert settle_call.reservation_id == reserve_call.reservation_id
    assert settle_call.used_tokens == 0
