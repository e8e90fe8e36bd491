"""Shape of a rig: its data centres, programs and table."""

import hashlib
from dataclasses import dataclass

MODEL = "model"
PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """A backend server of the rig.

    Attributes:
        name: Name of its row.
        data_centre: Where it and its agent are.
        version: Name of the version that it runs.
        service: ``model`` or ``plain``.
        slots: Requests at once.
        flags: Further flags of the stand-in.
        model: Model that an engine has loaded; that of the version's name if empty.
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
    """What a rig starts.

    Attributes:
        region: Region of all data centres.
        routers: Data centre of each router by name.
        servers: The backend servers; each has an agent named ``agent-<server>``.
        accounts: Credited tokens by client account.
        relays: Whether the links between processes and to the store pass through
            a relay, so that they can be cut and delayed.
        router_settings: Further settings of all routers.
        agent_settings: Further settings of all agents.
        rows: Rows of the table except those of the servers; the default ones if
            empty.
        api_key_prefix: The API key of an account is this and its name.
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
    """Returns the hash of an API key as the table has it."""
    return hashlib.sha256(key.encode()).hexdigest()


def default_rows(plan):
    """Returns the rows of a rig except those of its servers.

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
    """Returns the rows of the backend servers.

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
