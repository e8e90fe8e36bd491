"""Processes of the gateways and agents under test."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import anyio
import yaml

from pistachiowell.bench.signals import has_handlers
from pistachiowell.platform.programs import SETTINGS_VARIABLE
from pistachiowell.soak.endless import MAX_MEMORY_BYTES, peak_memory_bytes

RESTART_DELAY_S = 0.3


class ProgramEndedError(Exception):
    """A program has ended that should run; its log has the cause."""


class ProgramProcesses:
    """Starts programs as processes, signals them and records unexpected ends.

    Args:
        directory: Directory for settings and logs.

    Attributes:
        early_ends: One sentence per process that ended by itself or out of order, or
            that the users' VMs would have ended.
    """

    __slots__ = ("_directory", "_killed", "_processes", "_roles", "early_ends")

    def __init__(self, directory):
        self._directory = Path(directory)
        self._killed = set()
        self._processes = {}
        self._roles = {}
        self.early_ends = []

    @property
    def names(self):
        """Names of the programs."""
        return list(self._roles)

    def names_of(self, role):
        """Returns the names of the programs with a role, ``agent`` or ``gateway``."""
        return [name for name, other in self._roles.items() if other == role]

    def log_text(self, name):
        """Returns what a program has logged so far."""
        return (self._directory / f"{name}.log").read_text(errors="replace")

    def pid(self, name):
        """Returns the process id of a program."""
        return self._processes[name].pid

    def exit_code(self, name):
        """Returns the exit code of a process; None while it runs."""
        return self._processes[name].poll()

    def add(self, name, role, settings):
        """Starts a program.

        Args:
            name: Name of the program, and of its settings file and log.
            role: ``agent`` or ``gateway``.
            settings: Its settings by name.
        """
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        self._roles[name] = role
        self._start(name)

    def check_running(self):
        """Checks that no program has ended.

        Raises:
            ProgramEndedError: One has; its log has the cause.
        """
        for name, process in self._processes.items():
            if (code := process.poll()) is not None:
                log = self._directory / f"{name}.log"
                raise ProgramEndedError(f"{name} has ended ({code}); see {log}.")

    def start_if_exited(self, name):
        """Starts the next run of a program whose process has exited."""
        if self._processes[name].poll() is not None:
            self._record_end(name)
            self._start(name)

    def send_signal(self, name, signal_number):
        """Sends a signal to a process that was started here if it still runs."""
        process = self._processes[name]
        if process.poll() is None:
            if signal_number == signal.SIGKILL:
                self._killed.add(process)
            process.send_signal(signal_number)

    async def terminate(self, name, signal_number):
        """Ends a process by a signal and waits for its exit."""
        # A process that another fault has paused could not handle SIGTERM.
        self.send_signal(name, signal.SIGCONT)
        if signal_number != signal.SIGKILL:
            await self._wait_for_handlers(name)
        self.send_signal(name, signal_number)
        await self.wait_until_exited(name)

    async def send_series(self, name, numbers, duration_s):
        """Sends signals at intervals, and a SIGHUP to the new run if they end one.

        Args:
            name: Name of the program.
            numbers: Numbers of the signals.
            duration_s: Seconds over which they are spread.
        """
        await self._wait_for_handlers(name)
        process = self._processes[name]
        for number in numbers:
            # Another fault may have started the next run, which has no handlers yet.
            if self._processes[name] is process:
                self.send_signal(name, number)
            await anyio.sleep(duration_s / len(numbers))
        if {signal.SIGTERM, signal.SIGINT}.isdisjoint(numbers):
            return
        while process.poll() is None:
            await anyio.sleep(0.02)
        await anyio.sleep(RESTART_DELAY_S)
        self.start_if_exited(name)
        await self._wait_for_handlers(name)
        self.send_signal(name, signal.SIGHUP)

    async def wait_until_exited(self, name):
        """Waits until a process has exited."""
        while self._processes[name].poll() is None:
            await anyio.sleep(0.02)

    def stop(self):
        """Kills all processes that were started here and waits for their exit."""
        for name, process in self._processes.items():
            self._record_end(name)
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def _start(self, name):
        variables = {
            **os.environ,
            SETTINGS_VARIABLE: str(self._directory / f"{name}.yaml"),
        }
        command = [sys.executable, "-m", "pistachiowell.platform.main"]
        with (self._directory / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [*command, self._roles[name]], stdout=log, stderr=log, env=variables
            )

    def _record_end(self, name):
        process = self._processes[name]
        code = process.poll()
        if code is None and peak_memory_bytes(process.pid) > MAX_MEMORY_BYTES:
            self.early_ends.append(f"{name} would run out of memory")
        if code and process not in self._killed:
            self.early_ends.append(f"{name} ended with exit code {code}")

    async def _wait_for_handlers(self, name):
        """Waits until a process handles signals, which the interpreter does not."""
        while True:
            process = self._processes[name]
            if process.poll() is not None or has_handlers(process.pid):
                return
            await anyio.sleep(0.01)
