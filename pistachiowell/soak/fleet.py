"""The processes of a soak, and the store and servers that they meet."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import anyio
import yaml

from pistachiowell.platform.main import SETTINGS_VARIABLE
from pistachiowell.platform.standin_documents import registration
from pistachiowell.platform.standins import BackendStandIn, ObjectServer, serve_app
from pistachiowell.standins.relay import LinkState, Relay

RESTART_DELAY_S = 0.3
START_S = 30.0
LINK_S = 0.7
HOST = "127.0.0.1"
SOUND = LinkState()
LINK_STATES = {
    "cut": LinkState(cut=True),
    "delay": LinkState(delay_s=0.15),
    "drop_up": LinkState(drop_up=True),
    "drop_down": LinkState(drop_down=True),
    "silent": LinkState(drop_up=True, drop_down=True),
}


class Fleet:
    """Real programs as processes of their own; stand-ins in this one.

    Every link passes a relay: that of each program to the store, and those to each
    agent and backend server.

    Args:
        group: The task group of the stand-ins.
        directory: Directory for settings and logs.
        free_port: Function that finds an unused port.
        gateway_settings: Settings of gateways beside the usual ones; None leaves a
            setting to its default.
    """

    __slots__ = (
        "_directory",
        "_free_port",
        "_gateway_settings",
        "_group",
        "_processes",
        "_relays",
        "_roles",
        "addresses",
        "servers",
        "store",
        "store_address",
    )

    def __init__(self, group, directory, free_port, gateway_settings=None):
        self._gateway_settings = {"leaving_notice_s": 0.3, **(gateway_settings or {})}
        self._group = group
        self._directory = Path(directory)
        self._free_port = free_port
        self._processes = {}
        self._relays = {}
        self._roles = {}
        self.addresses = {}
        self.servers = []
        self.store = ObjectServer()
        self.store_address = ""

    @property
    def names(self):
        """Names of the processes."""
        return list(self._roles)

    @property
    def links(self):
        """Names of the links."""
        return list(self._relays)

    async def _add_link(self, name, port):
        """Starts a relay to a port and returns the relay's own port."""
        relay = self._relays[name] = Relay(HOST, port)
        listener = await anyio.create_tcp_listener(local_host=HOST)
        self._group.start_soon(listener.serve, relay.forward_connection)
        return listener.extra(anyio.abc.SocketAttribute.local_port)

    async def start_store(self):
        """Starts the store's stand-in."""
        port = await self._group.start(serve_app, self.store)
        self.store_address = f"{HOST}:{port}"

    async def add_server(self, server_id, service, script):
        """Starts a backend server's stand-in and registers it."""
        server = BackendStandIn(server_id, script)
        await self._group.start(server.serve)
        self.servers.append(server)
        port = await self._add_link(f"server-{server_id}", server.port)
        spec = registration(service, f"{HOST}:{port}")
        self.store.put("servers", server_id, spec)

    async def add_agent(self, name):
        """Starts an agent."""
        port = self._free_port()
        relay_port = await self._add_link(f"agent-{name}", port)
        settings = {"host": HOST, "port": port, "advertised_port": relay_port}
        await self._add(name, "agent", settings)

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
        settings = {k: v for k, v in settings.items() if v is not None}
        await self._add(name, "gateway", settings)

    async def _add(self, name, role, settings):
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
        self._start(name)

    def _start(self, name):
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
        """Injects a ``Fault`` and ends it after its time."""
        if fault.kind == "store":
            self.store.mode = fault.mode
            await anyio.sleep(fault.for_s)
            self.store.mode = "up"
        elif fault.kind == "link":
            relay = self._relays[fault.target]
            relay.set_state(LINK_STATES[fault.mode])
            await anyio.sleep(fault.for_s)
            relay.set_state(SOUND)
        elif fault.kind == "pause":
            self.signal(fault.target, signal.SIGSTOP)
            await anyio.sleep(fault.for_s)
            self.signal(fault.target, signal.SIGCONT)
        else:
            is_kill = fault.kind == "kill"
            await self._end(fault.target, signal.SIGKILL if is_kill else signal.SIGTERM)
            await anyio.sleep(RESTART_DELAY_S)
            if self._processes[fault.target].poll() is not None:
                self._start(fault.target)

    async def _end(self, name, number):
        self.signal(name, signal.SIGCONT)
        self.signal(name, number)
        await self.until_ended(name)

    async def until_registered(self, count):
        """Waits until so many programs are registered and linked."""
        with anyio.fail_after(START_S):
            while self._registered() < count:
                await anyio.sleep(0.1)
            await anyio.sleep(LINK_S)

    def _registered(self):
        return len(self.store.names("agents") + self.store.names("routers"))

    async def until_ended(self, name):
        """Waits until a process has ended."""
        while self._processes[name].poll() is None:
            await anyio.sleep(0.02)

    def signal(self, name, number):
        """Sends a signal to a process that this fleet has started."""
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def stop(self):
        """Ends all processes that this fleet has started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
