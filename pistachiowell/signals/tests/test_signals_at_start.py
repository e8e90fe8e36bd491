"""Signals that reach a program while it starts.

Guards against LOST: each of the four programs ended at a signal that came before its
handlers were set, as late as 0.6 s after its start.
"""

import os
import signal
import subprocess
import sys
import time

import pytest
import yaml

from pistachiowell.bench.signals import has_handlers
from pistachiowell.platform.programs import SETTINGS_VARIABLE

HANDLERS_TIMEOUT_S = 10.0
EXIT_TIMEOUT_S = 15.0
HEAVY_MODULES = ("anyio", "asyncio", "httpcore", "msgspec", "uvicorn")
PROGRAMS = ("gateway", "gateway-agent", "router", "agent")
MAIN_MODULES = {
    "gateway": "pistachiowell.platform.main",
    "gateway-agent": "pistachiowell.platform.main",
    "router": "pistachiowell.router.main",
    "agent": "pistachiowell.agent.main",
}


def settings_of(program, free_port):
    """Returns the settings of a program whose store does not answer."""
    store = f"127.0.0.1:{free_port()}"
    common = {"id": program, "region": "south", "data_centre": "east"}
    listener = {"host": "127.0.0.1", "port": free_port()}
    gateway = {
        "http_address": f"127.0.0.1:{free_port()}",
        "ready_address": f"127.0.0.1:{free_port()}",
        "peer_host": "127.0.0.1",
        "peer_port": free_port(),
        "leaving_notice_s": 0.1,
        "shutdown_timeout_s": 1.0,
    }
    return {
        "gateway": {**common, "store_address": store, **gateway},
        "gateway-agent": {**common, "store_address": store, **listener},
        "router": {
            **common,
            "store_url": f"http://{store}",
            "http_host": "127.0.0.1",
            "http_port": free_port(),
            "peer_host": "127.0.0.1",
            "peer_port": free_port(),
        },
        "agent": {
            **common,
            "store_url": f"http://{store}",
            "server": "desk-1",
            **listener,
        },
    }[program]


@pytest.fixture
def start_program(tmp_path, free_port):
    """Returns a function that starts a program and waits until it has handlers."""
    children = []

    def start(program):
        path = tmp_path / "settings.yaml"
        path.write_text(yaml.safe_dump(settings_of(program, free_port)))
        arguments = ["--settings", str(path)]
        if "gateway" in program:
            arguments = [program.removeprefix("gateway-")]
        command = [sys.executable, "-m", MAIN_MODULES[program], *arguments]
        with (tmp_path / "log").open("wb") as log:
            child = subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
            )
        children.append(child)
        end = time.monotonic() + HANDLERS_TIMEOUT_S
        while not has_handlers(child.pid):
            assert time.monotonic() < end, "The program set no handlers."
            time.sleep(0.001)
        return child

    yield start
    for child in children:
        child.kill()
        child.wait()


@pytest.mark.parametrize("program", PROGRAMS)
def test_reload_signal_during_the_start_ends_the_program(
    start_program, program, tmp_path
):
    child = start_program(program)
    for _ in range(15):
        child.send_signal(signal.SIGHUP)
        time.sleep(0.1)
        assert child.poll() is None
    child.send_signal(signal.SIGTERM)
    assert child.wait(EXIT_TIMEOUT_S) == 0, (tmp_path / "log").read_text()
    assert "Signals are ignored." in (tmp_path / "log").read_text()


@pytest.mark.parametrize("program", PROGRAMS)
def test_stop_during_the_start_is_kept_until_the_program_can_stop(
    start_program, program, tmp_path
):
    child = start_program(program)
    child.send_signal(signal.SIGTERM)
    child.send_signal(signal.SIGHUP)
    assert child.wait(EXIT_TIMEOUT_S) == 0, (tmp_path / "log").read_text()


@pytest.mark.parametrize("module", sorted(set(MAIN_MODULES.values())))
def test_main_module_imports_little_before_it_holds_signals(module):
    code = f"import sys, {module}; print(*set({HEAVY_MODULES}) & set(sys.modules))"
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    assert result.stdout.split() == []
