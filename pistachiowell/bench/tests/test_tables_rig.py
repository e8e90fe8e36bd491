"""Tests of table changes with the real programs.

They cover concurrent operators, lost answers of the store, rejected tables and
processes without a link to the store.
"""

from concurrent.futures import ThreadPoolExecutor

import yaml


def table_file(rig, name, rows):
    path = rig.directory / f"{name}.yaml"
    path.write_text(yaml.safe_dump({"rows": rows}), encoding="utf-8")
    return path


def account(name, limit, **fields):
    return {
        "kind": "account",
        "name": name,
        "key_hashes": [],
        "max_in_flight": limit,
        **fields,
    }


def test_one_of_two_racing_operators_wins_and_the_other_learns_it(rig):
    """Of two concurrent changes to the same rows, one is applied whole.

    The other is rejected with a conflict that names the row, the operator who
    changed it and the command that shows it. Neither overwrites the other, and rows
    of the two changes do not mix.
    """
    rig.apply([account("raced", 1), account("raced-too", 1)])
    files = [
        table_file(
            rig,
            f"race-{limit}",
            [account(n, limit, row_version=1) for n in ("raced", "raced-too")],
        )
        for limit in (10, 20)
    ]
    with ThreadPoolExecutor(2) as pool:
        results = list(pool.map(lambda path: rig.ctl("apply", path), files))
    codes = sorted(code for code, _ in results)
    assert codes == [0, 4], results
    winner = results.index(next(r for r in results if r[0] == 0))
    rows = rig.objects("rows")
    limits = {
        rows[f"account-{n}"]["row"]["max_in_flight"] for n in ("raced", "raced-too")
    }
    assert limits == {(10, 20)[winner]}
    error = results[1 - winner][1]["error"]
    assert error["code"] == "row_conflict"
    assert "rig changed row account raced" in error["message"]
    assert "get account raced" in error["message"]


def test_lost_answers_of_apply_are_resolved(rig):
    """``ctl apply`` finds out whether a write without an answer took effect.

    A write that took effect is not repeated, and one that did not is sent again, so
    that each row is written exactly once.
    """
    rig.store_faults(lose_answers=2)
    document = rig.apply([account("lost", 1)])
    assert document["accepted"] and document["changed"] == ["account lost"]
    rig.store_faults(drop_writes=2)
    document = rig.apply([account("dropped", 1)])
    assert document["changed"] == ["account dropped"]
    for name in ("lost", "dropped"):
        assert rig.objects("rows")[f"account-{name}"]["row_version"] == 1


def test_rejected_table_changes_nothing(rig):
    """No row of a table is stored if one of its rows is invalid."""
    before = rig.objects("rows")
    rows = [
        account("never", 1),
        {"kind": "route", "name": "r", "service": "model", "weights": {"v9": 1}},
    ]
    code, document = rig.ctl("apply", table_file(rig, "rejected", rows))
    assert code == 3
    assert "unknown version v9" in document["error"]["message"]
    assert rig.objects("rows") == before


def test_router_cut_off_from_the_store_still_gets_the_table(rig):
    """Processes that cannot reach the store receive table changes from peers."""
    rig.set_link("router-2-store", cut=True)
    rig.set_link("agent-engine-2-store", cut=True)
    document = rig.apply([account("cut-off", 1)], wait=True)
    assert "router-2" in document["in_force"]["have"]
    assert document["in_force"]["lack"] == []
    rig.clear_link_and_store_faults()
