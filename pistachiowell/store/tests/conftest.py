"""Fixtures of the store's tests."""

import http.client
import json
import subprocess
import sys
import time

import pytest

# Bounds a hang only; under load the process starts late.
START_TIMEOUT_S = 120.0


class StoreStandIn:
    """A store stand-in that runs in a process of its own.

    Args:
        port: Its TCP port.
    """

    def __init__(self, port):
        self.port = port
        self.url = f"http://127.0.0.1:{port}"

    def control(self, **faults):
        """Sets faults, if any are given, and returns the report of the stand-in."""
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
        method = "POST" if faults else "GET"
        connection.request(method, "/control", json.dumps(faults) if faults else None)
        return json.loads(connection.getresponse().read())

    def wait_ready(self):
        """Waits until the stand-in answers and returns its report."""
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                return self.control()
            except OSError:
                assert time.monotonic() < end, "the store stand-in did not start"
                time.sleep(0.02)


@pytest.fixture
def standin(free_port):
    """Runs a store stand-in in a process of its own."""
    standin = StoreStandIn(free_port())
    command = [sys.executable, "-m", "pistachiowell.standins.store"]
    process = subprocess.Popen([*command, "--port", str(standin.port)])
    try:
        standin.wait_ready()
        yield standin
    finally:
        process.kill()
        process.wait()
