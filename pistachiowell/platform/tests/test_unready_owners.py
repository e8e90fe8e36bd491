"""Owners of budget pages that cannot tell what is left of an account.

Guards against refusals for what one agent does not know or cannot reach, while another
agent could reserve the tokens.
"""

from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.core.errors import BudgetUnreachable, LinkTimeout, OwnerUnready
from pistachiowell.gateway.feeds.watchers import CatalogWatcher
from pistachiowell.gateway.load.agents import AgentReports
from pistachiowell.gateway.money.spending import GatewaySpending
from pistachiowell.platform.standins import stream_events
from pistachiowell.platform.tests.conftest import configuration
from pistachiowell.schema.generated.messages_budgets import ReserveTokens

pytestmark = pytest.mark.anyio

PREPAID_TOKENS = 1_000_000
AGENTS = ("agent-1", "agent-2")


@pytest.fixture
def paid_rig(start_rig):
    """Returns a context manager with two agents and a gateway."""

    @asynccontextmanager
    async def start(agents=AGENTS, **agent_settings):
        async with start_rig() as rig:
            rig.store.put("config", "main", configuration(2, prepaid=PREPAID_TOKENS))
            await rig.add_server("pool-1", "pool", stream_events(1, 4))
            for name in agents:
                await rig.add_agent(name, **agent_settings)
            await rig.add_gateway()
            yield rig

    return start


@pytest.fixture
def hold_catalogs(monkeypatch):
    """Returns a function that keeps new configurations from some agents."""
    held, apply = set(), CatalogWatcher.apply

    def apply_unless_held(watcher, value, source):
        return watcher._runtime.settings.id not in held and apply(
            watcher, value, source
        )

    monkeypatch.setattr(CatalogWatcher, "apply", apply_unless_held)
    return held.update


def owner_of(rig):
    """Returns the name of the agent that holds the account's grant."""
    holder = next(iter(rig.budget()["grants"].values()))["holder"]
    return next(name for name in AGENTS if rig.incarnation(name) == holder)


async def test_agent_without_a_configuration_refuses_accounts_as_spent(
    paid_rig, hold_catalogs
):
    hold_catalogs({"agent-1"})
    async with paid_rig(("agent-1",)) as rig:
        status, headers, _ = await rig.send_chat()
    assert status == 503
    assert 0 < float(headers[b"retry-after"]) <= 1.0


@pytest.mark.parametrize("held", AGENTS)
async def test_account_is_refused_as_one_of_two_agents_has_no_configuration(
    paid_rig, hold_catalogs, held
):
    hold_catalogs({held})
    other = AGENTS[1 - AGENTS.index(held)]
    async with paid_rig() as rig:
        await rig.until_revision(rig.agent_state(other), 2)
        assert [(await rig.send_chat())[0] for _ in range(3)] == [200] * 3


@pytest.mark.parametrize("reported", ["nothing", "first"])
async def test_account_is_refused_before_the_other_agent_has_reported_the_store(
    paid_rig, hold_catalogs, monkeypatch, reported
):
    hold_catalogs({"agent-1"})
    handle = AgentReports._handle_report

    async def handle_first(reports, link, message):
        if reported == "nothing":
            reports._fleet.record_heartbeat(link, leaving=message.leaving)
            return
        # As an agent reports that has not heard of the store yet.
        first = replace(message, follows_store=False, catalog_revision=0)
        await handle(reports, link, first)

    monkeypatch.setattr(AgentReports, "_handle_report", handle_first)
    async with paid_rig() as rig:
        await rig.until_revision(rig.agent_state("agent-2"), 2)
        if reported == "first":
            reports = rig.gateways[0]._parts.agent_reports
            await rig.until(lambda: "agent-2" in reports._follows_store)
        assert [(await rig.send_chat())[0] for _ in range(3)] == [200] * 3


async def test_top_up_that_only_the_gateway_knows_is_refused_as_spent(
    paid_rig, hold_catalogs
):
    async with paid_rig(("agent-1",)) as rig:
        rig.store.put("config", "main", configuration(3, prepaid=100))
        await rig.until_revision(rig.agent_state("agent-1"), 3)
        await rig.until_revision(rig.gateways[0].state, 3)
        assert (await rig.send_chat())[0] == 402
        hold_catalogs({"agent-1"})
        rig.store.put("config", "main", configuration(4, prepaid=PREPAID_TOKENS))
        await rig.until_revision(rig.gateways[0].state, 4)
        assert (await rig.send_chat())[0] == 503


async def test_owner_takes_its_old_configuration_for_the_newest(paid_rig):
    async with paid_rig(("agent-1",)) as rig:
        link = rig.gateways[0].fleet.agents["agent-1"].link
        call = ReserveTokens("new-account", "request-1", 150, catalog_revision=9)
        reply = await link.call(call, 1.0)
    assert reply.code == OwnerUnready.code


async def test_account_is_refused_while_only_its_owner_is_cut_from_the_store(
    paid_rig,
):
    async with paid_rig(has_entry=True, budget_horizon_s=1.0) as rig:
        assert (await rig.send_chat())[0] == 200
        rig.cut_from_store(owner_of(rig))
        statuses = []
        for _ in range(40):
            statuses.append((await rig.send_chat())[0])
            await anyio.sleep(0.05)
    assert set(statuses) == {200}


async def test_refusals_wait_for_each_owner_while_the_store_is_away(paid_rig):
    async with paid_rig(budget_horizon_s=0.1) as rig:
        assert (await rig.send_chat())[0] == 200
        rig.store.mode = "silent"
        await anyio.sleep(4.0)
        refused_after = []
        for _ in range(40):
            started_at = anyio.current_time()
            if (await rig.send_chat())[0] == 503:
                refused_after.append(anyio.current_time() - started_at)
    refused_after.sort()
    assert refused_after[len(refused_after) // 2] < 0.1
    assert refused_after[-1] < 1.2


class TimingOutLink:
    """A link whose call times out while another agent's link is lost."""

    def __init__(self, other):
        self._other = other

    async def call(self, message, timeout_s):
        """Loses the other link and raises the error of a timeout."""
        self._other.link = None
        raise LinkTimeout("No reply.")


async def test_owner_whose_link_is_lost_during_the_call_to_another_fails_the_request():
    peers = {name: SimpleNamespace(usable=True, link=None) for name in AGENTS}
    for name, peer in peers.items():
        peer.record = SimpleNamespace(id=name, incarnation=name)
        peer.link = TimingOutLink(peers[AGENTS[1 - AGENTS.index(name)]])
    runtime = SimpleNamespace(
        incarnation="gate-1", settings=SimpleNamespace(budget_pages=1)
    )
    fleet = SimpleNamespace(agents=peers, linked_agent_of=None)
    state = SimpleNamespace(catalog=SimpleNamespace(revision=1))
    spending = GatewaySpending(runtime, fleet, state, lambda name: False)
    account = SimpleNamespace(name="acme", prepaid_tokens=100)
    with pytest.raises(BudgetUnreachable):
        await spending.reserve(account, "request-1", 50)
