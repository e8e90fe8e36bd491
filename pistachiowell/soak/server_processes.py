"""Backend servers of a soak as processes that crash and are started again."""

import itertools
import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import anyio

from pistachiowell.platform.standin_documents import registration

HOST = "127.0.0.1"
POLL_INTERVAL_S = 0.05
# Bounds a hang only; under load the processes start late.
START_TIMEOUT_S = 120.0


class ServerProcesses:
    """Starts backend servers as processes and starts each again after a crash.

    A registration is removed some time after the crash of its server, as the lease of a
    server that has ended runs out. Nothing is written while the store is away.

    Args:
        group: The task group of the stand-ins.
        store: The ``ObjectServer``.
        directory: Directory for the records of the servers.
        free_port: Function that finds an unused port.
        crash_marker: Bytes in the body of a request that crashes its server.
        down_s: Seconds from a crash to the next start.
        lease_s: Seconds from a crash to the removal of the registration.
        keeps_ids: Whether a server registers under the same id after a crash.
    """

    __slots__ = (
        "_crash_marker",
        "_directory",
        "_down_s",
        "_free_port",
        "_group",
        "_keeps_ids",
        "_lease_s",
        "_processes",
        "_store",
    )

    def __init__(
        self,
        group,
        store,
        directory,
        free_port,
        crash_marker,
        *,
        down_s=2.0,
        lease_s=1.0,
        keeps_ids=False,
    ):
        self._group = group
        self._store = store
        self._directory = Path(directory)
        self._free_port = free_port
        self._crash_marker = crash_marker
        self._down_s = down_s
        self._lease_s = lease_s
        self._keeps_ids = keeps_ids
        self._processes = {}

    async def add(self, name, service):
        """Starts a server, registers it and supervises it until cancelled."""
        await self._group.start(self._supervise, name, service, self._free_port())

    def name_limit(self, name, *texts):
        """Lets a server name a limit in its answers, or none without a text."""
        self._limits_path(name).write_text("\n".join(texts), encoding="utf-8")

    def set_state(self, name, *, is_leaving=False, paused_until=0.0):
        """Lets a server say that it leaves or is paused; see ``standin_program``."""
        state = {"is_leaving": is_leaving, "paused_until": paused_until}
        path = self._state_path(name)
        written = path.with_suffix(".new")
        written.write_text(json.dumps(state), encoding="utf-8")
        written.replace(path)

    def arrivals(self):
        """Returns the recorded arrivals of all servers as mappings, oldest first."""
        lines = [
            json.loads(line)
            for path in self._directory.glob("*.arrivals")
            for line in path.read_text(encoding="utf-8").splitlines()
        ]
        return sorted(lines, key=lambda line: line["at"])

    def send_signal(self, name, signal_number):
        """Sends a signal to the latest process of a server if it still runs."""
        process = self._processes[name][-1]
        if process.poll() is None:
            process.send_signal(signal_number)

    def stop(self):
        """Kills all processes that were started here and waits for their exit."""
        for process in itertools.chain(*self._processes.values()):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    async def _supervise(self, name, service, port, *, task_status):
        run = 0
        while True:
            run += 1
            process = self._start_process(name, port)
            await self._wait_until_listening(port)
            server_id = name if self._keeps_ids else f"{name}.{run}"
            await self._wait_for_store()
            spec = registration(service, f"{HOST}:{port}")
            spec["born"] = int(time.time() * 1000)
            self._store.put("servers", server_id, spec)
            if run == 1:
                task_status.started()
            while process.poll() is None:
                await anyio.sleep(POLL_INTERVAL_S)
            self._group.start_soon(self._remove_later, server_id, spec)
            await anyio.sleep(self._down_s)

    async def _remove_later(self, server_id, spec):
        await anyio.sleep(self._lease_s)
        await self._wait_for_store()
        entry = self._store.get("servers", server_id)
        if entry is not None and entry["Spec"] == spec:
            self._store.delete("servers", server_id)

    async def _wait_for_store(self):
        while self._store.mode != "up":
            await anyio.sleep(POLL_INTERVAL_S)

    def _limits_path(self, name):
        return self._directory / f"{name}.limits"

    def _state_path(self, name):
        return self._directory / f"{name}.state"

    def _start_process(self, name, port):
        command = [
            sys.executable,
            "-m",
            "pistachiowell.platform.standin_program",
            f"--port={port}",
            f"--record={self._directory / name}.arrivals",
            f"--crash_marker={self._crash_marker}",
            f"--limits={self._limits_path(name)}",
            f"--state={self._state_path(name)}",
        ]
        with (self._directory / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        self._processes.setdefault(name, []).append(process)
        return process

    async def _wait_until_listening(self, port):
        with anyio.fail_after(START_TIMEOUT_S):
            while True:
                try:
                    stream = await anyio.connect_tcp(HOST, port)
                except OSError:
                    await anyio.sleep(POLL_INTERVAL_S)
                    continue
                await stream.aclose()
                return
