"""Tests of what an agent learns from gateways about holders of grants.

They guard against tokens of a lost run that are reported as held by a live one, and
against a gateway without information that has all holders taken for lost.
"""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.core.errors import LinkLost
from pistachiowell.gateway.money.holder_states import (
    STATE_KEPT_S,
    HolderDirectory,
    HolderStates,
)
from pistachiowell.schema.generated.messages_budgets import FindHolders
from pistachiowell.wire import Handlers

pytestmark = pytest.mark.anyio


class GatewayLink:
    """A link to a gateway that knows some agents; None: the link is lost."""

    def __init__(self, incarnations):
        self._lost = incarnations is None
        agents = {
            name: SimpleNamespace(record=SimpleNamespace(incarnation=name))
            for name in incarnations or ()
        }
        self._handlers = Handlers()
        HolderDirectory(SimpleNamespace(agents=agents), self._handlers)

    async def call(self, message, timeout_s):
        del timeout_s
        if self._lost:
            raise LinkLost("Lost.")
        assert isinstance(message, FindHolders)
        return await self._handlers.find(message)(self, message)


@pytest.mark.parametrize(
    ("gateways", "expected"),
    [
        ([{"run-1"}], [True, False]),
        ([None, {"run-2"}], [False, True]),
        ([set(), {"run-1"}], [True, False]),
        ([set()], [None, None]),
        ([], [None, None]),
    ],
)
async def test_holder_is_taken_for_another_state(gateways, expected):
    now = 100.0
    links = SimpleNamespace(links=[GatewayLink(names) for names in gateways])
    states = HolderStates(links, lambda: now)
    async with anyio.create_task_group() as group:
        group.start_soon(states.run)
        states.ask(["run-1", "run-2"])
        await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert [states.is_registered(h) for h in ("run-1", "run-2")] == expected
    now += STATE_KEPT_S
    assert states.is_registered("run-1") is None
