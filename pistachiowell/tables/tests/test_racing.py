"""Concurrent operators and readers under store faults, compared with all changes.

Guards against a lost or doubled change and against a reader whose table never existed.
These could come about by two operators who write the same rows, by writes without an
answer or with a delay, and by lists of the store that lag.
"""

import contextlib
import types

import msgspec
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from pistachiowell.core.errors import (
    STORE_ERRORS,
    RowConflict,
    RowInvalid,
    StoreAnswerLost,
    StoreConflict,
    StoreUnavailable,
)
from pistachiowell.schema.generated.table import StoredRow
from pistachiowell.store.memory import ObjectTable
from pistachiowell.store.table_writer import ChangeAttempt, Outcome, TableWriter
from pistachiowell.tables import ROWS, Change, Table, object_name, row_key
from pistachiowell.tables.changes import make_snapshot
from pistachiowell.tables.checks import find_conflicts
from pistachiowell.tables.rows import decode_head, decode_row, encode, head_rows

KEY_HASH = "a" * 64
ACCOUNTS = [
    {"kind": "account", "name": name, "key_hashes": hashes}
    for name in ("a", "b")
    for hashes in ([KEY_HASH], [])
]
ROUTES = [
    {"kind": "route", "name": "chat", "service": "model", "weights": weights}
    for weights in ({"v1": 1}, {"v2": 1}, {"v1": 1, "v2": 1})
]
VERSIONS = [{"kind": "version", "name": name} for name in ("v1", "v2")]
DELETIONS = [{**row, "deleted": True} for row in (*VERSIONS, ROUTES[0])]
EDITS = [*ACCOUNTS, *ROUTES, *VERSIONS, *DELETIONS]
KEYS = {row_key(row) for row in EDITS}
EDIT = st.sampled_from(EDITS)
OPERATORS = st.integers(0, 2)


@types.coroutine
def _call_store(*call):
    return (yield call)


class SteppedStore:
    """Passes each call to the state machine, which answers it in a later step."""

    async def list(self, collection):
        return await _call_store("list", collection)

    async def put(self, *args):
        return await _call_store("put", *args)


class NaiveAttempt:
    """Checks the rows, then writes each one by itself, without a head."""

    def __init__(self, writer, change):
        self.store, self.change = writer._store, change

    async def run(self):
        entries, _ = await self.store.list(ROWS)
        entries = [entry for entry in entries if entry.name != "head"]
        snapshot = make_snapshot(None, [decode_row(entry.value) for entry in entries])
        versions = {entry.name: entry.version for entry in entries}
        documents = dict(snapshot.documents)
        for edit in self.change.edits:
            key = row_key(edit)
            documents.pop(key, None) if "deleted" in edit else documents.update(
                {key: edit}
            )
        if find_conflicts(documents, snapshot.documents):
            raise RowInvalid("Rejected.")
        for edit in self.change.edits:
            name = object_name(row_key(edit))
            body = {k: v for k, v in edit.items() if k != "deleted"}
            row = StoredRow(1, body, deleted="deleted" in edit)
            await self.store.put(ROWS, name, encode(row), versions.get(name, 0))
        return Outcome(0, [])


class NaiveTable(Table):
    """Overwrites its rows and its revision with whatever was read last."""

    __slots__ = ()

    def apply_rows(self, stored_rows, through):
        self._stored.update({row_key(row.row): row for row in stored_rows})
        self._revision = through


class Operator:
    def __init__(self, attempt, change_id):
        self.attempt, self.change_id = attempt, change_id
        self.restart()

    def restart(self):
        self.task = self.attempt.run()
        self.call = self.task.send(None)


class RacingOperators(RuleBasedStateMachine):
    attempt_class = ChangeAttempt
    table_class = Table

    def __init__(self):
        super().__init__()
        self.objects = ObjectTable()
        self.writer = TableWriter(SteppedStore(), 1.0)
        self.operators = {}
        self.delayed = []
        self.heads = []
        self.lists = [([], 0)]
        self.accepted, self.rejected = set(), set()
        self.readers = [self.table_class() for _ in range(3)]
        self.highest_revisions = [0, 0, 0]
        self.states = [{}]
        self.count = 0
        self.start(0, [*VERSIONS, ROUTES[0]])
        self.step(0, 20, "")

    @rule(
        edits=st.lists(st.lists(EDIT, min_size=1, max_size=2), min_size=3, max_size=3)
    )
    def start_idle(self, edits):
        for number in range(3):
            if number not in self.operators:
                self.start(number, edits[number])

    def start(self, number, edits):
        edits = list({row_key(edit): edit for edit in edits}.values())
        self.count += 1
        change = Change(f"change-{self.count}", f"op-{number}", "", edits)
        attempt = self.attempt_class(self.writer, change)
        self.operators[number] = Operator(attempt, change.change_id)

    @precondition(lambda self: self.operators)
    @rule(
        number=OPERATORS,
        steps=st.integers(1, 3),
        fault=st.sampled_from(
            ["", "", "", "lost", "dropped", "delayed", "down", "crash"]
        ),
    )
    def step(self, number, steps, fault):
        number = sorted(self.operators)[number % len(self.operators)]
        for step in range(steps):
            if number in self.operators:
                self._step(number, fault if step == steps - 1 else "")

    @precondition(lambda self: self.delayed)
    @rule()
    def perform_delayed_write(self):
        with contextlib.suppress(StoreConflict):
            self._perform(self.delayed.pop(0))

    @rule(reader=st.integers(0, 2), age=st.integers(0, 5))
    def read_lagging_list(self, reader, age):
        entries, _ = self.lists[max(0, len(self.lists) - 1 - age)]
        rows = [decode_row(e.value) for e in entries if e.name != "head"]
        heads = [decode_head(e.value) for e in entries if e.name == "head"]
        through = heads[0].revision if heads else 0
        rows += head_rows(heads[0]) if heads else []
        self.readers[reader].apply_rows(rows, through)

    @rule(reader=st.integers(0, 2), peer=st.integers(0, 2))
    def fetch_from_peer(self, reader, peer):
        after = self.readers[reader].revision
        self.readers[reader].apply_rows(*self.readers[peer].rows_after(after))

    @invariant()
    def outcomes_are_true(self):
        ids = [head.change_id for head in self.heads]
        assert len(ids) == len(set(ids))
        assert self.accepted <= set(ids)
        assert not self.rejected & set(ids)

    @invariant()
    def readers_are_exact(self):
        for number, reader in enumerate(self.readers):
            assert reader.revision >= self.highest_revisions[number]
            self.highest_revisions[number] = reader.revision
            known = {key: reader.stored(key) for key in KEYS if reader.stored(key)}
            applied = {k: r for k, r in known.items() if r.revision <= reader.revision}
            assert applied == self.states[reader.revision]

    def _snapshot(self):
        entries, _ = self.objects.list(ROWS)
        heads = [decode_head(e.value) for e in entries if e.name == "head"]
        rows = [decode_row(e.value) for e in entries if e.name != "head"]
        return make_snapshot(heads[0] if heads else None, rows)

    def _step(self, number, fault):
        operator = self.operators[number]
        if fault == "crash":
            del self.operators[number]
            return
        try:
            operator.call = self._answer(operator, fault)
        except StopIteration as stop:
            if stop.value.changed:
                self.accepted.add(operator.change_id)
            del self.operators[number]
        except (RowInvalid, RowConflict):
            self.rejected.add(operator.change_id)
            del self.operators[number]
        except STORE_ERRORS:
            operator.restart()

    def _answer(self, operator, fault):
        is_write = operator.call[0] == "put"
        if fault == "down":
            return operator.task.throw(StoreUnavailable())
        if fault and is_write:
            if fault == "delayed":
                self.delayed.append(operator.call)
            if fault == "lost":
                self._perform(operator.call)
            return operator.task.throw(StoreAnswerLost())
        try:
            result = self._perform(operator.call)
        except StoreConflict as error:
            return operator.task.throw(error)
        return operator.task.send(result)

    def _perform(self, call):
        method, *args = call
        result = getattr(self.objects, method)(*args)
        if method == "put":
            self.lists.append(self.objects.list(ROWS))
            if args[1] == "head":
                self.heads.append(decode_head(args[2]))
                assert self.heads[-1].revision == len(self.heads)
                rows = {row_key(r.row): r for r in head_rows(self.heads[-1])}
                self.states.append({**self.states[-1], **rows})
            documents = self._snapshot().documents
            assert find_conflicts(documents, documents) == []
        return result


class NaiveWriterMachine(RacingOperators):
    attempt_class = NaiveAttempt
    readers_are_exact = None


class NaiveReaderMachine(RacingOperators):
    table_class = NaiveTable


EFFORT = settings(
    max_examples=150,
    stateful_step_count=40,
    report_multiple_bugs=False,
)
NO_SHRINK = settings(EFFORT, phases=[Phase.generate])


def test_racing_operators():
    run_state_machine_as_test(RacingOperators, settings=EFFORT)


@pytest.mark.parametrize("machine", [NaiveWriterMachine, NaiveReaderMachine])
def test_naive_variants_are_rejected(machine):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=NO_SHRINK)


def test_stored_rows_keep_unknown_fields_out():
    value = msgspec.json.encode({"row_version": 1, "row": {}, "later": 1})
    assert decode_row(value).row_version == 1
