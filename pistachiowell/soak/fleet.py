"""The programs, stand-ins and links of a soak."""

import re
import time
from contextlib import suppress

import anyio
import httpcore

from pistachiowell.platform.evacuations import COLLECTION as EVACUATIONS
from pistachiowell.platform.headers import READY_PATH
from pistachiowell.platform.standin_documents import (
    COLD_S,
    changed_configuration,
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
from pistachiowell.soak.faults import FAULT_FREE_LINK, LINK_STATES, inject
from pistachiowell.soak.places import PLACE_SETTINGS, PlaceOracle
from pistachiowell.soak.program_processes import ProgramProcesses
from pistachiowell.standins.relay import Relay

# Bounds a hang only; under load the programs start late.
START_TIMEOUT_S = 120.0
START_POLL_S = 0.1
CHANGE_INTERVAL_S = 0.1
# Time in which registered programs connect to each other.
LINK_WAIT_S = 0.7
HOST = "127.0.0.1"
# The longest that a request which was relayed at the end may take.
MAX_REQUEST_S = 3.0
RELAYING = re.compile(
    r'"at":([0-9.]+).*"text":"(Relaying begins\.|Relaying ends\.|Gateway starts\.)"'
)


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
        link_ports: Port of the links, without a relay, by name of the agent.
        links: The ``Relay`` of each link, by name of the link.
        places: The ``PlaceOracle``.
        processes: The ``ProgramProcesses``.
        relay_ports: Port for relayed connections, by name of the gateway.
        server_states: The ``ServerState`` of each backend server by id.
        servers: The ``BackendStandIn`` of each backend server.
        store: The ``ObjectServer`` that stands in for the store.
        store_address: Host and port of the store, without a relay.
    """

    __slots__ = (
        "_configuration",
        "_evacuated",
        "_free_port",
        "_gateway_settings",
        "_group",
        "_place_settings",
        "_ready_urls",
        "_registrations",
        "addresses",
        "closing",
        "data_centres",
        "link_ports",
        "links",
        "places",
        "processes",
        "relay_ports",
        "server_states",
        "servers",
        "store",
        "store_address",
    )

    def __init__(
        self, group, directory, free_port, gateway_settings=None, *, has_places=False
    ):
        self._configuration = None
        self._evacuated = set()
        self._place_settings = PLACE_SETTINGS if has_places else {}
        self.relay_ports = {}
        self.data_centres = {}
        self._gateway_settings = {"leaving_notice_s": 0.3, **(gateway_settings or {})}
        self._group = group
        self._free_port = free_port
        self._ready_urls = {}
        self._registrations = {}
        self.links = {}
        self.processes = ProgramProcesses(directory)
        self.addresses = {}
        self.closing = ClosingOracle()
        self.places = PlaceOracle(self.data_centres, self.closing.relayed)
        self.link_ports = {}
        self.server_states = {}
        self.servers = []
        self.store = ObjectServer()
        self.store_address = ""

    @property
    def process_names(self):
        """Names of the processes."""
        return self.processes.names

    @property
    def link_names(self):
        """Names of the links."""
        return list(self.links)

    async def _add_link(self, name, port):
        """Starts a relay to a port and returns the relay's own port."""
        relay = self.links[name] = Relay(HOST, port)
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

    async def let_leave(self, server_id, duration_s):
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

    def configure(self, document):
        """Writes the configuration."""
        self._configuration = document
        self.store.put("config", "main", document)

    async def change_configuration(self, duration_s):
        """Lets operators change the configuration again and again."""
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            await self._wait_for_store()
            self.configure(changed_configuration(self._configuration))
            await anyio.sleep(CHANGE_INTERVAL_S)

    async def evacuate(self, data_centre, duration_s):
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

    async def start_cold(self, server_id, away_s, *, is_removed):
        """Ends a server and starts it again cold, under its id."""
        state, link = self.server_states[server_id], self.links[f"server-{server_id}"]
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
            port = self.relay_ports[name] = self._free_port()
            settings |= {"relay_port": port, **self._place_settings}
        settings = {k: v for k, v in settings.items() if v is not None}
        self._ready_urls[name] = f"http://{settings['ready_address']}{READY_PATH}"
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
        self.processes.add(name, role, document)

    async def inject(self, fault):
        """Injects a ``Fault`` and ends it after its duration; see ``faults.inject``."""
        await inject(self, fault)

    def write_again(self):
        """Lets servers and operators write again what the store has lost."""
        self.configure(self._configuration)
        for server_id, spec in self._registrations.items():
            self._register(server_id, spec)
        for name in self._evacuated.difference(self.store.names(EVACUATIONS)):
            self.store.put(EVACUATIONS, name, {})
        for name in set(self.store.names(EVACUATIONS)) - self._evacuated:
            self.store.delete(EVACUATIONS, name)

    async def wait_until_registered(self, count):
        """Waits until the fleet has started, and for the time in which it connects.

        Args:
            count: Number of programs that register. All gateways are ready then, too.

        Raises:
            ProgramEndedError: A program has ended; its log has the cause.
            TimeoutError: The fleet has not started in time.
        """
        with anyio.fail_after(START_TIMEOUT_S):
            while self._registered_count() < count:
                self.processes.check_running()
                await anyio.sleep(START_POLL_S)
            for name in self._ready_urls:
                while not await self._is_ready(name):
                    self.processes.check_running()
                    await anyio.sleep(START_POLL_S)
        await anyio.sleep(LINK_WAIT_S)

    async def _is_ready(self, name):
        """Returns whether a gateway accepts callers and is ready for them."""
        host, _, port = self.addresses[name].rpartition(":")
        with suppress(OSError, httpcore.NetworkError, httpcore.ProtocolError):
            stream = await anyio.connect_tcp(host, int(port))
            await stream.aclose()
            async with httpcore.AsyncConnectionPool() as pool:
                reply = await pool.request("GET", self._ready_urls[name])
            return reply.status == 200
        return False

    def _registered_count(self):
        return len(self.store.names("agents") + self.store.names("routers"))

    async def wait_until_exited(self, name):
        """Waits until a process has exited."""
        await self.processes.wait_until_exited(name)

    def pid(self, name):
        """Returns the process id of a program."""
        return self.processes.pid(name)

    def exit_code(self, name):
        """Returns the exit code of a process; None while it runs."""
        return self.processes.exit_code(name)

    def send_signal(self, name, signal_number):
        """Sends a signal to a process of this fleet if it still runs."""
        self.processes.send_signal(name, signal_number)

    def record_relaying(self):
        """Tells the oracles when gateways relayed connections, by their logs."""
        offset_s = time.time() - time.monotonic()
        for name in self.addresses:
            log = self.processes.log_text(name)
            begun_at, last = None, (str(time.time()), "Gateway starts.")
            for at, text in (*RELAYING.findall(log), last):
                if begun_at is not None and text != "Relaying begins.":
                    end = float(at) - offset_s + MAX_REQUEST_S
                    self.closing.relayed[name].append((begun_at - offset_s, end))
                begun_at = float(at) if text == "Relaying begins." else None

    def stop(self):
        """Kills all processes that this fleet has started and waits for their exit."""
        self.processes.stop()
