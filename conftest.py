"""Set-up shared by all tests."""

import gc
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from pistachiowell.bench.ports import free_port

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")

pytest_plugins = ["pistachiowell.bench.fixtures"]

_ROOT = Path(__file__).parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
# Packages of which most tests start programs, and the fixtures that do so.
_PROCESS_PACKAGES = [_ROOT / "pistachiowell" / n for n in ("bench", "signals", "soak")]
_PROCESS_FIXTURES = {"own_rigs", "shared_rigs"}


def known_red_entries(text):
    """Returns the lines of KNOWN-RED.txt by pytest node id."""
    lines = [line.strip() for line in text.splitlines()]
    entries = [line for line in lines if line and not line.startswith("#")]
    return {line.split("|")[0].strip(): line for line in entries}


@pytest.fixture
def anyio_backend():
    """Runs async tests on asyncio, as the programs do."""
    return "asyncio"


@pytest.fixture(name="free_port")
def free_port_fixture():
    """Returns a function that finds an unused loopback port."""
    return free_port


def starts_processes(item):
    """Returns whether a test starts many processes."""
    in_package = any(item.path.is_relative_to(path) for path in _PROCESS_PACKAGES)
    return in_package or not _PROCESS_FIXTURES.isdisjoint(item.fixturenames)


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items):
    """Marks tests with processes; passes over the failures in KNOWN-RED.txt."""
    entries = known_red_entries(_KNOWN_RED.read_text(encoding="utf-8"))
    for item in items:
        if starts_processes(item):
            item.add_marker(pytest.mark.processes)
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(reason=entries[item.nodeid]))


def pytest_collection_finish():
    """Leaves all tests out of later garbage collections, which hold event loops up."""
    gc.collect()
    gc.freeze()


def pytest_terminal_summary(terminalreporter):
    """Prints the entries of KNOWN-RED.txt."""
    text = _KNOWN_RED.read_text(encoding="utf-8")
    for line in known_red_entries(text).values():
        terminalreporter.write_line(f"known red: {line}")
