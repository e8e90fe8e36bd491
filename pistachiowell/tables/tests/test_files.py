"""Fuzzing of table files: any content gives rows or a ``RowInvalid`` error."""

import math
from contextlib import suppress

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from pistachiowell.core.errors import RowInvalid
from pistachiowell.tables.files import read_rows, write_rows
from pistachiowell.tables.rows import check_document

CELLS = "kind|name|weights|route|v1=0.5|v1=nan|v1|account|1|true|,|\n|\"|'|\x00|é"
YAML = "rows:|- |kind: |route|{|}|[|]|\n|  |2001-99-99|!!int ''|&a |*a|<<: |.nan"
ROUTE = {
    "kind": "route",
    "name": "chat",
    "service": "model",
    "weights": {"v1": 1.0},
}
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=2) | st.dictionaries(st.text(), inner, max_size=2)
    ),
    max_leaves=4,
)


def pieces(text):
    return st.lists(st.sampled_from(text.split("|"))).map("".join)


@given(text=st.text() | pieces(CELLS))
@example(text="kind,name\nroute,chat,extra\n")
@example(text='kind,name\nroute,"a\x00\n')
@example(text="kind,name\n" + "x" * 200_000)
def test_any_csv_gives_rows_or_a_typed_error(text):
    with suppress(RowInvalid):
        for document in read_rows(text, "csv"):
            check_document(document)


@given(text=st.text() | pieces(YAML))
@example(text="rows: [2001-99-99]")
@example(text="rows: " + "[" * 2000)
@example(text="rows: [1]")
@example(text="? [1]\n: 2")
def test_any_yaml_gives_rows_or_a_typed_error(text):
    with suppress(RowInvalid):
        for document in read_rows(text, "yaml"):
            check_document(document)


@given(wrong=st.dictionaries(st.sampled_from(["", *ROUTE]), VALUES, max_size=2))
def test_any_row_passes_or_is_refused_with_a_typed_error(wrong):
    with suppress(RowInvalid):
        check_document({**ROUTE, **wrong})


@pytest.mark.parametrize("weight", [math.nan, math.inf])
def test_weights_are_finite(weight):
    row = {**ROUTE, "weights": {"v1": weight}}
    with pytest.raises(RowInvalid):
        check_document(row)
    with pytest.raises(RowInvalid):
        check_document(read_rows(write_rows([row], "csv"), "csv")[0])
