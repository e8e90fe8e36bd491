"""Pytest plugin with the fixtures ``rig``, ``start_rig`` and ``make_rig``."""

import pytest

from pistachiowell.bench.plan import RigPlan
from pistachiowell.bench.rig import Rig

_running = []


class _Rigs:
    """Starts rigs and stops all that it started."""

    def __init__(self):
        self._started = []

    def start(self, plan, directory):
        rig = Rig(plan, directory)
        self._started.append(rig)
        _running.append(rig)
        rig.start()
        return rig

    def stop(self):
        for rig in self._started:
            rig.stop()
            _running.remove(rig)


@pytest.fixture(scope="module")
def shared_rigs():
    """Holds the rigs of one module and stops them after it."""
    rigs = _Rigs()
    yield rigs
    rigs.stop()


@pytest.fixture
def own_rigs():
    """Holds the rigs of one test and stops them after it."""
    rigs = _Rigs()
    yield rigs
    rigs.stop()


@pytest.fixture(scope="module")
def start_rig(shared_rigs, tmp_path_factory):
    """Returns a function that starts a rig, which is stopped after the module."""
    return lambda plan=None: shared_rigs.start(plan, tmp_path_factory.mktemp("rig"))


@pytest.fixture
def make_rig(own_rigs, tmp_path_factory):
    """Returns a function that starts a rig, which is stopped after the test.

    The function accepts the fields of ``RigPlan`` as keyword arguments.
    """

    def make(**fields):
        return own_rigs.start(RigPlan(**fields), tmp_path_factory.mktemp("rig"))

    return make


@pytest.fixture(scope="module")
def rig(start_rig):
    """Returns a rig with relays that the tests of one module share.

    Each test clears the faults that it injects, or the next tests run with them.
    """
    return start_rig(RigPlan(relays=True))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Adds the logs of the running rigs to the report of a failed test."""
    report = yield
    if report.failed:
        for one in _running:
            report.sections.append((f"Logs of the rig in {one.directory}", one.logs()))
    return report
