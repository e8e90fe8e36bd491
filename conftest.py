"""Set-up shared by all tests."""

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

_KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


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


def pytest_collection_modifyitems(items):
    """Lets the run pass over the failures that KNOWN-RED.txt lists."""
    entries = known_red_entries(_KNOWN_RED.read_text(encoding="utf-8"))
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(reason=entries[item.nodeid]))


def pytest_terminal_summary(terminalreporter):
    """Prints the entries of KNOWN-RED.txt."""
    text = _KNOWN_RED.read_text(encoding="utf-8")
    for line in known_red_entries(text).values():
        terminalreporter.write_line(f"known red: {line}")
