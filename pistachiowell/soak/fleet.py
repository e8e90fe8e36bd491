"""Runs the processes of a soak and injects their faults."""

import os
import re
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import anyio
import yaml

from pistachiowell.bench.signals import has_handlers
from pistachiowell.platform.evacuations import COLLECTION as EVACUATIONS
from pistachiowell.platform.programs import SETTINGS_VARIABLE
from pistachiowell.platform.standin_documents import (
    COLD_S,
    cold_registration,
    registration,
)
from pistachiowell.platform.standins import (
    COLD_ANSWER,
    HEALTHY_ANSWER,
    BackendStandIn,
    ObjectServer,
    serve_app,
)
from pistachiowell.soak.closing import ClosingOracle, ServerState
from pistachiowell.soak.endless import MAX_MEMORY_BYTES, peak_memory_bytes
from pistachiowell.soak.places import PLACE_SETTINGS, PlaceOracle
from pistachiowell.standins.relay import LinkState, Relay

RESTART_DELAY_S = 0.3
START_TIMEOUT_S = 30.0
# Time in which registered programs connect to each other.
LINK_WAIT_S = 0.7
HOST = "127.0.0.1"
# The longest that a request which was relayed at the end may take.
MAX_REQUEST_S = 3.0
RELAYING = re.compile(
    r'"at":([0-9.]+).*"text":"(Relaying begins\.|Relaying ends\.|Gateway starts\.)"'
)
FAULT_FREE_LINK = LinkState()
LINK_STATES = {
    "cut": LinkState(cut=True),
    "delay": LinkState(delay_s=0.15),
    "drop_up": LinkState(drop_up=True),
    "drop_down": LinkState(drop_down=True),
    "silent": LinkState(drop_up=True, drop_down=True),
}


def has_connections(port):
    """Returns whether a loopback port has established connections.

    References:
        proc_pid_net(5): the file ``tcp``.
    """
    lines = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
    fields = (line.split() for line in lines)
    return any(f[1].endswith(f":{port:04X}") and f[3] == "01" for f in fields)


class Fleet:
    """Starts the real programs as processes; runs the stand-ins in this process.

    Each program connects to the store, and to agents and backend servers, through a
    relay, which injects the faults of that link.

    Args:
        group: The task group of the stand-ins.
        directory: Directory for settings and logs.
        free_port: Function that finds an unused port.
        gateway_settings: Additional settings of gateways; None as a value leaves the
            setting at its default.
        has_places: Whether the deployment has evacuations, bounds for cold servers and
            connections that gateways relay to each other.

    Attributes:
        addresses: HTTP address by name of the gateway.
        closing: The ``ClosingOracle``.
        data_centres: Data centre of each backend server by id.
        early_ends: One sentence per process that ended by itself or out of order, or
            that the users' VMs would have ended.
        link_ports: Port of the links, without a relay, by name of the agent.
        places: The ``PlaceOracle``.
        server_states: The ``ServerState`` of each backend server by id.
        servers: The ``BackendStandIn`` of each backend server.
        store: The ``ObjectServer`` that stands in for the store.
        store_address: Host and port of the store, without a relay.
    """

    __slots__ = (
        "_directory",
        "_evacuated",
        "_free_port",
        "_gateway_settings",
        "_group",
        "_killed",
        "_place_settings",
        "_processes",
        "_registrations",
        "_relay_ports",
        "_relays",
        "_roles",
        "addresses",
        "closing",
        "data_centres",
        "early_ends",
        "link_ports",
        "places",
        "server_states",
        "servers",
        "store",
        "store_address",
    )

    def __init__(
        self, group, directory, free_port, gateway_settings=None, *, has_places=False
    ):
        self._evacuated = set()
        self._place_settings = PLACE_SETTINGS if has_places else {}
        self._relay_ports = {}
        self.data_centres = {}
        self._gateway_settings = {"leaving_notice_s": 0.3, **(gateway_settings or {})}
        self._group = group
        self._directory = Path(directory)
        self._free_port = free_port
        self._killed = set()
        self._processes = {}
        self._relays = {}
        self._registrations = {}
        self._roles = {}
        self.addresses = {}
        self.closing = ClosingOracle()
        self.places = PlaceOracle(self.data_centres, self.closing.relayed)
        self.early_ends = []
        self.link_ports = {}
        self.server_states = {}
        self.servers = []
        self.store = ObjectServer()
        self.store_address = ""

    @property
    def process_names(self):
        """Names of the processes."""
        return list(self._roles)

    @property
    def link_names(self):
        """Names of the links."""
        return list(self._relays)

    async def _add_link(self, name, port):
        """Starts a relay to a port and returns the relay's own port."""
        relay = self._relays[name] = Relay(HOST, port)
        listener = await anyio.create_tcp_listener(local_host=HOST)
        self._group.start_soon(listener.serve, relay.forward_connection)
        return listener.extra(anyio.abc.SocketAttribute.local_port)

    async def start_store(self):
        """Starts the store stand-in."""
        port = await self._group.start(serve_app, self.store)
        self.store_address = f"{HOST}:{port}"

    async def add_server(self, server_id, service, handler, data_centre="east"):
        """Starts a backend server stand-in behind a relay and registers it.

        Args:
            server_id: Id of the server.
            service: Name of its service.
            handler: Async function of the request and the connection that sends the
                answer; returns whether the connection stays open.
            data_centre: Name of its data centre.
        """
        server = BackendStandIn(server_id, handler)
        await self._group.start(server.serve)
        self.servers.append(server)
        port = await self._add_link(f"server-{server_id}", server.port)
        self.data_centres[server_id] = data_centre
        self.server_states[server_id] = ServerState()
        self._register(server_id, registration(service, f"{HOST}:{port}", data_centre))

    def _register(self, server_id, spec):
        self._registrations[server_id] = spec
        self.store.put("servers", server_id, spec)
        cold_until = self.server_states[server_id].cold_until
        self.places.record_cold(server_id, time.monotonic(), cold_until)

    def run_of(self, server_id):
        """Returns the id of a server and the number of its run."""
        return server_id, self._registrations[server_id]["born"]

    async def _let_leave(self, server_id, duration_s):
        """Lets a server say that it leaves, and start again under its id after it."""
        state = self.server_states[server_id]
        if state.is_leaving:
            return
        state.is_leaving = True
        await anyio.sleep(duration_s)
        await self._wait_for_store()
        spec = self._registrations[server_id]
        state.is_leaving = False
        self._register(server_id, {**spec, "born": spec["born"] + 1})

    async def _wait_for_store(self):
        while self.store.mode != "up":
            await anyio.sleep(0.05)

    async def _evacuate(self, data_centre, duration_s):
        """Lets operators evacuate a data centre, and take that back after it."""
        await self._wait_for_store()
        if self._evacuated:
            return
        self._evacuated.add(data_centre)
        self.store.put(EVACUATIONS, data_centre, {})
        self.places.begin_evacuation(data_centre, time.monotonic())
        await anyio.sleep(duration_s)
        await self._wait_for_store()
        self._evacuated.remove(data_centre)
        self.store.delete(EVACUATIONS, data_centre)
        self.places.end_evacuation(time.monotonic())

    async def _start_cold(self, server_id, away_s, *, is_removed):
        """Ends a server and starts it again cold, under its id."""
        state, link = self.server_states[server_id], self._relays[f"server-{server_id}"]
        if state.cold_left_s:
            return
        await self._wait_for_store()
        state.cold_until = time.monotonic() + away_s + COLD_S
        if is_removed and server_id in self.store.names("servers"):
            self.store.delete("servers", server_id)
        link.set_state(LINK_STATES["cut"])
        await anyio.sleep(away_s)
        link.set_state(FAULT_FREE_LINK)
        born_ms, is_registered = int(time.time() * 1000), False
        state.cold_until = time.monotonic() + COLD_S
        self.places.record_cold(server_id, time.monotonic(), state.cold_until)
        server = next(s for s in self.servers if s.server_id == server_id)
        while state.cold_left_s:
            server.health_answer = COLD_ANSWER % (1000 * state.cold_left_s)
            if not is_registered and self.store.mode == "up":
                self._register_cold(server_id, born_ms)
                is_registered = True
            await anyio.sleep(0.1)
        server.health_answer = HEALTHY_ANSWER
        await self._wait_for_store()
        self._register_cold(server_id, born_ms)

    def _register_cold(self, server_id, born_ms):
        spec, state = self._registrations[server_id], self.server_states[server_id]
        self._register(server_id, cold_registration(spec, born_ms, state.cold_left_s))

    async def add_agent(self, name):
        """Starts an agent."""
        port = self.link_ports[name] = self._free_port()
        relay_port = await self._add_link(f"agent-{name}", port)
        settings = {"host": HOST, "port": port, "advertised_port": relay_port}
        await self._add_program(name, "agent", settings | self._place_settings)

    async def add_gateway(self, name):
        """Starts a gateway."""
        self.addresses[name] = f"{HOST}:{self._free_port()}"
        settings = {
            "http_address": self.addresses[name],
            "ready_address": f"{HOST}:{self._free_port()}",
            "peer_host": HOST,
            "peer_port": self._free_port(),
            **self._gateway_settings,
        }
        if self._place_settings:
            port = self._relay_ports[name] = self._free_port()
            settings |= {"relay_port": port, **self._place_settings}
        settings = {k: v for k, v in settings.items() if v is not None}
        await self._add_program(name, "gateway", settings)

    async def _add_program(self, name, role, settings):
        store_port = int(self.store_address.rpartition(":")[2])
        relay_port = await self._add_link(f"store-{name}", store_port)
        document = {
            "id": name,
            "region": "south",
            "data_centre": "east",
            "store_address": f"{HOST}:{relay_port}",
            "budget_pages": 2,
            **settings,
        }
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document), encoding="utf-8")
        self._roles[name] = role
        self._start_process(name)

    def _start_process(self, name):
        log = (self._directory / f"{name}.log").open("ab")
        variables = {
            **os.environ,
            SETTINGS_VARIABLE: str(self._directory / f"{name}.yaml"),
        }
        command = [sys.executable, "-m", "pistachiowell.platform.main"]
        self._processes[name] = subprocess.Popen(
            [*command, self._roles[name]], stdout=log, stderr=log, env=variables
        )
        log.close()

    async def inject(self, fault):
        """Injects a ``Fault`` and ends it after its duration.

        A killed or stopped process is started again after ``RESTART_DELAY_S``, unless
        an overlapping fault has done so.
        """
        if fault.kind == "leave":
            await self._let_leave(fault.target, fault.duration_s)
        elif fault.kind == "full":
            until = time.monotonic() + fault.duration_s
            self.server_states[fault.target].paused_until = until
        elif fault.kind == "endless":
            until = time.monotonic() + fault.duration_s
            self.server_states[fault.target].endless_until = until
        elif fault.kind == "double":
            until = time.monotonic() + fault.duration_s
            self.server_states[fault.target].double_until = until
        elif fault.kind == "evacuate":
            await self._evacuate(fault.target, fault.duration_s)
        elif fault.kind == "cold":
            name, away_s = fault.target, fault.duration_s
            self.closing.record_fault(name, away_s)
            await self._start_cold(name, away_s, is_removed=fault.mode == "join")
        elif fault.kind == "kill_receiver":
            await self._kill_receiver(fault)
        else:
            duration_s = fault.duration_s + RESTART_DELAY_S
            now = time.monotonic()
            # While the store is about to return from a copy, nothing is in trouble.
            if fault.kind != "return":
                target = "agents" if fault.kind == "loss" else fault.target
                self.places.record_trouble(target, now, now + duration_s)
            self.closing.record_fault(fault.target.removeprefix("server-"), duration_s)
            await self._inject_failure(fault)

    async def _kill_receiver(self, fault):
        """Kills a gateway while it serves what another one relays, if it ever does."""
        until = time.monotonic() + fault.duration_s
        while time.monotonic() < until:
            if has_connections(self._relay_ports[fault.target]):
                self.places.receivers_killed += 1
                await self.inject(replace(fault, kind="kill", duration_s=0.0))
                return
            await anyio.sleep(0.01)

    async def _inject_failure(self, fault):
        if fault.kind == "store":
            self.store.mode = fault.mode
            await anyio.sleep(fault.duration_s)
            self.store.mode = "up"
        elif fault.kind == "return":
            taken = self.store.take_copy()
            await anyio.sleep(fault.duration_s)
            self.store.return_from_copy(taken)
            # Servers write again what the store has lost.
            for server_id, spec in self._registrations.items():
                self._register(server_id, spec)
            # So do operators.
            for name in self._evacuated.difference(self.store.names(EVACUATIONS)):
                self.store.put(EVACUATIONS, name, {})
            for name in set(self.store.names(EVACUATIONS)) - self._evacuated:
                self.store.delete(EVACUATIONS, name)
        elif fault.kind == "loss":
            agents = [name for name, role in self._roles.items() if role == "agent"]
            for name in agents:
                await self._terminate(name, signal.SIGKILL)
            await anyio.sleep(fault.duration_s)
            for name in agents:
                self._start_if_exited(name)
        elif fault.kind == "link":
            relay = self._relays[fault.target]
            relay.set_state(LINK_STATES[fault.mode])
            await anyio.sleep(fault.duration_s)
            relay.set_state(FAULT_FREE_LINK)
        elif fault.kind == "signals":
            await self._send_series(fault)
        elif fault.kind == "pause":
            self.send_signal(fault.target, signal.SIGSTOP)
            await anyio.sleep(fault.duration_s)
            self.send_signal(fault.target, signal.SIGCONT)
        else:
            is_kill = fault.kind == "kill"
            await self._terminate(
                fault.target, signal.SIGKILL if is_kill else signal.SIGTERM
            )
            await anyio.sleep(RESTART_DELAY_S)
            self._start_if_exited(fault.target)

    def _start_if_exited(self, name):
        if self._processes[name].poll() is not None:
            self._record_end(name)
            self._start_process(name)

    def _record_end(self, name):
        process = self._processes[name]
        code = process.poll()
        if code is None and peak_memory_bytes(process.pid) > MAX_MEMORY_BYTES:
            self.early_ends.append(f"{name} would run out of memory")
        if code and process not in self._killed:
            self.early_ends.append(f"{name} ended with exit code {code}")

    async def _terminate(self, name, signal_number):
        # A process that another fault has paused could not handle SIGTERM.
        self.send_signal(name, signal.SIGCONT)
        if signal_number != signal.SIGKILL:
            await self._wait_for_handlers(name)
        self.send_signal(name, signal_number)
        await self.wait_until_exited(name)

    async def _send_series(self, fault):
        """Sends signals at intervals, and one to the new run of a process they end."""
        name = fault.target
        numbers = [signal.Signals[f"SIG{text}"] for text in fault.mode.split(",")]
        await self._wait_for_handlers(name)
        process = self._processes[name]
        for number in numbers:
            # Another fault may have started the next run, which has no handlers yet.
            if self._processes[name] is process:
                self.send_signal(name, number)
            await anyio.sleep(fault.duration_s / len(numbers))
        if {signal.SIGTERM, signal.SIGINT}.isdisjoint(numbers):
            return
        while process.poll() is None:
            await anyio.sleep(0.02)
        await anyio.sleep(RESTART_DELAY_S)
        self._start_if_exited(name)
        await self._wait_for_handlers(name)
        self.send_signal(name, signal.SIGHUP)

    async def _wait_for_handlers(self, name):
        """Waits until a process handles signals, which the interpreter does not."""
        while True:
            process = self._processes[name]
            if process.poll() is not None or has_handlers(process.pid):
                return
            await anyio.sleep(0.01)

    async def wait_until_registered(self, count):
        """Waits until ``count`` programs are registered and have time to connect."""
        with anyio.fail_after(START_TIMEOUT_S):
            while self._registered_count() < count:
                await anyio.sleep(0.1)
            await anyio.sleep(LINK_WAIT_S)

    def _registered_count(self):
        return len(self.store.names("agents") + self.store.names("routers"))

    async def wait_until_exited(self, name):
        """Waits until a process has exited."""
        while self._processes[name].poll() is None:
            await anyio.sleep(0.02)

    def pid(self, name):
        """Returns the process id of a program."""
        return self._processes[name].pid

    def exit_code(self, name):
        """Returns the exit code of a process; None while it runs."""
        return self._processes[name].poll()

    def send_signal(self, name, signal_number):
        """Sends a signal to a process of this fleet if it still runs."""
        process = self._processes[name]
        if process.poll() is None:
            if signal_number == signal.SIGKILL:
                self._killed.add(process)
            process.send_signal(signal_number)

    def record_relaying(self):
        """Tells the oracles when gateways relayed connections, by their logs."""
        offset_s = time.time() - time.monotonic()
        for name in self.addresses:
            log = (self._directory / f"{name}.log").read_text(errors="replace")
            begun_at, last = None, (str(time.time()), "Gateway starts.")
            for at, text in (*RELAYING.findall(log), last):
                if begun_at is not None and text != "Relaying begins.":
                    end = float(at) - offset_s + MAX_REQUEST_S
                    self.closing.relayed[name].append((begun_at - offset_s, end))
                begun_at = float(at) if text == "Relaying begins." else None

    def stop(self):
        """Kills all processes that this fleet has started and waits for their exit."""
        for name, process in self._processes.items():
            self._record_end(name)
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
