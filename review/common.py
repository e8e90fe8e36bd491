"""Stand-ins and a fleet of real processes for the cases of this folder.

The programs run with the commands of the deploy file and with the settings of its
templates, filled in for loopback with the bounds of the site kbpf-router.
"""

import os
import shutil
import signal
import subprocess
import tempfile
import time
from pathlib import Path

import anyio
import httpcore
import yaml

from pistachiowell.bench.ports import free_port
from pistachiowell.platform.standin_documents import (
    HOST,
    caller_headers,
    registration,
    soak_configuration,
)
from pistachiowell.platform.standins import BackendStandIn, ObjectServer, serve_app

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LOOPBACK = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
# Time in which registered programs connect, and grants may grow.
SETTLE_S = 4.0


def has_trouble():
    """Returns whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt`` in a folder."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def add(self, text):
        """Adds a line with the seconds since the start."""
        after_s = time.monotonic() - self._started_at
        self._file.write(f"{after_s:8.3f} {text}\n")
        self._file.flush()


class Store(ObjectServer):
    """The platform's store; calls that were open when it went away get no answer."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self._outages = 0
        self._cut = anyio.Event()

    def go_away(self):
        """Answers nothing from now on, until ``come_back``."""
        self.mode = "silent"
        self._outages += 1

    def come_back(self, copy):
        """Answers new calls again, with the content of an older copy."""
        self.return_from_copy(copy)
        self.mode = "up"

    def cut_watches(self):
        """Cuts off the watches of servers that are waiting."""
        cut, self._cut = self._cut, anyio.Event()
        cut.set()

    async def __call__(self, scope, receive, send):
        """Answers one call, unless its watch is cut off."""
        is_watch = b"Watch=" in scope["query_string"]
        if not is_watch or not scope["path"].endswith("/servers"):
            await self._answer_call(scope, receive, send)
            return
        cut, was_answered = self._cut, False
        async with anyio.create_task_group() as group:

            async def answer():
                nonlocal was_answered
                await self._answer_call(scope, receive, send)
                was_answered = True
                group.cancel_scope.cancel()

            group.start_soon(answer)
            await cut.wait()
            group.cancel_scope.cancel()
        if not was_answered:
            # An answer that is shorter than its length: the channel is closed.
            headers = [(b"content-length", b"2"), (b"store-era", b"%d" % self.era)]
            await send(
                {"type": "http.response.start", "status": 200, "headers": headers}
            )

    async def _answer_call(self, scope, receive, send):
        """Answers one call, unless the store has gone away meanwhile."""
        outages = self._outages

        async def send_if_there(message):
            if self._outages != outages:
                await anyio.sleep_forever()
            await send(message)

        await super().__call__(scope, receive, send_if_there)


class Fleet:
    """Starts gateways and agents as processes; the stand-ins run in this process.

    Args:
        group: The task group of the stand-ins.
        record: The ``Record``.
    """

    def __init__(self, group, record):
        self._group = group
        self._record = record
        self._directory = Path(tempfile.mkdtemp(prefix="review-"))
        self._documents = {}
        self._processes = {}
        self._roles = {}
        self._scopes = {}
        self._specs = {}
        self.addresses = {}
        self.store = Store()
        self._store_port = None

    async def start_store(self, configuration):
        """Starts the store with a configuration."""
        self._store_port = await self._group.start(serve_app, self.store)
        self.store.put("config", "main", configuration)

    async def add_server(self, server_id, service, script, **more):
        """Starts a backend server and registers it; returns the stand-in."""
        server = BackendStandIn(server_id, script)
        self._scopes[server_id] = anyio.CancelScope()
        await self._group.start(self._serve, server)
        address = f"{LOOPBACK}:{server.port}"
        self._specs[server_id] = {**registration(service, address), **more}
        self.store.put("servers", server_id, self._specs[server_id])
        return server

    async def _serve(self, server, *, task_status):
        with self._scopes[server.server_id]:
            await server.serve(task_status=task_status)

    def stop_server(self, server_id):
        """Stops a server at once, without draining; its entry stays."""
        self._scopes[server_id].cancel()
        self._specs.pop(server_id)
        self._record.add(f"server {server_id} has stopped")

    def write_servers(self):
        """Writes the registrations of all servers again, as after a return."""
        for server_id, spec in self._specs.items():
            self.store.put("servers", server_id, spec)

    def set_state(self, server_id, state):
        """Lets a server write another state into its entry."""
        self._specs[server_id] = {**self._specs[server_id], "State": state}
        self.store.put("servers", server_id, self._specs[server_id])

    def remove_entry(self, server_id):
        """Removes the entry of a server, which never reports that it drains."""
        del self._specs[server_id]
        self.store.delete("servers", server_id)

    def start_agent(self, name):
        """Starts an agent with the settings of ``deploy/agent.yaml``."""
        self._start(
            name,
            "agent",
            {
                "host": LOOPBACK,
                "port": free_port(),
                "engine_address": "",
                "budget_horizon_s": 6,
                "report_interval_s": 0.1,
            },
        )

    def start_gateway(self, name):
        """Starts a gateway with the settings of ``deploy/router.yaml``."""
        self.addresses[name] = f"{LOOPBACK}:{free_port()}"
        self._start(
            name,
            "gateway",
            {
                "http_address": self.addresses[name],
                "ready_address": f"{LOOPBACK}:{free_port()}",
                "peer_host": LOOPBACK,
                "peer_port": free_port(),
                "memory_mb": 300,
                "retry_ratio": 0.2,
                "retry_fixed": 52,
                "retry_window_s": 10,
                "budget_horizon_s": 12,
                "report_interval_s": 0.5,
            },
        )

    def _start(self, name, role, settings):
        self._roles[name] = role
        self._documents[name] = {
            "id": name,
            "region": "gh-south",
            "data_centre": "east",
            "store_address": f"{LOOPBACK}:{self._store_port}",
            "exposure_share": 0.1,
            "exposure_slack": 50,
            **settings,
        }
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._documents[name]), encoding="utf-8")
        self.restart(name)

    def restart(self, name):
        """Starts the process of a name; it must have ended."""
        variables = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": "target/deps",
            "PISTACHIOWELL_CONFIG": str(self._directory / f"{name}.yaml"),
        }
        command = ["python3", "-m", "pistachiowell.platform.main", self._roles[name]]
        with (self._directory / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )
        self._record.add(f"started {name}")

    async def kill(self, names):
        """Kills processes and waits for their ends."""
        for name in names:
            self._processes[name].send_signal(signal.SIGKILL)
            self._record.add(f"killed {name}")
        for name in names:
            while self._processes[name].poll() is None:
                await anyio.sleep(0.01)

    def send_signal(self, name, number):
        """Sends a signal to a process of this fleet."""
        self._processes[name].send_signal(number)
        self._record.add(f"sent {signal.Signals(number).name} to {name}")

    def exit_code(self, name):
        """Returns the exit code of a process; None while it runs."""
        return self._processes[name].poll()

    async def wait_until_registered(self):
        """Waits until all programs are registered and have had time to connect."""
        with anyio.fail_after(START_TIMEOUT_S):
            while self._registered_count() < len(self._processes):
                await anyio.sleep(0.1)
        await anyio.sleep(SETTLE_S)

    def _registered_count(self):
        return len(self.store.names("agents") + self.store.names("routers"))

    def stop(self):
        """Ends all processes; keeps settings and logs if ``KEEP`` names a folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        kept = os.environ.get("KEEP")
        if kept:
            shutil.copytree(self._directory, kept, dirs_exist_ok=True)
        shutil.rmtree(self._directory)


class Answer:
    """What a client received.

    Attributes:
        status: HTTP status; 0 if the channel ended before it.
        headers: Values by lower-case name.
        body: The bytes received.
        is_complete: Whether the answer ended as complete.
        after_s: Seconds from the sending to the end.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.after_s = 0.0


async def send(address, path, headers, method="POST", body=b"", wait_s=3.0):
    """Sends one request on a channel of its own and returns the ``Answer``."""
    answer, started_at = Answer(), time.monotonic()
    try:
        with anyio.move_on_after(wait_s):
            async with (
                httpcore.AsyncConnectionPool() as pool,
                pool.stream(
                    method, f"http://{address}{path}", headers=headers, content=body
                ) as response,
            ):
                answer.status = response.status
                answer.headers = {
                    n.decode().lower(): v.decode() for n, v in response.headers
                }
                async for data in response.aiter_stream():
                    answer.body += data
                answer.is_complete = True
    except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
        pass
    answer.after_s = time.monotonic() - started_at
    return answer


__all__ = [
    "BROKEN",
    "COULD_NOT_RUN",
    "HELD",
    "HOST",
    "Answer",
    "Fleet",
    "Record",
    "Store",
    "caller_headers",
    "has_trouble",
    "send",
    "soak_configuration",
]
