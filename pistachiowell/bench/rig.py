"""Runs a small fleet of the real programs on one machine.

Routers, agents and ``pistachiowell-ctl`` are the programs that a deployment runs,
each as a process of its own. Stand-ins take the place of the store, of the backend
servers and, optionally, of the network: a relay through which all links pass.

When a rig ends, also after an exception or with paused processes, it has killed
every process that it started. It signals no other process.
"""

import itertools
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from pistachiowell.bench.client import call
from pistachiowell.bench.plan import RigPlan, default_rows
from pistachiowell.bench.rig_client import OPERATOR_KEY, RigClient, RigError
from pistachiowell.bench.rig_faults import RigFaults
from pistachiowell.bench.rig_programs import STORE, RigPrograms

DEFAULT_WAIT_TIMEOUT_S = 30.0
# Bounds a hang only; under load the programs start late.
START_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.05
MAX_CONCURRENT_TOP_UPS = 5


class RigTimeoutError(RigError):
    """A condition was not met before the timeout."""


class Rig(RigClient, RigFaults):
    """Fleet of real programs and stand-ins on one machine; a context manager.

    Entering starts the fleet and waits until it serves. Leaving kills all of its
    processes; settings and logs stay in ``directory``.

    ``RigClient`` sends its requests and ``RigFaults`` injects its faults.

    Args:
        plan: A ``RigPlan``; the default one if None.
        directory: Directory for settings files and logs; a new temporary one if None.

    Attributes:
        plan: The ``RigPlan``.
        directory: Path of the directory for settings files and logs.
        processes: ``Process`` by name: ``store``, ``relay``, the routers, the
            servers, and ``agent-<server>`` for each server. Empty before ``start``.
    """

    def __init__(self, plan=None, directory=None):
        self.plan = plan or RigPlan()
        self.directory = Path(directory or tempfile.mkdtemp(prefix="pistachiowell-"))
        self._programs = RigPrograms(self.plan, self.directory)
        self.processes = self._programs.processes
        self._table_numbers = itertools.count(1)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info):
        self.stop()

    @property
    def routers(self):
        """Names of the routers."""
        return [name for name, _ in self.plan.routers]

    @property
    def agents(self):
        """Names of the agents."""
        return [f"agent-{spec.name}" for spec in self.plan.servers]

    @property
    def operator_key(self):
        """Key that authorizes ``/status`` and ``/events`` of the routers."""
        return OPERATOR_KEY

    @property
    def store_url(self):
        """Direct URL of the store, which bypasses the relay."""
        return f"http://127.0.0.1:{self._programs.port(STORE)}"

    def url(self, name):
        """Returns the base URL of a router or of a backend server."""
        return f"http://127.0.0.1:{self._programs.port(name)}"

    def peer_port(self, name):
        """Returns the port on which a router or agent listens for its peers."""
        return self._programs.port(f"{name}-peer")

    def start(self):
        """Starts all processes, applies the table and waits until the fleet serves.

        The store starts first, because the other programs call it as they start.
        """
        self._programs.add_all()
        self.processes[STORE].start()
        self.wait_until(
            lambda: call(self.store_url + "/control").status == 200,
            "The store answers.",
            START_TIMEOUT_S,
        )
        for process in self.processes.values():
            if process.name != STORE:
                process.start()
        self.apply([*(self.plan.rows or default_rows(self.plan)), *self.server_rows()])
        with ThreadPoolExecutor(MAX_CONCURRENT_TOP_UPS) as pool:
            list(pool.map(lambda budget: self.credit(*budget), self.plan.accounts))
        self.wait_until(self._started, "All routers are linked.", START_TIMEOUT_S)

    def stop(self):
        """Kills all processes of this rig, also paused ones."""
        for process in self.processes.values():
            process.kill()

    def wait_ready(self):
        """Waits until all running servers and routers are ready.

        A router is ready when ``/readyz`` succeeds and it is linked to all running
        agents and counts each of them as usable.

        Raises:
            RigTimeoutError: They were not ready in time.
        """
        self.wait_until(self._ready, "All routers are linked to all agents.")

    def _started(self):
        for process in self.processes.values():
            if not process.running:
                raise RigError(f"{process.name} has ended; see {process.log_path}.")
        return self._ready()

    def _ready(self):
        servers = [spec.name for spec in self.plan.servers]
        up = [name for name in servers if self.processes[name].running]
        if any(call(self.url(name) + "/load").status != 200 for name in up):
            return False
        running = [name for name in self.routers if self.processes[name].running]
        agents = {name for name in self.agents if self.processes[name].running}
        return all(self._router_ready(name, agents) for name in running)

    def _router_ready(self, name, agents):
        if call(self.url(name) + "/readyz", timeout_s=1.0).status != 200:
            return False
        usable = self.status(name)["values"].get("agents.usable", 0)
        return usable == len(agents) and agents <= self.linked_peers(name)

    def linked_peers(self, router):
        """Returns the names of the peers that a router is connected to.

        The names are derived from the router's connection events.
        """
        linked = set()
        for event in self.events(router):
            if event["kind"] == "peer_connected":
                linked.add(event["text"])
            elif event["kind"] == "peer_lost":
                linked.discard(event["text"])
        return linked

    def wait_until(self, predicate, what="", timeout_s=DEFAULT_WAIT_TIMEOUT_S):
        """Polls a predicate until it returns a true value, and returns that value.

        Args:
            predicate: Function without arguments.
            what: Sentence that states the expected condition, for the error.
            timeout_s: Longest wait in seconds.

        Raises:
            RigTimeoutError: The predicate returned no true value in time.
        """
        end = time.monotonic() + timeout_s
        while True:
            value = predicate()
            if value:
                return value
            if time.monotonic() > end:
                raise RigTimeoutError(f"Condition not met within {timeout_s} s: {what}")
            time.sleep(POLL_INTERVAL_S)

    def logs(self):
        """Returns the last lines of each process's log as one text."""
        parts = []
        for process in self.processes.values():
            state = "running" if process.running else f"exit {process.exit_code}"
            parts.append(f"--- {process.name} ({state}, {process.log_path})")
            parts.append(process.log_tail())
        return "\n".join(parts)
