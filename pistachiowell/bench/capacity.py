"""Calculates the load of a large fleet from measured marginal costs.

The model is linear: each load is a rate or a number of items that follows from the
size of the fleet, times the marginal cost of one item.

``python -m pistachiowell.bench --json > slopes.json`` measures the costs;
``python -m pistachiowell.bench.capacity slopes.json`` prints the tables of
``docs/CAPACITY.md``.
"""

import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec

from pistachiowell.agent.agent import LOAD_INTERVAL_S
from pistachiowell.bench.marginal_costs import US_PER_S, MarginalCost
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
    """Size of the fleet and the settings that determine its control traffic.

    Attributes:
        routers: Number of routers.
        agents: Number of agents, one for each backend server.
        data_centres: Number of data centres.
        accounts: Number of client accounts.
        budgets: Number of prepaid budgets.
        requests_per_s: Requests per second at the peak.
        words_per_s: Generated tokens per second at the peak.
        changes_per_day: Accepted changes of the table per day.
        linked_agents: Number of agents to which a router keeps a link.
        linked_routers: Number of routers to which a router keeps a link.
        reports_per_s: Load reports per second from one agent to one router.
        pings_per_s: Heartbeats per second that a router sends on a link to a router.
        watching_agents: Whether each agent watches registrations itself.
        renewal_s: Time in seconds after which an owner renews the grant of a budget
            in use.
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
    """Load that one kind of item puts on one process.

    Attributes:
        item: Description of the item.
        per_s: Items per second.
        cpu_percent: Processor time in percent of a core.
        bytes_per_s: Bytes sent and received per second.
        memory_mib: Memory in MiB.
    """

    item: str
    per_s: float = 0.0
    cpu_percent: float = 0.0
    bytes_per_s: float = 0.0
    memory_mib: float = 0.0


class MarginalCosts:
    """Measured marginal costs by name.

    Args:
        costs: List of ``MarginalCost``.
    """

    __slots__ = ("_by_name",)

    def __init__(self, costs):
        self._by_name = {cost.name: cost for cost in costs}

    def cpu_us(self, name):
        """Returns the processor time of an item in microseconds."""
        return self._by_name[name].cpu_us

    def memory_bytes(self, name):
        """Returns the memory of an item in bytes."""
        return self._by_name[name].memory_bytes

    def size_bytes(self, name):
        """Returns the size of an item in bytes."""
        return self._by_name[name].size_bytes

    def frame_bytes(self, *kinds):
        """Returns the total size of one message of each kind in bytes."""
        return sum(self.size_bytes(f"encode {kind}") for kind in kinds)

    def rate(self, item, per_s, cpu_us, size_bytes=0.0, memory_bytes=0.0):
        """Returns the ``Load`` of an item that occurs ``per_s`` times per second.

        Args:
            item: Description of the item.
            per_s: Items per second.
            cpu_us: Processor time per item in microseconds.
            size_bytes: Bytes sent and received per item.
            memory_bytes: Total memory in bytes.
        """
        return Load(
            item,
            per_s,
            per_s * cpu_us / US_PER_S * PERCENT,
            per_s * size_bytes,
            memory_bytes / MIB,
        )


def router_control(size, costs):
    """Returns the loads of the control traffic on one router.

    Args:
        size: A ``FleetSize``.
        costs: A ``MarginalCosts``.
    """
    call_us = costs.cpu_us("call Ping, both ends") / 2
    report_us = costs.cpu_us("router: idle second, one more agent") / REPORTS_PER_S
    link_bytes = costs.memory_bytes("link held, both ends") / 2
    requests_per_s = size.requests_per_s / size.routers
    pings_per_s = 2 * size.linked_routers * size.pings_per_s
    remote_per_s = requests_per_s * (1.0 - size.data_centres / size.routers)
    budget_bytes = costs.frame_bytes(
        "ReserveTokens", "TokensReserved", "SettleTokens", "TokensSettled"
    )
    row_bytes = costs.memory_bytes("table row held")
    rows = size.accounts + size.agents
    changes_per_s = size.changes_per_day / DAY_S
    event_bytes = costs.memory_bytes("event in the ring")
    return [
        costs.rate("idle program", 1, costs.cpu_us("router: idle second, no agents")),
        costs.rate(
            f"load reports of {size.linked_agents} agents",
            size.linked_agents * size.reports_per_s,
            report_us,
            costs.frame_bytes("LoadReport"),
            size.linked_agents * link_bytes,
        ),
        costs.rate(
            f"heartbeats of {size.linked_routers} routers",
            pings_per_s,
            call_us,
            costs.frame_bytes("Ping", "Pong"),
            size.linked_routers * link_bytes,
        ),
        costs.rate(
            "reserve and settle at homes", 2 * remote_per_s, call_us, budget_bytes / 2
        ),
        costs.rate(
            "reserve and settle as home", 2 * remote_per_s, call_us, budget_bytes / 2
        ),
        costs.rate(
            "table",
            changes_per_s,
            costs.cpu_us(f"table change, {rows} rows"),
            costs.size_bytes("table row held"),
            rows * row_bytes,
        ),
        costs.rate(
            "events",
            EVENTS_PER_REQUEST * requests_per_s,
            costs.cpu_us("event in the ring"),
        ),
        Load("event ring", memory_mib=RING_EVENTS * event_bytes / MIB),
    ]


def agent_control(size, costs):
    """Returns the loads of the control traffic on one agent.

    Args:
        size: A ``FleetSize``.
        costs: A ``MarginalCosts``.
    """
    send_us = costs.cpu_us("send LoadReport, both ends") / 2
    routers = size.routers * size.linked_agents / size.agents
    link_bytes = costs.memory_bytes("link held, both ends") / 2
    rows = size.accounts + size.agents
    return [
        costs.rate("idle program", 1, costs.cpu_us("agent: idle second, two routers")),
        costs.rate(
            f"load reports to {routers:.0f} routers",
            routers * size.reports_per_s,
            send_us,
            costs.frame_bytes("LoadReport"),
            routers * link_bytes,
        ),
        Load("table", memory_mib=rows * costs.memory_bytes("table row held") / MIB),
    ]


def data_path(size, costs, role, count):
    """Returns the loads of requests and answers on one process.

    Args:
        size: A ``FleetSize``.
        costs: A ``MarginalCosts``.
        role: ``router`` or ``agent``.
        count: Number of processes of the role.
    """
    requests_per_s = size.requests_per_s / count
    words = size.words_per_s / count
    streams = words * WORD_S
    return [
        costs.rate("requests", requests_per_s, costs.cpu_us(f"{role}: request")),
        costs.rate("words", words, costs.cpu_us(f"{role}: word")),
        Load(
            f"{streams:.0f} open streams",
            memory_mib=streams * costs.memory_bytes(f"{role}: open stream") / MIB,
        ),
    ]


def store_calls(size):
    """Returns the calls of the whole fleet to the store.

    Args:
        size: A ``FleetSize``.

    Returns:
        A list of ``(item, writes per second, reads per second)``.
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


def text(size, costs):
    """Returns the tables of all loads in Markdown.

    Args:
        size: A ``FleetSize``.
        costs: A ``MarginalCosts``.
    """
    parts = [
        _table("Control of one router", router_control(size, costs), limits=True),
        _table("Control of one agent", agent_control(size, costs), limits=True),
        _table("Answers at one router", data_path(size, costs, "router", size.routers)),
        _table("Answers at one agent", data_path(size, costs, "agent", size.agents)),
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


def read_costs(path):
    """Returns the ``MarginalCosts`` of a file.

    Args:
        path: Path of the output of ``python -m pistachiowell.bench --json``.
    """
    data = Path(path).read_bytes()
    return MarginalCosts(msgspec.json.decode(data, type=list[MarginalCost]))


def main(argv):
    """Prints the tables for a full mesh of links and for links to a subset.

    Args:
        argv: Command line with the path of a file of marginal costs.
    """
    if len(argv) != 2:
        print(
            "Usage: python -m pistachiowell.bench.capacity SLOPES.json", file=sys.stderr
        )
        sys.exit(2)
    costs = read_costs(argv[1])
    print("Every router linked to every process, as a full mesh:\n")
    print(text(FleetSize(), costs))
    print("\nLinks to a subset, reports on change:\n")
    print(text(SUBSET_FLEET, costs))


SUBSET_FLEET = FleetSize(
    linked_agents=40,
    linked_routers=69,
    reports_per_s=1.0,
    pings_per_s=0.1,
)


if __name__ == "__main__":
    main(sys.argv)
