"""State machine of prepaid budgets in a fleet with faults.

Messages and writes are lost, delayed and repeated; routers and agents are killed and
frozen. Whatever the order, nothing may be spent that was not paid for, each request is
billed once, and at the end all tokens that were not billed can be spent, unless a
crashed agent may have used them. Naive variants that break one of the rules must be
rejected.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from pistachiowell.budgets import GrantHolder, bills
from pistachiowell.budgets.journal import charges, refunds
from pistachiowell.budgets.page import (
    TopUp,
    apply_changes,
    free_tokens,
    granted_tokens,
)
from pistachiowell.budgets.sizing import SizingSettings
from pistachiowell.budgets.tests.fleet import ACCOUNT, PAGE, Fleet
from pistachiowell.schema.generated.objects_budgets import BudgetAccount

index = st.integers(0, 30)
tokens = st.integers(1, 60)


class BudgetMachine(RuleBasedStateMachine):
    fleet_class = Fleet

    def __init__(self):
        super().__init__()
        self.fleet = self.fleet_class()
        self.top_ups = {}
        for _ in range(2):
            self.fleet.add_router()
            self.fleet.add_agent()
        self.add_top_up(100)
        self.fleet.end_write(0, "ok")

    def pick(self, items, number):
        items = list(items)
        return items[number % len(items)] if items else None

    def router(self, number, skip_frozen=True):
        routers = self.fleet.routers.values()
        usable = [r for r in routers if r.alive and not (skip_frozen and r.frozen)]
        return self.pick(usable, number)

    def account(self):
        return self.fleet.page()[1].accounts.get(ACCOUNT, BudgetAccount())

    def entries(self):
        return [e for entries in self.fleet.journal.values() for e in entries]

    @rule(amount=tokens)
    def add_top_up(self, amount):
        change = TopUp(ACCOUNT, f"top-up-{len(self.top_ups)}", amount)
        self.top_ups[change.top_up_id] = change
        self.fleet.start_write(changes=[change])

    @rule(number=index)
    def repeat_top_up(self, number):
        self.fleet.start_write(changes=[self.pick(self.top_ups.values(), number)])

    @rule(sender=index, owner=index, agent=index, name=st.integers(0, 6), amount=tokens)
    def request(self, sender, owner, agent, name, amount):
        sender, owner = self.router(sender), self.router(owner, skip_frozen=False)
        agent = self.pick(self.fleet.agents, agent)
        if sender and owner and agent:
            self.fleet.request(sender, owner, agent, f"request-{name}", amount)

    @rule(number=index, call=index)
    def time_out(self, number, call):
        router = self.router(number)
        call = router and self.pick(router.calls.values(), call)
        if call:
            self.fleet.time_out(router, call)

    @rule(number=index, call=index)
    def ask_again(self, number, call):
        router = self.router(number)
        call = router and self.pick(router.calls.values(), call)
        if call:
            self.fleet.ask(call)

    @precondition(lambda self: self.fleet.messages)
    @rule(number=index, delivery=st.sampled_from(["once", "once", "twice", "lost"]))
    def deliver(self, number, delivery):
        number %= len(self.fleet.messages)
        if delivery == "lost":
            del self.fleet.messages[number]
        else:
            self.fleet.deliver(number, repeat=delivery == "twice")

    @rule()
    def deliver_all(self):
        for _ in range(len(self.fleet.messages)):
            self.fleet.deliver()

    @rule(number=index)
    def write(self, number):
        router = self.router(number)
        if router and not self.fleet.writing(router.holder):
            self.fleet.start_write(router.holder)

    @precondition(lambda self: self.fleet.writes)
    @rule(number=index, outcome=st.sampled_from(["ok", "ok", "lost", "late", "down"]))
    def end_write(self, number, outcome):
        write = self.fleet.writes[number % len(self.fleet.writes)]
        owner = write.holder and self.fleet.routers[write.holder.incarnation]
        if owner and owner.frozen:
            outcome = "late"
        self.fleet.end_write(self.fleet.writes.index(write), outcome)

    @rule(outcome=st.sampled_from(["ok", "ok", "lost"]))
    def run_all(self, outcome):
        fleet = self.fleet
        for _ in range(2):
            for router in fleet.routers.values():
                free = not fleet.writing(router.holder)
                if router.alive and not router.frozen and free:
                    fleet.start_write(router.holder)
                    if fleet.writing(router.holder):
                        fleet.end_write(len(fleet.writes) - 1, outcome)
                for call in router.calls.values():
                    if call.state == "asking" and not router.frozen:
                        fleet.ask(call)
            for _ in range(3):
                self.deliver_all()
                for agent in fleet.agents.values():
                    for _ in range(len(agent.reads)):
                        fleet.end_read(agent)

    @rule(number=index)
    def read_page(self, number):
        router = self.router(number)
        if router:
            router.holder.observe(0, *self.fleet.page(), self.fleet.now)

    @rule(number=index, seconds=st.sampled_from([1, 400]))
    def renew(self, number, seconds):
        self.fleet.now += seconds
        if self.router(number):
            self.router(number).holder.retire_idle(ACCOUNT, self.fleet.now)

    @rule(number=index)
    def recall(self, number):
        if self.router(number):
            self.router(number).holder.recall(ACCOUNT, self.fleet.now)

    @rule(agent=index, amount=tokens, number=index)
    def finish(self, agent, amount, number):
        agent = self.pick(self.fleet.agents.values(), agent)
        key = agent and self.pick(agent.ledger.running, number)
        if key and not agent.frozen:
            self.fleet.finish(agent, key, amount)

    @rule()
    def finish_all(self):
        for agent in self.fleet.agents.values():
            for key in [] if agent.frozen else agent.ledger.running:
                self.fleet.finish(agent, key, 1000)

    @rule(agent=index)
    def end_read(self, agent):
        agent = self.pick(self.fleet.agents.values(), agent)
        if agent and not agent.frozen:
            self.fleet.end_read(agent)

    @rule(number=index, answered=st.booleans())
    def write_journal(self, number, answered):
        if self.router(number):
            self.fleet.write_journal(self.router(number), answered)

    @rule(number=index)
    def freeze_or_resume(self, number):
        router = self.router(number, skip_frozen=False)
        if router:
            router.frozen = not router.frozen

    @rule(number=index)
    def freeze_or_resume_agent(self, number):
        agent = self.pick(self.fleet.agents.values(), number)
        if agent:
            agent.frozen = not agent.frozen

    @rule(number=index)
    def kill_router(self, number):
        router = self.router(number, skip_frozen=False)
        if router and len(self.fleet.routers) < 7:
            router.alive = False
            self.fleet.add_router()

    @rule(number=index, clean=st.sampled_from([True, True, False]))
    def restart_agent(self, number, clean):
        if len(self.fleet.stopped) < 3:
            self.fleet.remove_agent(self.pick(self.fleet.agents, number), clean)
            self.fleet.add_agent()

    @rule(number=index)
    def start_recovery(self, number):
        self.fleet.start_recovery(self.pick(self.fleet.routers, number))

    @precondition(lambda self: self.fleet.recoveries)
    @rule(number=index)
    def step_recovery(self, number):
        self.fleet.step_recovery(self.pick(self.fleet.recoveries, number))

    @invariant()
    def spend_is_paid_for(self):
        account = self.account()
        assert free_tokens(account) >= 0
        assert min(account.closed, account.credited) >= 0
        paid = sum(self.top_ups[name].tokens for name in account.top_ups)
        assert account.credited == paid
        billed = sum(bills(self.entries()).values())
        assert billed <= paid
        assert sum(self.fleet.generated.values()) - account.returned <= paid

    @invariant()
    def recorded_use_is_settled(self):
        grants = self.account().grants
        for router in self.fleet.routers.values():
            for grant_id, held in router.holder.ledger(ACCOUNT).grants.items():
                recorded = grants[grant_id].used_tokens if grant_id in grants else 0
                assert recorded <= held.used_tokens

    @invariant()
    def journaled_requests_have_one_bill(self):
        journaled = {entry.request_id for entry in self.entries()}
        assert bills(self.entries()).keys() == journaled
        for (_, request_id), attempts in charges(self.entries()).items():
            assert bills(self.entries())[request_id] == max(attempts.values())

    def settle_everything(self):
        for _ in range(12):
            for router in self.fleet.routers.values():
                for call in router.calls.values():
                    if router.alive and call.state != "done":
                        self.fleet.time_out(router, call)
                    elif router.alive and not call.acknowledged:
                        self.fleet.send_settlement(call)
            for name in self.fleet.recoveries:
                self.fleet.step_recovery(name)
            for _ in range(len(self.fleet.messages)):
                self.fleet.deliver()
            for agent in self.fleet.agents.values():
                for _ in range(len(agent.reads)):
                    self.fleet.end_read(agent)
                for key in agent.ledger.running:
                    self.fleet.finish(agent, key, 1)
            for router in self.fleet.routers.values():
                if router.alive:
                    self.fleet.write_journal(router, answered=True)
                    router.holder.recall(ACCOUNT, self.fleet.now)
                    self.fleet.start_write(router.holder)
                while self.fleet.writes:
                    self.fleet.end_write(0, "ok")

    def teardown(self):
        fleet = self.fleet
        for process in [*fleet.routers.values(), *fleet.agents.values()]:
            process.frozen = False
        for router in fleet.routers.values():
            if not router.alive:
                fleet.start_recovery(router.name)
        while fleet.writes:
            fleet.end_write(0, "lost")
        self.settle_everything()
        self.spend_is_paid_for()
        for change in self.top_ups.values():
            fleet.start_write(changes=[change])
            while fleet.writes:
                fleet.end_write(0, "ok")
        fleet.start_write(changes=refunds(self.entries()) * 2)
        while fleet.writes:
            fleet.end_write(0, "ok")
        self.spend_is_paid_for()
        self.everything_left_is_spendable()

    def everything_left_is_spendable(self):
        account = self.account()
        charged = account.closed + granted_tokens(account)
        assert sum(self.fleet.generated.values()) <= charged
        billed = sum(bills(self.entries()).values())
        lost = [d.version for d in self.fleet.stopped if not d.record.complete]
        for grant in account.grants.values():
            assert grant.page_version < max(lost, default=0)
        if account.grants:
            return
        assert account.credited == sum(t.tokens for t in self.top_ups.values())
        assert free_tokens(account) == account.credited - billed
        if free_tokens(account):
            holder = self.fleet.add_router().holder
            left = free_tokens(account)
            holder.reserve(ACCOUNT, "last", holder.incarnation, left, self.fleet.now)
            page = apply_changes(self.fleet.page()[1], holder.plan(0, self.fleet.now))
            holder.observe(0, self.fleet.table.get(*PAGE).version + 1, page, 0.0)
            assert holder.reserve(ACCOUNT, "last", holder.incarnation, left, 0.0)


class ClosesIdleGrants(Fleet):
    sizing = SizingSettings(policy="proportional", close_idle_after_s=1.0)


class KeepsRequests(Fleet):
    sizing = SizingSettings(kept_requests=4)


class RefundsOnTimeout(Fleet):
    def time_out(self, router, call):
        if call.state != "done":
            self.settle(router, call, 0)


class AddingHolder(GrantHolder):
    """Adds the amount read after a lost answer to the amount that it has."""

    extra = 0
    lost = False

    def on_answer_lost(self, number, base_version):
        super().on_answer_lost(number, base_version)
        self.lost = True

    def observe(self, number, version, page, now):
        super().observe(number, version, page, now)
        for grant in self.ledger(ACCOUNT).grants.values():
            self.extra += grant.amount if self.lost else 0
            self.lost = False
            grant.amount += self.extra


class AddsAfterLostAnswer(Fleet):
    holder_class = AddingHolder


class ClosesWithoutAsking(Fleet):
    def agents_to_ask(self):
        return []


def run_machine(fleet, examples, phases=tuple(Phase)):
    machine = type(fleet.__name__, (BudgetMachine,), {"fleet_class": fleet})
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=60,
            suppress_health_check=list(HealthCheck),
            phases=phases,
        ),
    )


@pytest.mark.parametrize("fleet", [Fleet, ClosesIdleGrants, KeepsRequests])
def test_budgets_hold_under_faults(fleet):
    run_machine(fleet, 300)


@pytest.mark.parametrize(
    "fleet", [RefundsOnTimeout, AddsAfterLostAnswer, ClosesWithoutAsking]
)
def test_naive_variant_is_rejected(fleet):
    with pytest.raises(AssertionError):
        run_machine(fleet, 1000, [Phase.generate])
