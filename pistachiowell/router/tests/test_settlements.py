"""Tests of settlements with holders that do not answer."""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.core.errors import LinkTimeout
from pistachiowell.router.settlements import CALL_TIMEOUT_S, Settlements
from pistachiowell.schema.generated.messages_budgets import (
    SettleTokens,
    TokensSettled,
)

pytestmark = pytest.mark.anyio


class Link:
    """Link to a holder that may not answer."""

    def __init__(self, *, silent=False):
        self.silent = silent
        self.settled_at = []

    async def call(self, message, timeout_s):
        if self.silent:
            await anyio.sleep(timeout_s)
            raise LinkTimeout("No answer.")
        self.settled_at.append(anyio.current_time())
        return TokensSettled(message.request_id)


@pytest.fixture
async def holders():
    """Returns peers by incarnation and running ``Settlements`` to them."""
    peers = {
        name: SimpleNamespace(
            link=Link(silent=name == "silent"),
            record=SimpleNamespace(incarnation=name),
        )
        for name in ("silent", "sound")
    }
    settlements = Settlements(peers.get, peers.values)
    async with anyio.create_task_group() as group:
        group.start_soon(settlements.run)
        await anyio.sleep(0.01)
        yield peers, settlements
        group.cancel_scope.cancel()


def settlement(name):
    return SettleTokens("shop", name, "grant", 5, reservation_id=name, router="r")


async def test_settlement_is_sent_at_once(holders):
    peers, settlements = holders
    added_at = anyio.current_time()
    settlements.add("sound", settlement("a"))
    await anyio.sleep(0.05)
    (settled_at,) = peers["sound"].link.settled_at
    assert settled_at - added_at < 0.03


async def test_silent_holder_delays_no_other(holders):
    peers, settlements = holders
    settlements.add("silent", settlement("a"))
    await anyio.sleep(0.15)
    settlements.add("sound", settlement("b"))
    await anyio.sleep(CALL_TIMEOUT_S / 4)
    assert len(peers["sound"].link.settled_at) == 1


async def test_settlement_is_sent_again_once_the_holder_answers(holders):
    peers, settlements = holders
    settlements.add("silent", settlement("a"))
    await anyio.sleep(0.05)
    peers["silent"].link.silent = False
    await anyio.sleep(CALL_TIMEOUT_S + 0.3)
    assert len(peers["silent"].link.settled_at) == 1


async def test_cancellation_at_one_holder_is_replaced_by_a_settlement_at_the_next(
    holders,
):
    peers, settlements = holders
    settlements.add("silent", settlement("a"))
    settlements.add("sound", settlement("a"))
    await anyio.sleep(0.05)
    peers["silent"].link.silent = False
    await anyio.sleep(CALL_TIMEOUT_S + 0.3)
    for name in peers:
        assert len(peers[name].link.settled_at) == 1
        assert not settlements.is_pending(name, "a")


async def test_settlement_is_discarded_while_its_holder_registers_again(holders):
    peers, settlements = holders
    peer = peers.pop("sound")
    settlements.add("sound", settlement("a"))
    await anyio.sleep(0.3)
    peers["sound"] = peer
    await anyio.sleep(0.3)
    assert len(peer.link.settled_at) == 1
