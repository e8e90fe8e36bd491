"""Configuration of a rig: its data centres, programs and table."""

import hashlib
from dataclasses import dataclass

MODEL = "model"
PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """A backend server of the rig.

    Attributes:
        name: Name of the server, of its row and of its process.
        data_centre: Data centre of the server and its agent.
        version: Name of the version that it runs.
        service: ``model`` (an inference engine) or ``plain``.
        slots: Number of requests that it runs concurrently.
        flags: Further command-line flags of the stand-in.
        model: Name of the model that an engine has loaded; the name of the version
            if empty.
    """

    name: str
    data_centre: str
    version: str
    service: str = MODEL
    slots: int = 8
    flags: tuple = ()
    model: str = ""


DEFAULT_SERVERS = (
    ServerSpec("engine-1", "osu", "chat-1"),
    ServerSpec("engine-2", "tema", "chat-1"),
    ServerSpec("engine-3", "osu", "chat-2"),
    ServerSpec("desk-1", "osu", "stock-1", PLAIN),
    ServerSpec("desk-2", "tema", "stock-1", PLAIN),
)


@dataclass(frozen=True, slots=True)
class RigPlan:
    """Configuration of a rig.

    Attributes:
        region: Region of all data centres.
        routers: Pairs of router name and data centre.
        servers: The backend servers; each has an agent named ``agent-<server>``.
        accounts: Pairs of client account and tokens credited at the start.
        relays: Whether the links between processes and to the store pass through
            a relay, so that link faults can be injected.
        router_settings: Pairs of name and value: further settings of all routers.
        agent_settings: Pairs of name and value: further settings of all agents.
        rows: Rows of the table except those of the servers; ``default_rows`` if
            empty.
        api_key_prefix: Prefix of API keys; the name of the account follows it.
    """

    region: str = "gh-south"
    routers: tuple = (("router-1", "osu"), ("router-2", "tema"))
    servers: tuple = DEFAULT_SERVERS
    accounts: tuple = (("belt-north", 10_000_000), ("belt-south", 10_000_000))
    relays: bool = False
    router_settings: tuple = ()
    agent_settings: tuple = ()
    rows: tuple = ()
    api_key_prefix: str = "key-"


def key_hash(key):
    """Returns the hash of an API key in the form that account rows store."""
    return hashlib.sha256(key.encode()).hexdigest()


def default_rows(plan):
    """Returns the default table rows: accounts, versions and routes.

    Args:
        plan: A ``RigPlan``.
    """
    accounts = [
        {
            "kind": "account",
            "name": name,
            "key_hashes": [key_hash(plan.api_key_prefix + name)],
        }
        for name, _ in plan.accounts
    ]
    return [*accounts, *_versions(plan), *_ROUTES]


def _versions(plan):
    names = {"chat-1": MODEL, "chat-2": MODEL, "stock-1": PLAIN}
    names.update({spec.version: spec.service for spec in plan.servers})
    return [
        {
            "kind": "version",
            "name": name,
            "model": name if service == MODEL else "",
        }
        for name, service in sorted(names.items())
    ]


def server_rows(plan, urls):
    """Returns the table rows of the backend servers.

    Args:
        plan: A ``RigPlan``.
        urls: Base URL by server name.
    """
    return [
        {
            "kind": "server",
            "name": spec.name,
            "data_centre": spec.data_centre,
            "version": spec.version,
            "url": urls[spec.name],
            "slots": spec.slots,
            "checks_fencing": "--fencing" in spec.flags,
        }
        for spec in plan.servers
    ]


_ROUTES = (
    {
        "kind": "route",
        "name": "chat",
        "service": MODEL,
        "weights": {"chat-1": 1, "chat-2": 0},
        "priority": "chat",
    },
    {
        "kind": "route",
        "name": "labels",
        "service": MODEL,
        "weights": {"chat-1": 1},
        "priority": "label",
    },
    {
        "kind": "route",
        "name": "reports",
        "service": MODEL,
        "weights": {"chat-1": 1},
        "priority": "report",
        "max_answer_tokens": 4096,
    },
    {
        "kind": "route",
        "name": "stock",
        "service": PLAIN,
        "weights": {"stock-1": 1},
    },
    {
        "kind": "route",
        "name": "reserve",
        "service": PLAIN,
        "weights": {"stock-1": 1},
        "repeatable": False,
    },
)
