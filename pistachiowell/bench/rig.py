"""Runs the real programs with their stand-ins as separate processes.

A rig ends only the processes that it started, and always ends them.
"""

import itertools
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import msgspec
import yaml

from pistachiowell.bench.client import TIMEOUT_S, call
from pistachiowell.bench.plan import (
    MODEL,
    RigPlan,
    default_rows,
    key_hash,
    server_rows,
)
from pistachiowell.bench.ports import free_port
from pistachiowell.bench.processes import Process
from pistachiowell.platform.resources import BASE_PATH

WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
STORE = "store"
RELAY = "relay"
OPERATOR = "rig"
OPERATOR_KEY = "key-operator"
CTL_TIMEOUT_S = 60.0
REPORT_TIMEOUT_S = 5.0


class RigError(AssertionError):
    """A step of the rig failed."""


class RigTimeoutError(RigError):
    """A state that was waited for did not come."""


class Rig:
    """The programs of a fleet on one machine; a context manager.

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
        self.processes = {}
        self._ports = {}
        self._links = {}
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

    # Addresses

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
        return f"http://127.0.0.1:{self._port(STORE)}"

    def url(self, name):
        """Returns the base URL of a router or of a backend server."""
        return f"http://127.0.0.1:{self._port(name)}"

    def peer_port(self, name):
        """Returns the port on which a router or agent listens for its peers."""
        return self._port(f"{name}-peer")

    def _port(self, use):
        if use not in self._ports:
            self._ports[use] = free_port()
        return self._ports[use]

    # Start and end

    def start(self):
        """Starts everything and waits until the routers serve."""
        self._add_stand_ins()
        self._add_programs()
        self._write_ctl_settings()
        self.processes[STORE].start()
        self.wait_until(lambda: call(self.store_url + "/control").status == 200)
        for process in self.processes.values():
            if process.name != STORE:
                process.start()
        self.apply([*(self.plan.rows or default_rows(self.plan)), *self.server_rows()])
        for account, tokens in self.plan.accounts:
            self.credit(account, tokens)
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
        reply = call(self.url(name) + "/readyz", timeout_s=1.0)
        return reply.status == 200 and agents <= self.linked_peers(name)

    def linked_peers(self, router):
        """Returns the names of the peers that a router has a link to."""
        linked = set()
        for event in self.events(router):
            if event["kind"] == "peer_connected":
                linked.add(event["text"])
            elif event["kind"] == "peer_lost":
                linked.discard(event["text"])
        return linked

    def _add_stand_ins(self):
        self._add(STORE, "standins.store", [f"--port={self._port(STORE)}"])
        for spec in self.plan.servers:
            port = f"--port={self._port(spec.name)}"
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
        centres = {f"agent-{spec.name}": spec.data_centre for spec in self.plan.servers}
        for name, data_centre in self.plan.routers:
            settings = {
                "http_host": "127.0.0.1",
                "http_port": self._port(name),
                "peer_host": "127.0.0.1",
                "peer_port": self._port(f"{name}-peer"),
                "operator_key_hashes": [key_hash(OPERATOR_KEY)],
                **dict(self.plan.router_settings),
            }
            self._add_program(name, "router", data_centre, settings)
        for spec in self.plan.servers:
            name = f"agent-{spec.name}"
            settings = {
                "host": "127.0.0.1",
                "port": self._port(f"{name}-peer"),
                "server": spec.name,
                **dict(self.plan.agent_settings),
            }
            self._add_program(name, "agent", centres[name], settings)
        if self.plan.relays:
            links = [f"--link={link}" for link in self._links.values()]
            control = f"--control={self._port(RELAY)}"
            self._add(RELAY, "standins.relay", [control, *links])

    def _add_program(self, name, role, data_centre, settings):
        document = {
            "id": name,
            "region": self.plan.region,
            "data_centre": data_centre,
            "store_url": self._store_url_of(name),
            "statsd_port": self._port("statsd"),
            "log_level": "DEBUG",
            **settings,
        }
        if self.plan.relays:
            document["advertised_port"] = self._relay_port(name, f"{name}-peer")
        path = self._write_settings(name, document)
        self._add(name, f"{role}.main", [f"--settings={path}"])

    def _store_url_of(self, name):
        if not self.plan.relays:
            return self.store_url
        return f"http://127.0.0.1:{self._relay_port(f'{name}-store', STORE)}"

    def _relay_port(self, link, target):
        listen = self._port(f"{link}-relay")
        self._links[link] = f"{link}={listen}:127.0.0.1:{self._port(target)}"
        return listen

    def _write_settings(self, name, document):
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document), encoding="utf-8")
        return path

    def _write_ctl_settings(self):
        document = {"store_url": self.store_url, "operator": OPERATOR}
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

    # Faults

    def kill(self, name):
        """Ends a process at once."""
        self.processes[name].kill()

    def freeze(self, name):
        """Pauses a process."""
        self.processes[name].freeze()

    def thaw(self, name):
        """Lets a paused process go on."""
        self.processes[name].thaw()

    def restart(self, name):
        """Kills a process, if it still runs, and starts it again."""
        self.processes[name].kill()
        self.processes[name].start()

    def set_link(self, name, **state):
        """Sets the state of the link to a router or agent, in a rig with relays.

        Args:
            name: Name of the process, or ``<name>-store`` for its link to the
                store.
            **state: Fields of ``LinkState``; none of them heals the link.
        """
        reply = call(f"{self.url(RELAY)}/control/{name}", state)
        assert reply.status == 200, reply

    def partition(self, *sides):
        """Holds back all data between groups of data centres, and to the store.

        Args:
            *sides: Lists of data centres; only the first side reaches the store.
        """
        side_of = {centre: side for side in sides for centre in side}
        for name, centre in self._data_centres().items():
            others = [one for one in side_of if side_of[one] is not side_of[centre]]
            self.set_link(name, drop_up=True, drop_down=True, only_from=others)
            if side_of[centre] is not sides[0]:
                self.set_link(f"{name}-store", drop_up=True, drop_down=True)

    def heal(self):
        """Ends all faults of links and of the store."""
        for link in self._links:
            self.set_link(link)
        self.store_faults(
            down=False, slow_s=0.0, lose_answers=0, drop_writes=0, list_lag_s={}
        )

    def _data_centres(self):
        agents = {f"agent-{spec.name}": spec.data_centre for spec in self.plan.servers}
        return {**dict(self.plan.routers), **agents}

    def store_faults(self, **faults):
        """Sets faults of the store stand-in, such as ``down=True``."""
        reply = call(self.store_url + "/control", faults)
        assert reply.status == 200, reply

    def server_faults(self, server, **behaviour):
        """Sets the ``Behaviour`` of a server stand-in; none of them ends it."""
        reply = call(self.url(server) + "/control", behaviour)
        assert reply.status == 200, reply

    # Use

    def server_rows(self):
        """Returns the table rows of the backend servers."""
        urls = {spec.name: self.url(spec.name) for spec in self.plan.servers}
        return server_rows(self.plan, urls)

    def ctl(self, *words):
        """Runs ``pistachiowell-ctl`` with JSON output.

        Args:
            *words: Command line after the settings.

        Returns:
            ``(exit code, document)``; the document is None without output.
        """
        module = "pistachiowell.ctl.main"
        settings = self.directory / "ctl.yaml"
        head = [sys.executable, "-m", module, f"--settings={settings}", "--json"]
        command = [*head, *[str(word) for word in words]]
        done = subprocess.run(command, capture_output=True, timeout=CTL_TIMEOUT_S)
        with (self.directory / "ctl.log").open("ab") as log:
            log.write(b" ".join(word.encode() for word in command[5:]) + b"\n")
            log.write(done.stdout + done.stderr)
        document = msgspec.json.decode(done.stdout) if done.stdout.strip() else None
        return done.returncode, document

    def apply(self, rows, *, wait=False):
        """Applies rows of the operators' table with ``ctl apply``.

        Args:
            rows: Rows as mappings.
            wait: Whether to wait until they are in force everywhere.

        Returns:
            The document that ``ctl`` printed.
        """
        path = self.directory / f"table-{next(self._numbers)}.yaml"
        path.write_text(yaml.safe_dump({"rows": list(rows)}), encoding="utf-8")
        code, document = self.ctl("apply", path, *(["--wait"] if wait else []))
        if code:
            raise RigError(f"ctl apply ended with {code}: {document}\n{self.logs()}")
        return document

    def credit(self, account, tokens):
        """Adds tokens to the budget of a client account."""
        from pistachiowell.router.spending import page_name

        pages = dict(self.plan.router_settings).get("budget_pages", 16)

        def add(page):
            page = page or {"accounts": {}}
            budget = page["accounts"].setdefault(account, {"credited": 0})
            budget["credited"] += tokens
            return page

        self._put_object("budgetpages", page_name(account, pages), add)

    def _put_object(self, collection, name, change):
        url = f"{self.store_url}{BASE_PATH}/{collection}"
        while True:
            old = call(f"{url}/{name}")
            spec = old.document["spec"] if old.status == 200 else None
            metadata = {"name": name}
            if old.status == 200:
                metadata = old.document["metadata"]
            document = {
                "apiVersion": "pistachiowell.io/v1",
                "kind": collection,
                "metadata": metadata,
                "spec": change(spec),
            }
            method = "POST" if spec is None else "PUT"
            target = url if spec is None else f"{url}/{name}"
            if call(target, document, method=method).status in (200, 201):
                return

    def objects(self, collection):
        """Returns the values of a collection of the store by name.

        Args:
            collection: Name of the collection.
        """
        reply = call(f"{self.store_url}{BASE_PATH}/{collection}")
        items = reply.document["items"]
        return {item["metadata"]["name"]: item["spec"] for item in items}

    def bill(self):
        """Returns the journaled tokens by client account, each request once."""
        entries = {}
        for journal in self.objects("journals").values():
            for entry in journal["entries"]:
                entries[entry["request_id"]] = entry
        tokens = Counter()
        for entry in entries.values():
            tokens[entry["account"]] += entry["tokens"]
        return dict(tokens)

    def events(self, router):
        """Returns the latest events of a router, oldest first."""
        reply = self._report(router, "/events")
        return reply.document["events"] if reply.status == 200 else []

    def status(self, router):
        """Returns the status report of a router."""
        return self._report(router, "/status").document

    def _report(self, router, path):
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        url = self.url(router) + path
        return call(url, headers=headers, timeout_s=REPORT_TIMEOUT_S)

    def chat(
        self,
        prompt,
        *,
        router=None,
        account=None,
        model="chat",
        headers=None,
        timeout_s=TIMEOUT_S,
        **fields,
    ):
        """Sends one chat request.

        Args:
            prompt: Content of the user's message; ``words=N`` in it sets the
                length of the answer.
            router: Name of the router; the first one if None.
            account: Client account; the first one if None.
            model: Name of the route.
            headers: Mapping of further headers.
            timeout_s: Longest silence of the router in seconds.
            **fields: Further fields of the request's body.

        Returns:
            A ``Reply``.
        """
        messages = [{"role": "user", "content": prompt}]
        document = {"model": model, "messages": messages, **fields}
        path = "/v1/chat/completions"
        return self.send(path, document, router, account, headers, timeout_s)

    def service(self, path, document, key="", *, router=None, account=None):
        """Calls a plain service.

        Args:
            path: ``<route>/<path at the service>``.
            document: Body.
            key: Idempotency key, or an empty text.
            router: Name of the router; the first one if None.
            account: Client account; the first one if None.

        Returns:
            A ``Reply``.
        """
        headers = {"idempotency-key": key} if key else {}
        return self.send(f"/services/{path}", document, router, account, headers)

    def send(
        self,
        path,
        document,
        router=None,
        account=None,
        headers=None,
        timeout_s=TIMEOUT_S,
    ):
        """Sends a caller's request to a router; see ``chat``."""
        account = account or self.plan.accounts[0][0]
        key = self.plan.api_key_prefix + account
        authorization = {"authorization": f"Bearer {key}"}
        url = self.url(router or self.routers[0]) + path
        all_headers = {**authorization, **(headers or {})}
        return call(url, document, headers=all_headers, timeout_s=timeout_s)

    def runs(self, key):
        """Returns how often the plain services ran a call with a key."""
        plain = [spec.name for spec in self.plan.servers if spec.service != MODEL]
        replies = [call(self.url(name) + "/control/runs") for name in plain]
        counts = [reply.document["runs"] for reply in replies if reply.status == 200]
        return sum(runs.get(key, 0) for runs in counts)

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
