"""Pytest plugin with the fixtures ``rig`` and ``make_rig``."""

import pytest

from pistachiowell.bench.plan import RigPlan
from pistachiowell.bench.rig import Rig

_running = []


@pytest.fixture(scope="module")
def start_rig(tmp_path_factory):
    """Returns a function that starts a rig, ended with the module."""
    started = []

    def start(plan=None):
        rig = Rig(plan, tmp_path_factory.mktemp("rig"))
        started.append(rig)
        _running.append(rig)
        rig.start()
        return rig

    yield start
    for rig in started:
        rig.stop()
        _running.remove(rig)


@pytest.fixture
def make_rig(tmp_path):
    """Returns a function that starts a rig, ended with the test.

    It takes the fields of ``RigPlan`` as keyword arguments.
    """
    started = []

    def start(**fields):
        path = tmp_path / f"rig-{len(started)}"
        path.mkdir()
        rig = Rig(RigPlan(**fields), path)
        started.append(rig)
        _running.append(rig)
        rig.start()
        return rig

    yield start
    for rig in started:
        rig.stop()
        _running.remove(rig)


@pytest.fixture(scope="module")
def rig(start_rig):
    """A rig with relays for the tests of one module; they leave it healed."""
    return start_rig(RigPlan(relays=True))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Adds the logs of the running rigs to the report of a failed test."""
    report = yield
    if report.failed:
        for one in _running:
            report.sections.append((f"Logs of the rig in {one.directory}", one.logs()))
    return report
