"""Drawn plays of the recovery of what killed runs of an agent have left unspent.

Runs are killed or overlap, gateways end or are cut off, messages and writes are lost or
late, and the store returns from older copies. Whatever the order, what gateways have
used and what can still be spent together never exceed the credit. Naive variants that
break one of the rules must be rejected.
"""

from dataclasses import replace
from inspect import signature
from itertools import count
from random import Random

import msgspec
import pytest

from pistachiowell.budgets import GrantHolder
from pistachiowell.budgets.grant_uses import GrantUses
from pistachiowell.budgets.lost_runs import ANSWER_WAIT_S, LostRuns
from pistachiowell.budgets.page import (
    RestoreClosed,
    RestoreGrant,
    TopUp,
    apply_changes,
    decode_page,
    encode_page,
    free_tokens,
)
from pistachiowell.budgets.served_runs import UNLINKED_S, RunList
from pistachiowell.budgets.sizing import SizingSettings
from pistachiowell.schema.generated.objects_budgets import HolderRun, ServedRuns
from pistachiowell.store.era import REVISION_BITS

CREDIT = 400
PAGE, LIST = "page", "list"
SIZING = SizingSettings(policy="proportional", close_idle_after_s=4.0)

OUTCOMES = ["ok", "ok", "ok", "lost", "late", "down"]
PLAYS, STEPS = 600, 120
# Arguments that are drawn for each kind of step, and how often it is drawn.
DRAWN = {
    "number": range(12),
    "sender": range(12),
    "outcome": OUTCOMES,
    "amount": range(1, 61),
    "share": range(5),
    "seconds": [1.0, 1.0, 6.0, ANSWER_WAIT_S],
    "kill": [True, True, True, False],
    "is_lost": [False, False, False, True],
}
WEIGHTS = {
    "reserve": 8,
    "deliver_reply": 8,
    "settle": 5,
    "write_list": 4,
    "write_page": 4,
    "ask": 4,
    "recover": 3,
    "start_run": 2,
    "start_gateway": 2,
    "kill_gateway": 1,
    "end_late_write": 1,
    "charge_lost_reservations": 1,
    "lose_link": 1,
    "wait": 1,
    "take_copy": 1,
    "return_from_copy": 1,
}


class Store:
    """Objects with revisions that are given out again after a return."""

    def __init__(self):
        self.era, self.revision, self.objects = 1, 0, {}
        self.copy = (0, {})

    def put(self, name, value, expected):
        """Writes if the object has the expected revision; returns whether it has."""
        if self.objects.get(name, (0, None))[0] != expected:
            return False
        self.revision += 1
        self.objects[name] = (self.revision, value)
        return True

    def read(self, name):
        """Returns ``(version, value)``."""
        revision, value = self.objects.get(name, (0, None))
        return (self.era << REVISION_BITS) + revision, value


class Run:
    """One run of the agent."""

    def __init__(self, name, classes, era):
        self.alive = True
        self.era = era
        numbers = count()
        self.holder = GrantHolder(
            name, 1, make_id=lambda: f"{name}-{next(numbers)}", sizing=SIZING
        )
        self.list = classes.run_list(self.holder)
        self.lost = classes.lost_runs()


class Gateway:
    """One run of a gateway."""

    def __init__(self, name, classes):
        self.name, self.alive = name, True
        self.uses = classes.uses()
        self.open, self.used = {}, 0


class Sound:
    """The decisions under test."""

    run_list, lost_runs, uses = RunList, LostRuns, GrantUses


class Simulation:
    """An agent, its gateways and the store.

    Each method that ``WEIGHTS`` names is one step.
    """

    def __init__(self, classes):
        self.classes = classes
        self.store, self.now, self.numbers = Store(), 10.0, 0
        self.runs, self.gateways, self.late = [], [], []
        self.replies, self.notices = [], {}
        page = apply_changes(decode_page(None), [TopUp("shop", "t", CREDIT)])
        self.store.put(PAGE, encode_page(page), 0)
        self.store.copy = (self.store.revision, dict(self.store.objects))
        self.start_run(True)
        for _ in range(2):
            self.start_gateway()

    def new_name(self, prefix):
        self.numbers += 1
        return f"{prefix}-{self.numbers}"

    def pick(self, items, number):
        items = list(items)
        return items[number % len(items)] if items else None

    def run_of(self, number):
        """Returns the newest run mostly, else an older one that still lives."""
        older = [run for run in self.runs[:-1] if run.alive]
        return self.runs[-1] if number % 3 or not older else older[-1]

    def learn_era(self, run):
        if run.era != self.store.era:
            run.era = self.store.era
            run.holder.record_return(run.era, self.now)
            run.lost.record_return()

    def write(self, run, name, plan, outcome):
        """Reads an object, plans and writes it; returns whether that is known."""
        version, value = self.store.read(name)
        self.learn_era(run)
        new = plan(version, value)
        if new is None or outcome == "down":
            return None
        revision = version % (1 << REVISION_BITS)
        if outcome == "late":
            self.late.append((name, new, revision))
        elif self.store.put(name, new, revision) and outcome == "ok":
            return self.store.read(name)[0]
        return 0

    def start_run(self, kill):
        for run in self.runs if kill else []:
            run.alive = False
        if len(self.runs) < 6:
            name = self.new_name("run")
            run = Run(name, self.classes, self.store.era)
            self.runs.append(run)
        else:
            self.runs[-1].alive = True

    def start_gateway(self):
        if len(self.gateways) < 6:
            self.gateways.append(Gateway(self.new_name("gate"), self.classes))

    def kill_gateway(self, number):
        self.pick(self.gateways, number).alive = False

    def write_list(self, number, outcome):
        run, planned = self.run_of(number), None

        def plan(version, value):
            nonlocal planned
            stored = value and msgspec.json.decode(value, type=ServedRuns)
            run.list.observe(stored, run.era)
            if run.list.is_due(run.era):
                planned = run.list.plan(run.era, run.lost.records)
                return msgspec.json.encode(planned)
            return None

        if run.alive and self.write(run, LIST, plan, outcome):
            run.list.confirm(planned)
            run.lost.add([x for x in planned.lost if x.era == run.era], self.now)

    def write_page(self, number, outcome):
        run = self.run_of(number)
        if run.alive:
            self.sync(run, outcome)

    def sync(self, run, outcome):
        base = page = None

        def plan(version, value):
            nonlocal base, page
            base, old = version, decode_page(value)
            run.holder.observe(0, version, old, self.now)
            page = apply_changes(old, run.lost.changes(old, self.now))
            page = apply_changes(page, run.holder.plan(0, self.now))
            return None if page is old else encode_page(page)

        version = self.write(run, PAGE, plan, outcome)
        if version:
            run.holder.observe(0, version, page, self.now)
        elif version == 0:
            run.holder.on_answer_lost(0, base)
        else:
            run.holder.on_write_failed(0)
        for news in run.holder.drain_news():
            self.notices[news.grant_id] = (run.holder.incarnation, news)
            for gateway in self.gateways if news.is_closed else []:
                gateway.uses.forget(run.holder.incarnation, news.grant_id)

    def end_late_write(self, number):
        if self.late:
            self.store.put(*self.late.pop(number % len(self.late)))

    def reserve(self, number, sender, amount, outcome):
        run, gateway = self.run_of(number), self.pick(self.gateways, sender)
        if not (run.alive and gateway.alive):
            return
        if not run.list.is_listed(gateway.name):
            run.list.request(gateway.name)
            self.write_list(number, outcome)
        if not run.list.is_listed(gateway.name):
            return
        name = self.new_name("reservation")
        reserved = run.holder.reserve("shop", name, gateway.name, amount, self.now)
        if reserved is None:
            self.sync(run, "ok")
            reserved = run.holder.reserve("shop", name, gateway.name, amount, self.now)
        if reserved is None:
            run.holder.settle("shop", name, gateway.name, 0, self.now)
        else:
            self.replies.append((run, gateway, name, reserved))

    def deliver_reply(self, number, is_lost):
        if not self.replies:
            return
        reply = self.replies.pop(number % len(self.replies))
        run, gateway, name, reserved = reply
        holder = run.holder.incarnation
        is_used = (
            gateway.alive
            and not is_lost
            and gateway.uses.reserve(holder, reserved.grant_id, name, reserved.tokens)
        )
        if is_used:
            gateway.open[name] = (run, reserved.tokens)
        elif gateway.alive:
            self.settle_at(run, name, gateway.name, 0)

    def settle_at(self, run, name, gateway, used):
        if run.alive:
            run.holder.settle("shop", name, gateway, used, self.now)

    def settle(self, sender, number, share, is_lost):
        gateway = self.pick(self.gateways, sender)
        name = self.pick(gateway.open, number)
        if gateway.alive and name:
            run, tokens = gateway.open.pop(name)
            used = tokens * share // 4
            gateway.used += used
            gateway.uses.settle(run.holder.incarnation, name, used)
            if not is_lost:
                self.settle_at(run, name, gateway.name, used)

    def charge_lost_reservations(self, number):
        """Charges at the bound what no gateway names as open."""
        run = self.run_of(number)
        named = {n for g in self.gateways if g.alive for n in g.open}
        named |= {name for _, _, name, _ in self.replies}
        for each in run.holder.open_reservations():
            if run.alive and each.reservation_id not in named:
                self.settle_at(run, each.reservation_id, each.router, each.tokens)

    def lose_link(self, number, sender):
        run, gateway = self.run_of(number), self.pick(self.gateways, sender)
        for reply in [r for r in self.replies if r[:2] == (run, gateway)]:
            self.replies.remove(reply)
        linked = {g.name: g.name for g in self.gateways if g.alive and g is not gateway}
        run.list.observe_links(linked, self.now)
        self.now += UNLINKED_S
        run.list.observe_links(linked, self.now)

    def ask(self, sender, is_lost):
        gateway, run = self.pick(self.gateways, sender), self.runs[-1]
        for lost in run.lost.unfinished:
            if gateway.alive and gateway.name in lost.to_ask():
                sums = gateway.uses.end(lost.record.holder)
                if not is_lost:
                    holder = lost.record.holder
                    run.lost.record_answer(holder, gateway.name, sums, self.now)

    def recover(self):
        """Lists, asks and writes once, as an undisturbed run does."""
        self.write_list(1, "ok")
        for sender in range(len(self.gateways)):
            self.ask(sender, False)
        self.write_page(1, "ok")

    def wait(self, seconds):
        self.now += seconds
        for run in self.runs:
            if run.alive:
                run.holder.retire_idle("shop", self.now)

    def take_copy(self):
        self.store.copy = (self.store.revision, dict(self.store.objects))

    def return_from_copy(self):
        """Returns the store; pages are written again by holders and from notices.

        A write that is still on its way then is lost. Its revision could be given out
        again, and it would take effect on another content, with and without recovery.
        """
        store = self.store
        self.late.clear()
        store.revision, store.objects = store.copy[0], dict(store.copy[1])
        store.era += 1
        page = apply_changes(
            decode_page(store.objects[PAGE][1]),
            [self.restored(holder, news) for holder, news in self.notices.values()],
        )
        store.put(PAGE, encode_page(page), store.objects[PAGE][0])
        for run in self.runs:
            if run.alive:
                self.sync(run, "ok")
        self.now += 2.0

    def restored(self, holder, news):
        if news.is_closed:
            return RestoreClosed("shop", news.grant_id, news.tokens)
        return RestoreGrant("shop", news.grant_id, holder, news.tokens, is_exact=False)

    def check(self):
        """Checks that what is spent and spendable has been paid for."""
        spent = sum(
            gateway.used + sum(tokens for _, tokens in gateway.open.values())
            for gateway in self.gateways
        )
        account = decode_page(self.store.read(PAGE)[1]).accounts["shop"]
        spendable = max(0, free_tokens(account))
        if self.runs[-1].alive:
            held = self.runs[-1].holder.ledger("shop").grants.values()
            spendable += sum(max(0, grant.available_tokens) for grant in held)
        assert spent + spendable <= CREDIT


class ServesAnyGateway(Sound):
    class run_list(RunList):  # noqa: N801, D106
        def is_listed(self, run):
            return super().is_listed(run) or self._written is not None


class ServesWhileWriting(Sound):
    class run_list(RunList):  # noqa: N801, D106
        def plan(self, era, lost):
            planned = super().plan(era, lost)
            self._listed = frozenset(planned.current.gateways)
            return planned


class DropsOpenReservations(Sound):
    class uses(GrantUses):  # noqa: N801, D106
        def end(self, holder):
            return [replace(use, open_tokens=0) for use in super().end(holder)]


class RecoversOlderEras(Sound):
    class run_list(RunList):  # noqa: N801, D106
        def observe(self, stored, era):
            super().observe(stored, era)
            if stored and stored.current.holder != self._holder.incarnation:
                self._earlier = [replace(stored.current, era=era)]

    class lost_runs(LostRuns):  # noqa: N801, D106
        def changes(self, page, now):
            runs = self._runs.values()
            return [c for run in runs for c in run.changes(_in_era(page, run), now)]


def _in_era(page, run):
    """Returns a page whose grants seem to be of the era of a lost run."""
    version = run.record.era << REVISION_BITS
    account = page.accounts["shop"]
    grants = {n: replace(g, page_version=version) for n, g in account.grants.items()}
    return replace(page, accounts={"shop": replace(account, grants=grants)})


class UsesLateReplies(Sound):
    class uses(GrantUses):  # noqa: N801, D106
        def end(self, holder):
            sums = super().end(holder)
            self._ended.discard(holder)
            return sums


class IgnoresMissingAnswers(Sound):
    class lost_runs(LostRuns):  # noqa: N801, D106
        def add(self, records, now):
            super().add(records, now)
            for run in self._runs.values():
                run._answered_at = now


def play(classes, seed):
    """Plays drawn steps and checks the budget after each of them."""
    rng, simulation = Random(seed), Simulation(classes)
    for _ in range(STEPS):
        (name,) = rng.choices(list(WEIGHTS), WEIGHTS.values())
        step = getattr(simulation, name)
        names = list(signature(step).parameters)
        step(**{each: rng.choice(DRAWN[each]) for each in names})
        simulation.check()


def test_budget_is_never_overspent():
    for seed in range(PLAYS):
        play(Sound, seed)


@pytest.mark.parametrize(
    "classes",
    [
        ServesAnyGateway,
        ServesWhileWriting,
        DropsOpenReservations,
        RecoversOlderEras,
        UsesLateReplies,
        IgnoresMissingAnswers,
    ],
)
def test_naive_variant_is_rejected(classes):
    with pytest.raises(AssertionError):
        for seed in range(PLAYS):
            play(classes, seed)


def test_recovery_that_has_timed_out_begins_again():
    """Operators would top up twice by what the two warnings report as lost."""
    runs, record = LostRuns(), HolderRun("agent-1", 0, ["gate-1"])
    runs.add([record], 0.0)
    assert len(runs.remove_timed_out(ANSWER_WAIT_S)) == 1
    runs.add([record], ANSWER_WAIT_S)
    assert not runs.unfinished
