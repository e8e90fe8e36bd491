"""Guards against things that servers may say and nobody reads."""

import re
from pathlib import Path

import msgspec
import pytest

import pistachiowell
from pistachiowell.platform.headers import read_answer_head
from pistachiowell.platform.servers import decode_server

PACKAGE = Path(pistachiowell.__file__).parent
PAGE = PACKAGE.parent / "docs" / "design" / "server_statements.md"
NOT_READ = "not read"

HEADERS = [
    (200, "Pistachiowell-Server-Signature", "a.b", "is_signed", True),
    (200, "Pistachiowell-Attempt-Id", "r1", "request_id", "r1"),
    (503, "Pistachiowell-Not-Executed", "1", "ran", False),
    (200, "Content-Encoding", "gzip", "is_encoded", True),
    (200, "Keep-Alive", "timeout=7", "keep_alive_s", 7.0),
    (200, "Connection", "close", "keep_alive_s", 0.0),
    (200, "Content-Length", "12", "length", 12),
    (200, "Transfer-Encoding", "chunked", "is_chunked", True),
    (200, "Server-Limit", "2.5", "limit_per_s", 2.5),
    (200, "Server-Leaving", "1", "is_leaving", True),
    (503, "Retry-After", "1.5", "pause_s", 1.5),
    (200, "Pistachiowell-Instance-Id", "i-1", "server_id", "i-1"),
    (200, "Pistachiowell-Cold-Ms", "1500", "cold_left_s", 1.5),
]
FIELDS = [
    ("Service", "desk", "service", "desk"),
    ("Address", "10.0.0.1:80", "host", "10.0.0.1"),
    ("Zone", "east", "data_centre", "east"),
    ("Version", "v2", "version", "v2"),
    ("Slots", 7, "slots", 7),
    ("State", "draining", "is_leaving", True),
    ("born", 9, "started_ms", 9),
    ("ColdLeftMs", 500, "cold_left_s", 0.5),
]


def table_rows():
    """Returns the cells of the rows of all tables of the page."""
    lines = PAGE.read_text(encoding="utf-8").splitlines()
    rows = [line.strip("| ").split(" | ") for line in lines if line.startswith("|")]
    return [row for row in rows if row[0] not in ("statement", "---")]


def defines(place):
    """Returns whether ``FILE:NAME`` or ``FILE`` names something that exists."""
    path, _, name = place.strip("`").partition(":")
    if not (PACKAGE / path).is_file():
        return False
    text = (PACKAGE / path).read_text(encoding="utf-8")
    return not name or bool(
        re.search(rf"^\s*(async )?(def|class) {name}\b", text, re.M)
    )


@pytest.mark.parametrize("row", table_rows(), ids=lambda row: row[0])
def test_each_statement_has_a_reader_a_stand_in_and_a_test(row):
    if row[1] == NOT_READ:
        assert row[-1]
        return
    assert [place for place in row[1:] if not defines(place)] == []


@pytest.mark.parametrize(
    ("status", "name", "value", "attribute", "expected"),
    HEADERS,
    ids=[row[1] for row in HEADERS],
)
def test_each_header_of_an_answer_is_read(status, name, value, attribute, expected):
    head = read_answer_head(status, [(name.encode(), value.encode())])
    assert getattr(head, attribute) == expected
    assert getattr(read_answer_head(status, []), attribute) != expected


def test_misdirected_request_has_not_run():
    assert not read_answer_head(421, []).ran


@pytest.mark.parametrize(
    ("name", "value", "attribute", "expected"), FIELDS, ids=[row[0] for row in FIELDS]
)
def test_each_field_of_a_registration_is_read(name, value, attribute, expected):
    entry = {
        "Service": "other",
        "Address": "10.0.0.2:81",
        "Zone": "west",
        "State": "ready",
    }
    before = decode_server("s1", msgspec.json.encode(entry))
    after = decode_server("s1", msgspec.json.encode({**entry, name: value}))
    assert getattr(after, attribute) == expected
    assert getattr(before, attribute) != expected
