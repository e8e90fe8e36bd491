"""Simulated fleet: decisions, with messages, writes and faults between them."""

from dataclasses import dataclass, field, replace

from pistachiowell.budgets import (
    FenceReports,
    GrantHolder,
    JournalBatches,
    ReceiptLedger,
)
from pistachiowell.budgets.fencing import StoppedAgent, usage_at_stopped_agent
from pistachiowell.budgets.journal import entry_of, recovered_journal_name
from pistachiowell.budgets.page import (
    FenceGrants,
    apply_changes,
    decode_page,
    encode_page,
)
from pistachiowell.budgets.receipts import Spend, Verdict
from pistachiowell.budgets.sizing import SizingSettings
from pistachiowell.core.errors import StoreConflict
from pistachiowell.schema.generated.objects_budgets import DepartedAgent, JournalEntry
from pistachiowell.store.memory import ObjectTable

ACCOUNT = "shop"
PAGE = ("budgetpages", "page-0")


@dataclass
class Call:
    """State of a request at its router."""

    spend: Spend
    agent: str
    state: str = "asking"
    used: int = 0
    acknowledged: bool = False
    page_version: int = 0

    router = property(lambda self: self.spend.router)
    reservation_id = property(lambda self: self.spend.reservation_id)
    tokens = property(lambda self: self.spend.tokens)


@dataclass
class Router:
    holder: GrantHolder
    batches: JournalBatches
    alive: bool = True
    frozen: bool = False
    calls: dict = field(default_factory=dict)

    @property
    def name(self):
        return self.holder.incarnation


@dataclass
class Agent:
    ledger: ReceiptLedger
    reads: list = field(default_factory=list)
    unverified: list = field(default_factory=list)
    frozen: bool = False


@dataclass
class Write:
    """A conditional write in flight."""

    changes: list
    version: int
    page: object
    holder: GrantHolder = None


class Fleet:
    """Runs the decisions; variants that a test must reject override parts of it."""

    holder_class = GrantHolder
    sizing = SizingSettings()

    def __init__(self):
        self.table = ObjectTable()
        self.routers = {}
        self.agents = {}
        self.stopped = []
        self.messages = []
        self.writes = []
        self.recoveries = {}
        self.journal = {}
        self.generated = {}
        self.now = 0.0
        self._numbers = 0

    def new_name(self, prefix):
        self._numbers += 1
        return f"{prefix}-{self._numbers}"

    def add_router(self):
        name = self.new_name("router")
        holder = self.holder_class(
            name, 1, make_id=lambda: self.new_name("grant"), sizing=self.sizing
        )
        self.routers[name] = Router(holder, JournalBatches(name))
        self.table.put("routers", name, b"", 0)
        return self.routers[name]

    def add_agent(self):
        name = self.new_name("agent")
        self.agents[name] = Agent(ReceiptLedger(name))
        return self.agents[name]

    def remove_agent(self, name, clean):
        agent = self.agents.pop(name)
        record = DepartedAgent(name)
        if clean:
            for key in agent.ledger.running:
                self.finish(agent, key, 1)
            record = agent.ledger.final_record()
            self.journal[name] = [entry_of(r) for r in agent.ledger.receipts]
        version = self.table.put("departed", name, b"", 0)
        self.stopped.append(StoppedAgent(version, record))

    # Messages.

    def send(self, name, handler, *args):
        self.messages.append((name, handler, args))

    def deliver(self, index=0, repeat=False):
        name, handler, args = self.messages.pop(index)
        target = self.routers.get(name) or self.agents.get(name)
        if target is None or not getattr(target, "alive", True):
            return
        if target.frozen or repeat:
            self.messages.append((name, handler, args))
        if not target.frozen:
            handler(target, *args)

    # Pages.

    def page(self):
        entry = self.table.get(*PAGE)
        if entry is None:
            return 0, decode_page(None)
        return entry.version, decode_page(entry.value)

    def start_write(self, holder=None, changes=None):
        version, page = self.page()
        if holder is not None:
            holder.observe(0, version, page, self.now)
            changes = holder.plan(0, self.now)
        new = apply_changes(page, changes)
        if new is not page:
            self.writes.append(Write(changes, version, new, holder))

    def end_write(self, index, outcome):
        write = self.writes.pop(index)
        holder = write.holder
        if outcome == "down":
            self._report_write_failed(holder)
            return
        if outcome == "late":
            self.writes.append(replace(write, holder=None))
        else:
            try:
                version = self.table.put(*PAGE, encode_page(write.page), write.version)
            except StoreConflict:
                if outcome == "ok":
                    self._report_write_failed(holder)
                    return
        if holder is None:
            return
        if outcome == "ok":
            holder.observe(0, version, write.page, self.now)
        else:
            holder.on_answer_lost(0, write.version)

    def _report_write_failed(self, holder):
        if holder is not None:
            holder.on_write_failed(0)

    def writing(self, holder):
        return any(write.holder is holder for write in self.writes)

    # Requests.

    def request(self, router, owner, agent_name, request_id, tokens):
        name = self.new_name("reservation")
        spend = Spend(router.name, request_id, 1, ACCOUNT, "", owner.name, tokens, name)
        router.calls[spend.key] = Call(spend, agent_name)
        self.ask(router.calls[spend.key])

    def ask(self, call):
        args = (call.reservation_id, call.spend.key, call.tokens)
        self.send(call.spend.holder, self.on_reserve, *args)

    def on_reserve(self, owner, reservation, key, tokens):
        reserved = owner.holder.reserve(ACCOUNT, reservation, key[0], tokens, self.now)
        if reserved is not None:
            self.send(key[0], self.on_reserved, key, reserved)

    def on_reserved(self, router, key, reserved):
        call = router.calls[key]
        if call.state == "asking":
            call.state = "running"
            call.spend = replace(call.spend, grant_id=reserved.grant_id)
            call.page_version = reserved.page_version
            self.send(call.agent, self.on_run, call.spend)

    def on_run(self, agent, spend):
        verdict = agent.ledger.admit(spend)
        if verdict is Verdict.CHECK:
            agent.unverified.append(spend)
            for name in agent.ledger.unchecked(spend):
                registered = self.table.get("routers", name) is not None
                agent.reads.append((name, registered))
        elif verdict is Verdict.REFUSE:
            self.send(spend.router, self.on_ended, spend.key, 0)

    def end_read(self, agent):
        if not agent.reads:
            return
        name, registered = agent.reads.pop(0)
        agent.ledger.record_registration(name, registered)
        unverified, agent.unverified = agent.unverified, []
        for spend in unverified:
            if not agent.ledger.unchecked(spend):
                self.on_run(agent, spend)
            elif agent.reads:
                agent.unverified.append(spend)

    def finish(self, agent, key, tokens):
        self.generated[key] = agent.ledger.finish(key, tokens)
        self.send(key[0], self.on_ended, key, self.generated[key])

    def on_ended(self, router, key, used):
        call = router.calls[key]
        if call.state in ("running", "unknown"):
            self.settle(router, call, used)

    def settle(self, router, call, used):
        call.state = "done"
        call.used = used
        spend = call.spend
        if used:
            entry = JournalEntry(
                spend.request_id,
                ACCOUNT,
                spend.grant_id,
                used,
                spend.router,
                spend.reservation_id,
            )
            router.batches.add(entry)
        self.send_settlement(call)

    def send_settlement(self, call):
        args = (call.reservation_id, call.spend.key, call.used)
        self.send(call.spend.holder, self.on_settle, *args)

    def on_settle(self, owner, reservation, key, used):
        owner.holder.settle(ACCOUNT, reservation, key[0], used, self.now)
        self.send(key[0], self.on_settled, key)

    def on_settled(self, router, key):
        router.calls[key].acknowledged = True

    def time_out(self, router, call):
        if call.state == "asking":
            self.settle(router, call, 0)
        elif call.state in ("running", "unknown"):
            call.state = "unknown"
            self.send(call.agent, self.on_outcome, call.spend)
            for stopped in self.stopped:
                if stopped.record.agent == call.agent:
                    entries = self.journal.get(call.agent, [])
                    used = usage_at_stopped_agent(stopped, call, entries)
                    self.settle(router, call, used)

    def on_outcome(self, agent, spend):
        for key in agent.ledger.running_under(spend.router, spend.reservation_id):
            self.finish(agent, key, spend.tokens // 2)
        used = agent.ledger.close_reservation(
            spend.router, spend.reservation_id, spend.grant_id, spend.holder
        )
        self.send(spend.router, self.on_ended, spend.key, used)

    # Journals and recovery.

    def write_journal(self, router, answered):
        batch = router.batches.next_batch()
        if batch is None:
            return
        name, entries = batch
        assert self.journal.setdefault(name, entries) == entries
        if answered:
            router.batches.confirm_written()
            for agent in self.agents.values():
                ids = [entry.reservation_id for entry in entries]
                agent.ledger.remove_receipts(router.name, ids)

    def agents_to_ask(self):
        return list(self.agents)

    def start_recovery(self, name):
        entry = self.table.get("routers", name)
        if entry is not None:
            self.table.delete("routers", name, entry.version)
        self.recoveries[name] = None

    def step_recovery(self, name):
        reports = self.recoveries[name]
        if reports is None:
            agents = self.agents_to_ask()
            self.recoveries[name] = FenceReports(name, agents, self.stopped)
            self.start_write(changes=[FenceGrants(name)])
        elif not reports.complete or reports.still_running:
            for agent in reports.agents:
                self.send(agent, self.on_fence, name)
            if not set(reports.missing) <= set(self.agents):
                self.recoveries[name] = None
        else:
            self.start_write(changes=[FenceGrants(name)])
            self.start_write(changes=reports.changes(self.page()[1]))
            for router in self.routers.values():
                if router.alive and not router.frozen:
                    router.holder.settle_fenced_router(name, reports)

    def on_fence(self, agent, name):
        for key in agent.ledger.running_of(name):
            self.finish(agent, key, 1)
        report = agent.ledger.fence(name)
        if report.receipts:
            entries = [entry_of(receipt) for receipt in report.receipts]
            self.journal.setdefault(recovered_journal_name(name, report.agent), entries)
        if self.recoveries.get(name) is not None:
            self.recoveries[name].add(report)
