"""Reads from a client that sends few bytes at a time.

Guards against an event loop that spends its turns on single bytes, and against delays
for ordinary requests.
"""

from types import SimpleNamespace

import pytest

from pistachiowell.core.read_gate import FREE_SMALL_READS, ReadGate


@pytest.fixture
def gate():
    """Returns a gate whose ``delayed`` has what its event loop is to call later."""
    transport = SimpleNamespace(pause_reading=lambda: None, resume_reading=lambda: None)
    delayed = []
    loop = SimpleNamespace(
        call_later=lambda delay_s, function: delayed.append(function)
    )
    gate = ReadGate(transport, loop)
    gate.delayed = delayed
    return gate


def record_reads(gate, size, count):
    for _ in range(count):
        gate.record_read(size)


def test_reads_of_single_bytes_are_delayed(gate):
    record_reads(gate, 1, FREE_SMALL_READS + 1)
    assert gate.read_paused
    gate.resume_reading()
    assert gate.read_paused
    gate.delayed.pop()()
    assert not gate.read_paused


def test_large_reads_and_few_small_ones_are_not_delayed(gate):
    record_reads(gate, 10_000, 10 * FREE_SMALL_READS)
    for _ in range(10):
        record_reads(gate, 1, FREE_SMALL_READS)
        gate.record_request()
    assert not gate.delayed


def test_shut_gate_stays_shut(gate):
    gate.shut()
    record_reads(gate, 1, 10 * FREE_SMALL_READS)
    gate.resume_reading()
    assert gate.read_paused
    assert not gate.delayed
