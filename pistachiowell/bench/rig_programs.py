"""Settings files, ports and command lines of the programs and stand-ins of a rig."""

import yaml

from pistachiowell.bench.plan import MODEL, key_hash
from pistachiowell.bench.ports import free_port
from pistachiowell.bench.processes import Process
from pistachiowell.bench.rig_client import OPERATOR, OPERATOR_KEY
from pistachiowell.bench.rig_faults import RELAY

STORE = "store"


class RigPrograms:
    """Writes the settings of the programs of a plan and creates their processes.

    Args:
        plan: A ``RigPlan``.
        directory: Path of the directory for settings files and logs.

    Attributes:
        processes: ``Process`` by name; they are created but not started.
        links: Links of the relay by name, as ``--link`` values of its command line.
    """

    def __init__(self, plan, directory):
        self.plan = plan
        self.directory = directory
        self.processes = {}
        self.links = {}
        self._ports = {}

    def add_all(self):
        """Creates all processes of the plan and writes their settings."""
        self._add_stand_ins()
        self._add_programs()
        self._write_ctl_settings()

    def port(self, endpoint):
        """Returns the port of an endpoint and allocates it at the first call.

        Args:
            endpoint: Name of a process, or that name with a suffix: ``-peer``,
                ``-metrics``, ``-relay`` or ``-store-relay``.
        """
        if endpoint not in self._ports:
            self._ports[endpoint] = free_port()
        return self._ports[endpoint]

    def _add_stand_ins(self):
        self._add(STORE, "standins.store", [f"--port={self.port(STORE)}"])
        for spec in self.plan.servers:
            port = f"--port={self.port(spec.name)}"
            if spec.service == MODEL:
                flags = [
                    port,
                    f"--model={spec.model or spec.version}",
                    f"--slots={spec.slots}",
                ]
                self._add(spec.name, "standins.engine", [*flags, *spec.flags])
            else:
                self._add(spec.name, "standins.plain", [port, *spec.flags])

    def _add_programs(self):
        data_centres = {
            f"agent-{spec.name}": spec.data_centre for spec in self.plan.servers
        }
        for name, data_centre in self.plan.routers:
            settings = {
                "http_host": "127.0.0.1",
                "http_port": self.port(name),
                "peer_host": "127.0.0.1",
                "peer_port": self.port(f"{name}-peer"),
                "operator_key_hashes": [key_hash(OPERATOR_KEY)],
                **dict(self.plan.router_settings),
            }
            self._add_program(name, "router", data_centre, settings)
        for spec in self.plan.servers:
            name = f"agent-{spec.name}"
            settings = {
                "host": "127.0.0.1",
                "port": self.port(f"{name}-peer"),
                "server": spec.name,
                **dict(self.plan.agent_settings),
            }
            self._add_program(name, "agent", data_centres[name], settings)
        if self.plan.relays:
            links = [f"--link={link}" for link in self.links.values()]
            control = f"--control={self.port(RELAY)}"
            self._add(RELAY, "standins.relay", [control, *links])

    def _add_program(self, name, role, data_centre, settings):
        document = {
            "id": name,
            "region": self.plan.region,
            "data_centre": data_centre,
            "store_url": self._store_url_of(name),
            "metrics_port": self.port(f"{name}-metrics"),
            "log_level": "DEBUG",
            **settings,
        }
        if self.plan.relays:
            document["advertised_port"] = self._relay_port(name, f"{name}-peer")
        path = self._write_settings(name, document)
        self._add(name, f"{role}.main", [f"--settings={path}"])

    def _store_url_of(self, name):
        if not self.plan.relays:
            return f"http://127.0.0.1:{self.port(STORE)}"
        return f"http://127.0.0.1:{self._relay_port(f'{name}-store', STORE)}"

    def _relay_port(self, link, target):
        listen = self.port(f"{link}-relay")
        self.links[link] = f"{link}={listen}:127.0.0.1:{self.port(target)}"
        return listen

    def _write_settings(self, name, document):
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document), encoding="utf-8")
        return path

    def _write_ctl_settings(self):
        document = {
            "store_url": f"http://127.0.0.1:{self.port(STORE)}",
            "operator": OPERATOR,
        }
        pages = dict(self.plan.router_settings).get("budget_pages")
        if pages:
            document["budget_pages"] = pages
        self._write_settings("ctl", document)

    def _add(self, name, module, arguments):
        self.processes[name] = Process(
            name,
            f"pistachiowell.{module}",
            arguments,
            self.directory / f"{name}.log",
        )
