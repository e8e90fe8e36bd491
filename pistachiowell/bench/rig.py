"""Runs the real programs with their stand-ins as separate processes.

A rig ends only the processes that it started, and always ends them.
"""

import itertools
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from pistachiowell.bench.client import call
from pistachiowell.bench.plan import RigPlan, default_rows
from pistachiowell.bench.rig_faults import RigFaults
from pistachiowell.bench.rig_programs import STORE, RigPrograms
from pistachiowell.bench.rig_use import OPERATOR_KEY, RigError, RigUse

WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
TOP_UPS_AT_ONCE = 5


class RigTimeoutError(RigError):
    """A state that was waited for did not come."""


class Rig(RigUse, RigFaults):
    """The programs of a fleet on one machine; a context manager.

    ``RigUse`` has its requests and ``RigFaults`` its faults.

    Args:
        plan: A ``RigPlan``; the default one if None.
        directory: Directory for settings and logs; a new temporary one if None.

    Attributes:
        plan: The ``RigPlan``.
        directory: Path of settings and logs.
        processes: ``Process`` by name: ``store``, ``relay``, the routers, the
            servers, and ``agent-<server>`` for each server.
    """

    def __init__(self, plan=None, directory=None):
        self.plan = plan or RigPlan()
        self.directory = Path(directory or tempfile.mkdtemp(prefix="pistachiowell-"))
        self._programs = RigPrograms(self.plan, self.directory)
        self.processes = self._programs.processes
        self._numbers = itertools.count(1)

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
        """Key that opens ``/status`` and ``/events`` of the routers."""
        return OPERATOR_KEY

    @property
    def store_url(self):
        """URL of the store, past the relay."""
        return f"http://127.0.0.1:{self._programs.port(STORE)}"

    def url(self, name):
        """Returns the base URL of a router or of a backend server."""
        return f"http://127.0.0.1:{self._programs.port(name)}"

    def peer_port(self, name):
        """Returns the port on which a router or agent listens for its peers."""
        return self._programs.port(f"{name}-peer")

    def start(self):
        """Starts everything and waits until the routers serve."""
        self._programs.add_all()
        self.processes[STORE].start()
        self.wait_until(lambda: call(self.store_url + "/control").status == 200)
        for process in self.processes.values():
            if process.name != STORE:
                process.start()
        self.apply([*(self.plan.rows or default_rows(self.plan)), *self.server_rows()])
        with ThreadPoolExecutor(TOP_UPS_AT_ONCE) as pool:
            list(pool.map(lambda budget: self.credit(*budget), self.plan.accounts))
        self.wait_ready()

    def stop(self):
        """Ends all processes of this rig."""
        for process in self.processes.values():
            process.kill()

    def wait_ready(self):
        """Waits until what runs serves, and each router is linked to each agent."""
        self.wait_until(self._ready, "All routers are linked to all agents.")

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
        """Returns the names of the peers that a router has a link to."""
        linked = set()
        for event in self.events(router):
            if event["kind"] == "peer_connected":
                linked.add(event["text"])
            elif event["kind"] == "peer_lost":
                linked.discard(event["text"])
        return linked

    def wait_until(self, predicate, what="", timeout_s=WAIT_TIMEOUT_S):
        """Waits until a predicate gives a true value, and returns the value.

        Args:
            predicate: Function without arguments.
            what: Sentence for the error.
            timeout_s: Longest wait in seconds.

        Raises:
            RigTimeoutError: It did not come true.
        """
        end = time.monotonic() + timeout_s
        while True:
            value = predicate()
            if value:
                return value
            if time.monotonic() > end:
                raise RigTimeoutError(f"Not within {timeout_s} s: {what}")
            time.sleep(POLL_INTERVAL_S)

    def logs(self):
        """Returns the ends of all logs as one text."""
        parts = []
        for process in self.processes.values():
            state = "running" if process.running else f"exit {process.exit_code}"
            parts.append(f"--- {process.name} ({state}, {process.log_path})")
            parts.append(process.log_tail())
        return "\n".join(parts)
