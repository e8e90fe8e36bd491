"""Marginal costs of state: table rows, journals, budgets and events.

They are measured in this process on the real classes, without links or a store.
"""

import time

import msgspec

from pistachiowell.bench.marginal_costs import (
    MarginalCost,
    cpu_us,
    measurement,
    memory_bytes,
)
from pistachiowell.budgets.ledger import AccountLedger
from pistachiowell.core.clock import HybridClock
from pistachiowell.core.events import EventKind, EventRing
from pistachiowell.schema.generated.objects_budgets import (
    BudgetAccount,
    BudgetPage,
    Grant,
    JournalEntry,
    JournalObject,
)
from pistachiowell.schema.generated.table import StoredRow
from pistachiowell.tables import Table

ACCOUNTS = 6900
SERVERS = 600
CHANGES = 50
EVENTS = 20_000
ENTRIES = 1000
PAGE_ACCOUNTS = 200
LEDGERS = 1000
SPENDS = 2000
TOKENS = 1000
GRANT_TOKENS = 1_000_000_000
HOLDER = "router-0123456789abcdef0123456789abcdef"

_HASH = "0123456789abcdef" * 4


def _account_row(number, revision):
    name = f"account-{number}"
    row = {"kind": "account", "name": name, "key_hashes": [f"{number:064x}"]}
    return StoredRow(1, row, "operator", "2026-01-01T00:00:00Z", revision=revision)


def _server_row(number, revision):
    row = {
        "kind": "server",
        "name": f"server-{number}",
        "data_centre": "osu",
        "version": f"model-{number % 4}",
        "url": f"http://10.0.{number // 256}.{number % 256}:8000",
    }
    return StoredRow(1, row, "operator", "2026-01-01T00:00:00Z", revision=revision)


def _full_table(count):
    table = Table()
    rows = [_account_row(number, 1) for number in range(count - SERVERS)]
    rows += [_server_row(number, 1) for number in range(SERVERS)]
    table.apply_rows(rows, 1)
    return table


@measurement("table")
def measure_table():
    """Measures a table at full size and the application of changes of one row."""
    count = ACCOUNTS + SERVERS
    table = _full_table(count)
    revisions = iter(range(2, 2 + 1000 * CHANGES))

    def apply_changes(changes):
        for _ in range(changes):
            revision = next(revisions)
            table.apply_rows([_account_row(revision % ACCOUNTS, revision)], revision)

    stored = msgspec.json.encode(_account_row(1, 1))
    return [
        MarginalCost(
            "table row held",
            count,
            size_bytes=len(stored),
            memory_bytes=memory_bytes(_full_table, count),
        ),
        MarginalCost(
            f"table change, {count} rows", CHANGES, cpu_us(apply_changes, CHANGES)
        ),
    ]


@measurement("journal")
def measure_journal():
    """Measures encoded journal entries and a decoded and encoded budget page."""
    entries = [
        JournalEntry(f"request-{n:032x}", "shop-kumasi", f"grant-{n:032x}", 400)
        for n in range(ENTRIES)
    ]
    size = len(msgspec.json.encode(JournalObject(entries)))
    per_entry = cpu_us(
        lambda n: msgspec.json.encode(JournalObject(entries[:n])), ENTRIES
    )
    page = BudgetPage({f"account-{n}": _budget(n) for n in range(PAGE_ACCOUNTS)})
    value = msgspec.json.encode(page)
    return [
        MarginalCost(
            "journal entry encoded", ENTRIES, per_entry, round(size / ENTRIES, 1)
        ),
        MarginalCost(
            "budget in a page, 5 grants",
            PAGE_ACCOUNTS,
            cpu_us(lambda n: _recode(value), PAGE_ACCOUNTS),
            round(len(value) / PAGE_ACCOUNTS, 1),
        ),
    ]


def _budget(number):
    holder = f"router-{number:032x}"
    grants = {f"grant-{number:031x}{n}": Grant(holder, 20_000) for n in range(5)}
    top_ups = [f"topup-{number:032x}"]
    return BudgetAccount(credited=10_000_000, top_ups=top_ups, grants=grants)


def _recode(value):
    msgspec.json.encode(msgspec.json.decode(value, type=BudgetPage))


@measurement("budgets")
def measure_budgets():
    """Measures idle budgets at an owner router, and reservations with settlement."""
    ledger = _ledger(0)

    def spend(count):
        for number in range(count):
            name = f"request-{number:032x}/1"
            ledger.reserve(name, HOLDER, TOKENS, 0.0)
            ledger.settle(name, HOLDER, TOKENS // 4, 0.0)

    def create_ledgers(count):
        return [_ledger(number) for number in range(count)]

    return [
        MarginalCost(
            "budget held by a home router",
            LEDGERS,
            memory_bytes=memory_bytes(create_ledgers, LEDGERS),
        ),
        MarginalCost("reserve and settle decided", SPENDS, cpu_us(spend, SPENDS)),
    ]


def _ledger(number):
    ledger = AccountLedger()
    ledger.observe(f"grant-{number:032x}", GRANT_TOKENS, 0.0)
    return ledger


@measurement("events")
def measure_events():
    """Measures events in a ring of bounded size."""
    ring = EventRing("router-1", HybridClock(time.time_ns), EVENTS)

    def add(count, target=ring):
        for number in range(count):
            target.add(
                EventKind.request_received,
                request=f"request-{number:032x}",
                account="shop-kumasi",
            )
        return target

    def fill(count):
        return add(count, EventRing("router-1", HybridClock(time.time_ns), count))

    return [
        MarginalCost(
            "event in the ring",
            EVENTS,
            cpu_us(add, EVENTS),
            memory_bytes=memory_bytes(fill, EVENTS),
        )
    ]
