"""Start, pause and end of programs in separate processes."""

import signal
import subprocess
import sys
from pathlib import Path

STOP_TIMEOUT_S = 20.0
LOG_TAIL_LINES = 40


class Process:
    """A program that runs as a child process.

    Signals go to the child's own process id only, never to a name or a group.

    Args:
        name: Name of the process in the rig.
        module: Module that is run.
        arguments: Command-line arguments after the module.
        log_path: File that receives standard output and error.
    """

    __slots__ = ("_arguments", "_child", "_frozen", "_module", "log_path", "name")

    def __init__(self, name, module, arguments, log_path):
        self.name = name
        self.log_path = Path(log_path)
        self._module = module
        self._arguments = [str(argument) for argument in arguments]
        self._child = None
        self._frozen = False

    @property
    def pid(self):
        """Process id, or None before the start."""
        return self._child.pid if self._child else None

    @property
    def running(self):
        """Whether the process has been started and has not ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def exit_code(self):
        """Exit code, or None before the start and while the process runs."""
        return self._child.poll() if self._child else None

    def start(self):
        """Starts the program and appends its output to the log."""
        command = [sys.executable, "-m", self._module, *self._arguments]
        with self.log_path.open("ab") as log:
            self._child = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self._frozen = False

    def pause(self):
        """Pauses the process with SIGSTOP."""
        self._child.send_signal(signal.SIGSTOP)
        self._frozen = True

    def resume(self):
        """Resumes a paused process with SIGCONT."""
        self._child.send_signal(signal.SIGCONT)
        self._frozen = False

    def kill(self):
        """Kills the process with SIGKILL, also a paused one, and waits for its end."""
        if self.running:
            self._child.kill()
            self._child.wait()

    def terminate(self):
        """Requests a graceful shutdown with SIGTERM without waiting for it."""
        if self.running:
            self._child.terminate()

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """Shuts the process down gracefully, or kills it after a timeout.

        A paused process is killed at once, because it cannot handle SIGTERM.

        Args:
            timeout_s: Longest wait for the graceful shutdown in seconds.

        Returns:
            The exit code.
        """
        if self._frozen:
            self.kill()
        self.terminate()
        try:
            self._child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
        return self._child.returncode

    def log_tail(self, lines=LOG_TAIL_LINES):
        """Returns the last lines of the log."""
        if not self.log_path.exists():
            return ""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-lines:])
