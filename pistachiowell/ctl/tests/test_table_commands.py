"""Tests of the commands on the table against a store in memory."""

import types

import pytest

from pistachiowell.core.errors import (
    InvalidRequest,
    NotFound,
    OutcomeUnresolved,
    RowConflict,
    RowInvalid,
    StoreUnavailable,
)
from pistachiowell.ctl.command import EXIT_FAILED, Context, exit_code, load_commands
from pistachiowell.ctl.main import execute, help_text
from pistachiowell.schema.generated.settings import CtlSettings
from pistachiowell.store.memory import MemoryStore
from pistachiowell.tables import read_rows, write_rows

pytestmark = pytest.mark.anyio

TABLE = """
rows:
  - {kind: version, name: v1, model: m}
  - {kind: version, name: v2, model: m2}
  - {kind: route, name: chat, service: model, weights: {v1: 0.75, v2: 0.25}}
  - {kind: server, name: s1, data_centre: osu, version: v1, url: "http://10.0.0.1:1"}
  - {kind: account, name: ama, key_hashes: [%s], weight: 2.5}
""" % ("a" * 64)


class LostAnswerStore(MemoryStore):
    """Performs a write but loses its answer and becomes unavailable, if set to.

    The writer can then not find out whether the write took effect.
    """

    loses_next_answer = False

    async def put(self, *args):
        if not self.loses_next_answer:
            return await super().put(*args)
        self.faults.lose_answers = 1
        try:
            return await super().put(*args)
        finally:
            self.set_down(True)


@pytest.fixture
def store():
    return LostAnswerStore()


@pytest.fixture
def ctl(store, tmp_path):
    """Returns a function that runs one command line.

    The text, if any, is written to a table file whose path is the last argument.
    """
    settings = CtlSettings("http://unused", "ama", retry_timeout_s=0.5)

    async def run(*words, text=None, suffix="yaml", **flags):
        if text is not None:
            path = tmp_path / f"table.{suffix}"
            path.write_text(text, encoding="utf-8")
            words = (*words, str(path))
        values = {"wait": False, "format": "yaml", "soak": 5.0, **flags}
        context = Context(settings, types.SimpleNamespace(**values), store)
        return await execute(words, context)

    return run


async def test_rows_come_back_as_applied_in_yaml_and_csv(ctl):
    await ctl("apply", text=TABLE)
    result = await ctl("get", format="csv")
    assert "v1=0.75 v2=0.25" in result.text
    again = await ctl("apply", text=result.text, suffix="csv")
    assert again.document["changed"] == []
    assert (await ctl("diff", text=TABLE)).document == {"changes": []}
    rows = (await ctl("get")).document["rows"]
    for suffix in ("yaml", "csv"):
        assert read_rows(write_rows(rows, suffix), suffix) == rows


@pytest.mark.parametrize(
    ("old", "new", "found"),
    [
        ("v2: 0.25", "v9: 0.25", "unknown version v9"),
        ("v1: 0.75, v2: 0.25", "v1: 0", "no weight above zero"),
        ("version: v1", "version: v9", "unknown version v9"),
        ("weight: 2.5", "weight: 0", "weight"),
        ("weight: 2.5", "wait: 1", "'wait' was unexpected"),
        ("name: s1", "name: S 1", "does not match"),
        ("kind: server", "kind: servant", "Unknown row kind"),
        ("name: v2, model: m2", "name: v1", "twice"),
    ],
)
async def test_rejected_tables_name_the_fault(ctl, store, old, new, found):
    await ctl("apply", text=TABLE)
    with pytest.raises(RowInvalid, match=found):
        await ctl("apply", text=TABLE.replace(old, new))
    with pytest.raises(RowInvalid, match=found):
        await ctl("validate", text=TABLE.replace(old, new))
    assert (await ctl("get")).document["revision"] == 1


async def test_rows_in_use_cannot_be_deleted(ctl):
    await ctl("apply", text=TABLE)
    deletion = "rows: [{kind: version, name: v1, deleted: true}]"
    with pytest.raises(RowInvalid, match="Route chat names the unknown version v1"):
        await ctl("apply", text=deletion)
    diff = await ctl("diff", text=deletion)
    assert diff.exit_code == EXIT_FAILED
    assert "-model: m" in diff.text


async def test_lost_race_names_the_other_operator(ctl):
    await ctl("apply", text=TABLE)
    row = "rows: [{kind: version, name: v1, model: %s, row_version: 1}]"
    await ctl("apply", text=row % "n1")
    with pytest.raises(RowConflict, match="ama changed row version v1 to version 2"):
        await ctl("apply", text=row % "n2")
    assert exit_code(RowConflict()) == 4


async def test_open_move_blocks_changes_of_its_route(ctl):
    text = TABLE.replace(", v2: 0.25", "")
    await ctl("apply", text=text)
    await ctl("move", "start", "m1", "chat", "v1", "v2", "2h")
    with pytest.raises(RowInvalid, match="open on route chat"):
        await ctl("move", "start", "m2", "chat", "v1", "v2", "2h")
    with pytest.raises(RowConflict, match="m1"):
        await ctl("move", "start", "m1", "chat", "v1", "v2", "3h")
    with pytest.raises(RowInvalid, match="move abort m1"):
        await ctl("apply", text=TABLE)
    with pytest.raises(RowInvalid, match="delete it after its end"):
        await ctl("apply", text="rows: [{kind: move, name: m1, deleted: true}]")
    await ctl("move", "abort", "m1")
    status = await ctl("move", "status", "m1")
    assert status.document["moves"][0]["aborted"]
    for words in (("start", "m3", "chat", "v1", "v2", "soon"), ("status", "m9")):
        with pytest.raises((InvalidRequest, NotFound)):
            await ctl("move", *words)


async def test_unresolved_write_raises_outcome_unresolved(ctl, store):
    store.set_down(True)
    with pytest.raises(StoreUnavailable):
        await ctl("apply", text=TABLE)
    store.set_down(False)
    store.loses_next_answer = True
    with pytest.raises(OutcomeUnresolved):
        await ctl("apply", text=TABLE)


async def test_help_has_an_example_for_each_command():
    commands = load_commands()
    text = help_text(commands)
    assert all(f"pistachiowell-ctl {name}" in text for name in commands)
    with pytest.raises(InvalidRequest):
        await execute(["bogus"], None)
