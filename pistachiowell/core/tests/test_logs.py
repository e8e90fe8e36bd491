"""Tests of logs: their fields, a reader that does not read, and too many lines."""

import json
import os
import time

import pytest
from loguru import logger

from pistachiowell.core.logs import LINES_PER_S, LineBuffer, LogSink


@pytest.fixture
def pipe():
    """Returns the two ends of a pipe."""
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


@pytest.fixture
def sink_logger(pipe):
    """Returns a function that makes a logger on the pipe with the given clock."""
    handlers = []

    def make_logger(now):
        sink = LogSink(LineBuffer(pipe[1], max_bytes=100_000), "router-1", now)
        logger.remove()
        handlers.append(logger.add(sink.write, format="{message}"))
        return logger

    yield make_logger
    logger.remove()


def test_line_has_the_fields(pipe, sink_logger):
    log = sink_logger(lambda: 0.0)
    log.bind(part="budgets").info("Account {}.", "a", request="r-1", account="a")
    line = json.loads(os.read(pipe[0], 4096))
    assert line["part"] == "budgets"
    assert (line["text"], line["request"]) == ("Account a.", "r-1")


def test_reader_that_does_not_read_never_blocks(pipe, sink_logger):
    clock = [0.0]
    log = sink_logger(lambda: clock[0])
    started = time.monotonic()
    for number in range(3_000):
        clock[0] = number / 50
        log.info("x" * 200)
    assert time.monotonic() - started < 5.0


def test_one_place_writes_a_bounded_number_of_lines(pipe, sink_logger):
    clock = [0.0]
    log = sink_logger(lambda: clock[0])
    for _ in range(10 * LINES_PER_S):
        log.info("again")
    clock[0] = 6.0
    log.info("the next second")
    os.set_blocking(pipe[0], False)
    data = b""
    try:
        while True:
            data += os.read(pipe[0], 65536)
    except BlockingIOError:
        lines = [json.loads(line) for line in data.splitlines()]
    assert sum(line["text"] == "again" for line in lines) == LINES_PER_S
    summary = lines[-1]["suppressed"]
    assert list(summary.values()) == [9 * LINES_PER_S]
