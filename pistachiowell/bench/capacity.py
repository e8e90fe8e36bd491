"""Works the capacity of a large fleet out of measured slopes.

``python -m pistachiowell.bench --json > slopes.json`` measures the slopes;
``python -m pistachiowell.bench.capacity slopes.json`` prints the tables of
``docs/CAPACITY.md``.
"""

import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec

from pistachiowell.agent.main import LOAD_INTERVAL_S
from pistachiowell.bench.slopes import US_PER_S, Slope
from pistachiowell.budgets.sizing import SizingSettings
from pistachiowell.router.fleet import vm_list_interval_s
from pistachiowell.router.journal import flush_interval_s

DAY_S = 86_400
PERCENT = 100.0
MIB = 1024 * 1024
CPU_LIMIT_PERCENT = 4.7
MEMORY_LIMIT_MIB = 32
BYTES_LIMIT_PER_S = 8192
WORD_S = 0.029
EVENTS_PER_REQUEST = 4
RING_EVENTS = 20_000
REPORTS_PER_S = 1.0 / LOAD_INTERVAL_S


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Size of the fleet and the settings that its control traffic follows.

    Attributes:
        routers: Nodes that run a router.
        agents: Servers, each with an agent.
        data_centres: Number of data centres.
        accounts: Client accounts.
        budgets: Prepaid budgets.
        requests_per_s: Requests at the peak.
        words_per_s: Tokens generated at the peak.
        changes_per_day: Accepted changes of the table.
        linked_agents: Agents that a router keeps a link to.
        linked_routers: Routers that a router keeps a link to.
        reports_per_s: Load reports of one agent to one router.
        pings_per_s: Heartbeats that a router sends on a link to a router.
        watching_agents: Whether each agent watches registrations itself.
        renewal_s: Time after which a home renews the grant of a budget in use.
    """

    routers: int = 350
    agents: int = 600
    data_centres: int = 5
    accounts: int = 6900
    budgets: int = 12_000
    requests_per_s: float = 6900.0
    words_per_s: float = 1_700_000.0
    changes_per_day: int = 2000
    linked_agents: int = 600
    linked_routers: int = 349
    reports_per_s: float = REPORTS_PER_S
    pings_per_s: float = 2.0
    watching_agents: bool = False
    renewal_s: float = SizingSettings().renew_after_s


@dataclass(frozen=True, slots=True)
class Load:
    """What one item costs one process.

    Attributes:
        item: What it is.
        per_s: How often it happens each second.
        cpu_percent: Share of a core.
        bytes_per_s: Bytes sent and received.
        memory_mib: Memory held.
    """

    item: str
    per_s: float = 0.0
    cpu_percent: float = 0.0
    bytes_per_s: float = 0.0
    memory_mib: float = 0.0


class Slopes:
    """Measured slopes by name.

    Args:
        slopes: List of ``Slope``.
    """

    __slots__ = ("_by_name",)

    def __init__(self, slopes):
        self._by_name = {slope.name: slope for slope in slopes}

    def cpu_us(self, name):
        """Returns the processor time of a slope in microseconds."""
        return self._by_name[name].cpu_us

    def memory_bytes(self, name):
        """Returns the memory of a slope."""
        return self._by_name[name].memory_bytes

    def size_bytes(self, name):
        """Returns the size of a slope."""
        return self._by_name[name].size_bytes

    def frame_bytes(self, *kinds):
        """Returns the bytes of one message of each kind together."""
        return sum(self.size_bytes(f"encode {kind}") for kind in kinds)

    def rate(self, item, per_s, cpu_us, size_bytes=0.0, memory_bytes=0.0):
        """Returns the ``Load`` of an item that happens ``per_s`` times a second."""
        return Load(
            item,
            per_s,
            per_s * cpu_us / US_PER_S * PERCENT,
            per_s * size_bytes,
            memory_bytes / MIB,
        )


def router_control(size, slopes):
    """Returns the control loads of one router.

    Args:
        size: A ``FleetSize``.
        slopes: A ``Slopes``.
    """
    call_us = slopes.cpu_us("call Ping, both ends") / 2
    report_us = slopes.cpu_us("router: idle second, one more agent") / REPORTS_PER_S
    link_bytes = slopes.memory_bytes("link held, both ends") / 2
    requests = size.requests_per_s / size.routers
    probes = 2 * size.linked_routers * size.pings_per_s
    remote = requests * (1.0 - size.data_centres / size.routers)
    budget_bytes = slopes.frame_bytes(
        "ReserveTokens", "TokensReserved", "SettleTokens", "TokensSettled"
    )
    row_bytes = slopes.memory_bytes("table row held")
    rows = size.accounts + size.agents
    changes = size.changes_per_day / DAY_S
    event_bytes = slopes.memory_bytes("event in the ring")
    return [
        slopes.rate("idle program", 1, slopes.cpu_us("router: idle second, no agents")),
        slopes.rate(
            f"load reports of {size.linked_agents} agents",
            size.linked_agents * size.reports_per_s,
            report_us,
            slopes.frame_bytes("LoadReport"),
            size.linked_agents * link_bytes,
        ),
        slopes.rate(
            f"heartbeats of {size.linked_routers} routers",
            probes,
            call_us,
            slopes.frame_bytes("Ping", "Pong"),
            size.linked_routers * link_bytes,
        ),
        slopes.rate(
            "reserve and settle at homes", 2 * remote, call_us, budget_bytes / 2
        ),
        slopes.rate(
            "reserve and settle as home", 2 * remote, call_us, budget_bytes / 2
        ),
        slopes.rate(
            "table",
            changes,
            slopes.cpu_us(f"table change, {rows} rows"),
            slopes.size_bytes("table row held"),
            rows * row_bytes,
        ),
        slopes.rate(
            "events", EVENTS_PER_REQUEST * requests, slopes.cpu_us("event in the ring")
        ),
        Load("event ring", memory_mib=RING_EVENTS * event_bytes / MIB),
    ]


def agent_control(size, slopes):
    """Returns the control loads of one agent."""
    send_us = slopes.cpu_us("send LoadReport, both ends") / 2
    routers = size.routers * size.linked_agents / size.agents
    link_bytes = slopes.memory_bytes("link held, both ends") / 2
    rows = size.accounts + size.agents
    return [
        slopes.rate(
            "idle program", 1, slopes.cpu_us("agent: idle second, two routers")
        ),
        slopes.rate(
            f"load reports to {routers:.0f} routers",
            routers * size.reports_per_s,
            send_us,
            slopes.frame_bytes("LoadReport"),
            routers * link_bytes,
        ),
        Load("table", memory_mib=rows * slopes.memory_bytes("table row held") / MIB),
    ]


def data_path(size, slopes, role, count):
    """Returns the loads of the answers themselves at one process.

    Args:
        size: A ``FleetSize``.
        slopes: A ``Slopes``.
        role: ``router`` or ``agent``.
        count: Processes of the role.
    """
    requests = size.requests_per_s / count
    words = size.words_per_s / count
    streams = words * WORD_S
    return [
        slopes.rate("requests", requests, slopes.cpu_us(f"{role}: request")),
        slopes.rate("words", words, slopes.cpu_us(f"{role}: word")),
        Load(
            f"{streams:.0f} open streams",
            memory_mib=streams * slopes.memory_bytes(f"{role}: open stream") / MIB,
        ),
    ]


def store_calls(size):
    """Returns the calls to the store each second as ``(item, writes, reads)``.

    Args:
        size: A ``FleetSize``.
    """
    watchers = 2 * size.data_centres
    return [
        ("journals", size.routers / flush_interval_s(size.routers), 0.0),
        ("budget pages, each renewal alone", _renewals_per_s(size), 0.0),
        ("table changes", size.changes_per_day / DAY_S, 0.0),
        ("watches of rows", 0.0, float(watchers)),
        ("watches of registrations", 0.0, _registration_watches(size)),
        ("VM list", 0.0, size.routers / vm_list_interval_s(size.routers)),
    ]


def _renewals_per_s(size):
    return size.budgets * size.data_centres / size.renewal_s


def _registration_watches(size):
    agents = size.agents if size.watching_agents else 0
    return 2.0 * size.routers + agents


def text(size, slopes):
    """Returns the tables in Markdown.

    Args:
        size: A ``FleetSize``.
        slopes: A ``Slopes``.
    """
    parts = [
        _table("Control of one router", router_control(size, slopes), limits=True),
        _table("Control of one agent", agent_control(size, slopes), limits=True),
        _table(
            "Answers at one router", data_path(size, slopes, "router", size.routers)
        ),
        _table("Answers at one agent", data_path(size, slopes, "agent", size.agents)),
        _store_table(store_calls(size)),
    ]
    return "\n\n".join(parts)


def _table(title, loads, *, limits=False):
    total = Load(
        "total",
        0.0,
        sum(load.cpu_percent for load in loads),
        sum(load.bytes_per_s for load in loads),
        sum(load.memory_mib for load in loads),
    )
    lines = [
        f"| {title} | per second | % of a core | bytes per second | MiB |",
        "| --- | ---: | ---: | ---: | ---: |",
    ]
    for load in [*loads, total]:
        lines.append(
            f"| {load.item} | {load.per_s:.3g} | {load.cpu_percent:.2f} "
            f"| {load.bytes_per_s:.0f} | {load.memory_mib:.1f} |"
        )
    if limits:
        lines.append(
            f"| limit | | {CPU_LIMIT_PERCENT} | {BYTES_LIMIT_PER_S} "
            f"| {MEMORY_LIMIT_MIB} |"
        )
    return "\n".join(lines)


def _store_table(calls):
    lines = [
        "| Calls to the store | writes per second | reads per second |",
        "| --- | ---: | ---: |",
    ]
    total = ("total", sum(c[1] for c in calls), sum(c[2] for c in calls))
    for item, writes, reads in [*calls, total]:
        lines.append(f"| {item} | {writes:.3g} | {reads:.3g} |")
    return "\n".join(lines)


def read_slopes(path):
    """Reads the slopes that ``python -m pistachiowell.bench --json`` printed."""
    data = Path(path).read_bytes()
    return Slopes(msgspec.json.decode(data, type=list[Slope]))


def main(argv):
    """Prints the tables for a file of slopes."""
    if len(argv) != 2:
        print(
            "Usage: python -m pistachiowell.bench.capacity SLOPES.json", file=sys.stderr
        )
        sys.exit(2)
    slopes = read_slopes(argv[1])
    print("Every router linked to every process, as a full mesh:\n")
    print(text(FleetSize(), slopes))
    print("\nLinks to a subset, reports on change:\n")
    print(text(SUBSET, slopes))


SUBSET = FleetSize(
    linked_agents=40,
    linked_routers=69,
    reports_per_s=1.0,
    pings_per_s=0.1,
)


if __name__ == "__main__":
    main(sys.argv)
