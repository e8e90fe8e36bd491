"""Tests of the selection of a request's lines from log files."""

import json

import pytest

from pistachiowell.core.errors import InvalidRequest
from pistachiowell.ctl.log_lines import explain_request, read_lines

REQUEST_LINES = [
    {"at": 1.0, "level": "INFO", "text": "Request is sent.", "request": "a"}
    | {"server": "s1"},
    {"at": 1.2, "level": "INFO", "text": "Request is sent again.", "request": "a"}
    | {"code": "server_failed"},
    {"at": 1.3, "level": "WARNING", "text": "Request has failed.", "request": "a"},
    {"at": 1.4, "level": "INFO", "text": "Request is sent.", "request": "b"},
]
SERVER_LINES = [
    {"at": 0.9, "level": "INFO", "text": "Server is leaving.", "server": "s1"},
    {"at": 0.9, "level": "INFO", "text": "Server is leaving.", "server": "s9"},
]


@pytest.fixture
def write_log(tmp_path):
    """Returns a function that writes a log file and returns its path.

    The file ends with two lines that are not log lines.
    """

    def write(name, lines, prefix=""):
        path = tmp_path / name
        text = [prefix + json.dumps({"process": name, **line}) for line in lines]
        path.write_text("\n".join([*text, "no log line", "{half"]), encoding="utf-8")
        return path

    return write


def test_lines_of_a_request_and_its_first_fault(write_log):
    files = [
        read_lines(write_log("gate-1", REQUEST_LINES)),
        read_lines(write_log("gate-2", SERVER_LINES, prefix="  -3.14 gate-2 ")),
    ]
    explanation = explain_request("a", files)
    assert [line["at"] for line in explanation.lines] == [1.0, 1.2, 1.3]
    assert explanation.first_fault["code"] == "server_failed"
    assert [line["server"] for line in explanation.context] == ["s1"]
    assert explanation.has_end


def test_request_without_an_end_is_reported(write_log):
    explanation = explain_request("b", [read_lines(write_log("gate-1", REQUEST_LINES))])
    assert (explanation.first_fault, explanation.has_end) == (None, False)


def test_unknown_request_has_no_lines(write_log):
    explanation = explain_request("z", [read_lines(write_log("gate-1", REQUEST_LINES))])
    assert (explanation.lines, explanation.first_fault, explanation.context) == (
        [],
        None,
        [],
    )
    assert not explanation.has_end


def test_missing_file_is_a_clear_error(tmp_path):
    with pytest.raises(InvalidRequest, match="cannot be read"):
        read_lines(tmp_path / "none.log")
