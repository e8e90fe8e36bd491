"""A test rig: a gateway, agents and stand-ins of the platform on one event loop."""

from contextlib import asynccontextmanager

import anyio
import httpcore
import pytest

from pistachiowell.gateway.agent import GatewayAgent
from pistachiowell.gateway.gateway import Gateway
from pistachiowell.platform.objects import ObjectStore
from pistachiowell.platform.programs import ADAPTER
from pistachiowell.platform.standins import (
    BackendStandIn,
    ObjectServer,
    answer_whole,
    serve_app,
)
from pistachiowell.schema.generated.settings import (
    GatewayAgentSettings,
    GatewaySettings,
)

HOST = "shop.example"
KEY = "k-one"
ROUTES = {
    "read": ("/read/", "idempotent", "desk", {"MaxAttempts": 2}),
    "other": ("/other/", "idempotent", "spare", {"MaxAttempts": 2}),
    "split": (
        "/split/",
        "idempotent",
        "",
        {
            "MaxAttempts": 2,
            "Split": [
                {"Service": "desk", "Weight": 0.001},
                {"Service": "spare", "Weight": 0.999},
            ],
        },
    ),
    "book": ("/book/", "non_idempotent", "desk", {}),
    "chat": (
        "/chat/",
        "streaming",
        "pool",
        {"MaxAttempts": 2, "Resumable": True, "Sticky": True},
    ),
    "read-long": ("/long/", "streaming", "pool", {"Sticky": True}),
}


def route_document(name):
    """Returns a route of the configuration as a document."""
    prefix, kind, service, more = ROUTES[name]
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "RouteKind": kind,
        "TimeoutMs": 2000,
        "GoalMs": 200,
        "Service": service,
        **more,
    }


def configuration(version, *, keys=(KEY,), prepaid=100_000, routes=tuple(ROUTES)):
    """Returns a configuration document."""
    engine = {"Slots": 8, "KvCapacityTokens": 100_000, "Stride": 5}
    return {
        "Version": version,
        "Routes": [route_document(name) for name in routes],
        "Services": [
            {"Name": "desk", "HealthPath": "/h", "MaxConns": 50},
            {"Name": "spare", "HealthPath": "/h", "MaxConns": 50},
            {"Name": "pool", "HealthPath": "/h", "MaxConns": 50, "Engine": engine},
        ],
        "Limits": {"MaxBodyBytes": 10_000},
        "Tenants": [{"Name": "acme", "ApiKeys": list(keys), "Prepaid": prepaid}],
    }


class StoreEntry:
    """An address of the store for one program, which can be turned away there.

    Attributes:
        is_open: Whether calls reach the store; otherwise they are answered 503.
    """

    def __init__(self, store):
        self._store = store
        self.is_open = True

    async def __call__(self, scope, receive, send):
        """Passes on one call, or rejects it."""
        if self.is_open:
            await self._store(scope, receive, send)
            return
        start = {"type": "http.response.start", "status": 503, "headers": []}
        await send(start)
        await send({"type": "http.response.body", "body": b""})


class Rig:
    """The processes and stand-ins of a test.

    Attributes:
        store: The ``ObjectServer``.
        servers: ``BackendStandIn`` by id.
        gateways: Each running ``Gateway``.
        address: IP address and port for callers of the latest gateway.
        ready_address: IP address and port for its readiness checks.
    """

    def __init__(self, group, free_port):
        self._group = group
        self._free_port = free_port
        self._scopes = {}
        self._agents = {}
        self._requests = 0
        self._store_address = ""
        self._entries = {}
        self.store = ObjectServer()
        self.servers = {}
        self.gateways = []
        self.address = ""
        self.ready_address = ""

    async def start(self):
        """Starts the store."""
        port = await self._group.start(serve_app, self.store)
        self._store_address = f"127.0.0.1:{port}"

    async def add_server(self, server_id, service, script=answer_whole, **fields):
        """Starts a backend server and registers it."""
        server = BackendStandIn(server_id, script)
        await self.start_server(server_id, service, server, **fields)
        return server

    async def start_server(self, server_id, service, server, **fields):
        """Starts a backend server of any kind and registers it."""
        self.servers[server_id] = server
        await self._group.start(server.serve)
        self.register(server_id, service, **fields)

    def register(self, server_id, service, state="ready", **fields):
        """Writes the registration of a server."""
        spec = {
            "Service": service,
            "Address": f"127.0.0.1:{self.servers[server_id].port}",
            "Zone": "east",
            "Version": "v1",
            "Slots": 8,
            "State": state,
            "Sequence": 1,
            "born": 5,
            **fields,
        }
        self.store.put("servers", server_id, spec)

    async def add_agent(self, name, *, has_entry=False, **settings):
        """Starts an agent and waits until it is registered.

        Args:
            name: Id of the agent.
            has_entry: Whether it reaches the store through a ``StoreEntry`` of its own.
            **settings: More settings of the agent.
        """
        address = self._store_address
        if has_entry:
            entry = self._entries[name] = StoreEntry(self.store)
            address = f"127.0.0.1:{await self._group.start(serve_app, entry)}"
        values = GatewayAgentSettings(
            id=name,
            region="south",
            data_centre="east",
            host="127.0.0.1",
            port=self._free_port(),
            store_address=address,
            report_interval_s=0.05,
            budget_pages=1,
            **settings,
        )
        agent = GatewayAgent(values, ObjectStore(address), ADAPTER)
        self._agents[name] = agent
        self._start(name, agent)
        await self.until(lambda: name in self.store.names("agents"))
        return agent

    async def add_gateway(self, name="gate-1", *, ready=True, **settings):
        """Starts a gateway and, if ``ready`` is set, waits until it is ready."""
        self.address = f"127.0.0.1:{self._free_port()}"
        self.ready_address = f"127.0.0.1:{self._free_port()}"
        values = GatewaySettings(
            id=name,
            region="south",
            data_centre="east",
            http_address=self.address,
            ready_address=self.ready_address,
            peer_host="127.0.0.1",
            peer_port=self._free_port(),
            store_address=self._store_address,
            budget_pages=1,
            **{"leaving_notice_s": 0.1, **settings},
        )
        gateway = Gateway(values, ObjectStore(self._store_address), ADAPTER)
        self._start(name, gateway)
        self.gateways.append(gateway)
        if ready:
            await self.until(lambda: gateway.state.is_ready)
            await self.until(lambda: self._all_linked(gateway))
        return gateway

    def agent_state(self, name):
        """Returns the ``GatewayState`` of an agent."""
        return self._agents[name].state

    async def until_revision(self, state, revision):
        """Waits until a ``GatewayState`` has a configuration.

        An agent follows the store from its first link on, so it may have none yet.
        """
        await self.until(lambda: state.catalog and state.catalog.revision == revision)

    def incarnation(self, name):
        """Returns the incarnation of an agent."""
        return self._agents[name].incarnation

    def cut_from_store(self, name):
        """Lets the store turn away an agent that was added with an entry."""
        self._entries[name].is_open = False

    def kill(self, name):
        """Ends a program at once, without a shutdown."""
        self._scopes[name].cancel()

    async def until(self, condition, timeout_s=5.0):
        """Waits until a condition holds."""
        with anyio.fail_after(timeout_s):
            while not condition():
                await anyio.sleep(0.01)

    async def send(self, path, method="GET", body=b"", key=KEY, **headers):
        """Sends a request and returns ``(status, headers, body)``."""
        async with self.open(path, method, body, key, **headers) as response:
            body = await response.aread()
        return response.status, dict(response.headers), body

    @asynccontextmanager
    async def open(self, path, method="GET", body=b"", key=KEY, **headers):
        """Sends a request and yields the open response."""
        async with (
            httpcore.AsyncConnectionPool() as pool,
            self._opened(pool, path, method, body, key, headers) as response,
        ):
            yield response

    @asynccontextmanager
    async def keep(self):
        """Yields a function like ``send`` that keeps its connection."""
        async with httpcore.AsyncConnectionPool() as pool:

            async def send(path, method="GET", body=b"", key=KEY, **headers):
                opened = self._opened(pool, path, method, body, key, headers)
                async with opened as response:
                    body = await response.aread()
                return response.status, dict(response.headers), body

            yield send

    def _opened(self, pool, path, method, body, key, headers):
        self._requests += 1
        fields = {
            "Host": HOST,
            "Pistachiowell-Attempt-Id": f"request-{self._requests}",
            "Pistachiowell-Deadline-Ms": "1500",
            "Api-Key": key,
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if body and "Transfer-Encoding" not in fields:
            fields["Content-Length"] = str(len(body))
        pairs = [(n.encode(), v.encode()) for n, v in fields.items()]
        url = f"http://{self.address}{path}"
        return pool.stream(method, url, headers=pairs, content=body)

    async def send_chat(self, path="/chat/x", **headers):
        """Sends a request with a prompt of 100 tokens and an answer of at most 50."""
        return await self.send(
            path,
            "POST",
            b"prompt",
            Pistachiowell_Model="m",
            Pistachiowell_Token_Usage=headers.pop("usage", "100,50"),
            **{"Pistachiowell_Prefix_Hash": "aa:60,bb:40", **headers},
        )

    def budget(self, account="acme"):
        """Returns the budget of an account from its page in the store."""
        page = self.store.get("budgetpages", "page-0")
        return page["Spec"]["accounts"][account] if page else {}

    def _start(self, name, program):
        scope = self._scopes[name] = anyio.CancelScope()

        async def run():
            with scope:
                await program.run()

        self._group.start_soon(run)

    def _all_linked(self, gateway):
        agents = set(self.store.names("agents"))
        return agents == {n for n, p in gateway.fleet.agents.items() if p.usable}


@pytest.fixture
def start_rig(free_port):
    """Returns an async context manager that yields a ``Rig``."""

    @asynccontextmanager
    async def start():
        async with anyio.create_task_group() as group:
            rig = Rig(group, free_port)
            await rig.start()
            rig.store.put("config", "main", configuration(1))
            try:
                yield rig
            finally:
                group.cancel_scope.cancel()

    return start
