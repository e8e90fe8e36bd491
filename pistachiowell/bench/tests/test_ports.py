"""Ports that two test runs draw at the same time.

Guards against rigs whose programs can't start because another run, which drew the same
port, listens there first.
"""

import itertools
import subprocess
import sys

import pytest

from pistachiowell.bench import ports

# Draws two ports from a candidate on.
OTHER_RUN = """
import itertools, sys
from pistachiowell.bench import ports

ports._candidates = itertools.count(int(sys.argv[1]))
print(ports.free_port(), ports.free_port(), flush=True)
sys.stdin.read()
"""


# Prints which ports another process can reserve.
PROBE = """
import fcntl, sys

with open(sys.argv[1], "ab") as file:
    for port in sys.argv[2:]:
        try:
            fcntl.lockf(file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, int(port))
            print(port)
        except OSError:
            pass
"""


@pytest.fixture
def other_run(monkeypatch):
    """Returns a process and two ports that it drew, which are this run's next ones."""
    number = next(ports._candidates)
    monkeypatch.setattr(ports, "_candidates", itertools.count(number))
    command = [sys.executable, "-c", OTHER_RUN, str(number)]
    pipe = subprocess.PIPE
    with subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) as process:
        yield process, {int(port) for port in process.stdout.readline().split()}
        process.kill()


def test_two_runs_draw_the_same_port(other_run):
    _, taken = other_run
    assert taken.isdisjoint(ports.free_port() for _ in range(4))


def test_ports_of_a_run_that_has_ended_are_lost(other_run):
    process, taken = other_run
    process.kill()
    process.wait()
    assert all(ports._reservations.reserve(port) for port in taken)


def test_reservations_exceed_their_limit(tmp_path):
    path = tmp_path / "ports"
    reservations = ports.PortReservations(path, limit=2)
    assert all(reservations.reserve(port) for port in (20_001, 20_002, 20_003))
    command = [sys.executable, "-c", PROBE, path, "20001", "20002", "20003"]
    free = subprocess.run(command, capture_output=True, text=True, check=True)
    assert free.stdout.split() == ["20001"]
