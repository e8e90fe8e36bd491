"""Fault schedule of one soak, drawn from a seed."""

from dataclasses import dataclass
from random import Random

MAX_FAULT_S = 2.5
# Gateways do the work of agents once there are none for some seconds, and a server that
# leaves accepts requests for some seconds.
MAX_LONG_FAULT_S = 7.0
# An evacuation lasts longer than the time within which it has to be in force, and a
# gateway relays some time after a crowd has come to it.
DURATIONS_S = {
    "loss": (0.2, MAX_LONG_FAULT_S),
    "leave": (0.2, MAX_LONG_FAULT_S),
    "evacuate": (4.0, 9.0),
    "crowd": (2.0, 4.0),
    "silence": (0.5, 2.0),
}
# No fault starts this long before the end of the load, so that the load ends
# without faults.
NO_NEW_FAULT_S = 4.0
FAULT_MODES = {
    "store": ("busy", "many", "silent"),
    "link": ("cut", "delay", "drop_up", "drop_down", "silent"),
    "signals": (
        "HUP",
        "HUP,HUP,HUP",
        "TERM,HUP",
        "TERM,TERM",
        "TERM,INT,HUP",
        "HUP,TERM,HUP,INT,TERM",
        "INT,HUP,INT",
    ),
    "cold": ("join", "again"),
}


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that is injected from outside the programs under test.

    Attributes:
        start_s: Seconds from the start of the load.
        kind: ``kill`` (SIGKILL, then a new start), ``pause`` (SIGSTOP), ``restart``
            (SIGTERM, then a new start), ``signals`` (a series of signals; if they end
            the process, a new start with a SIGHUP), ``loss`` (all agents are killed and
            start again later), ``store``, ``link``, ``return`` (the store returns from
            a copy that is taken now), ``leave`` (a server says that it leaves, and then
            starts again), ``full`` (a server turns requests away and names a pause),
            ``endless`` (a server sends bytes without end in its answers), ``double``
            (a server fails some requests and answers some twice), ``evacuate`` (a data
            centre is evacuated, and later no more), ``cold`` (a server is away and
            starts again cold), ``crowd`` (a gateway gets far more than its share of the
            callers), ``kill_receiver`` (a gateway is killed once it serves what
            another one relays), ``silence`` (a sound server sends nothing for a moment
            and goes on) or ``change`` (the configuration changes many times).
        target: Name of the process, link, server or data centre; empty for the store
            and the configuration.
        duration_s: Duration in seconds, or the age of the copy; of no effect for
            ``kill`` and ``restart``.
        mode: Kind of failure of the store or link; names of the signals of a series,
            separated by commas; ``join`` for a cold server whose registration is
            removed while it is away, else ``again``; otherwise empty.
    """

    start_s: float
    kind: str
    target: str
    duration_s: float
    mode: str = ""


def draw_faults(
    seed,
    length_s,
    processes,
    links=(),
    *,
    has_agents=False,
    servers=(),
    gateways=(),
    data_centres=(),
):
    """Draws the faults of a soak at random.

    Up to three faults start at the same time, and faults may overlap.

    Args:
        seed: Seed of the schedule.
        length_s: Duration of the load in seconds.
        processes: Names of the processes.
        links: Names of the links.
        has_agents: Whether there are agents, which may be lost together.
        servers: Ids of the servers that may close themselves.
        gateways: Names of the gateways that may get a crowd; none without another one.
        data_centres: Names of the data centres that may be evacuated.

    Returns:
        List of ``Fault``, by the time at which they were drawn.

    Examples:
        >>> draw_faults(1, 12.0, ["a"]) == draw_faults(1, 12.0, ["a"])
        True
    """
    rng = Random(seed)
    targets = dict.fromkeys(("kill", "pause", "restart", "signals"), processes)
    targets |= {"store": ("",), "link": links, "return": ("",), "change": ("",)}
    targets["loss"] = ("",) if has_agents else ()
    server_kinds = ("leave", "full", "endless", "double", "cold", "silence")
    targets |= dict.fromkeys(server_kinds, servers)
    targets |= {"crowd": gateways, "evacuate": data_centres}
    kinds = [kind for kind, names in targets.items() if names]
    faults, start_s = [], 0.5
    while start_s < length_s - NO_NEW_FAULT_S:
        for _ in range(rng.choice((1, 1, 2, 3))):
            kind = rng.choice(kinds)
            duration_s = rng.uniform(*DURATIONS_S.get(kind, (0.2, MAX_FAULT_S)))
            mode = rng.choice(FAULT_MODES.get(kind, ("",)))
            target = rng.choice(targets[kind])
            faults.append(Fault(start_s, kind, target, duration_s, mode))
            if kind == "return" and processes:
                # What the killed process wrote is lost with it.
                kill_s = start_s + rng.uniform(0.0, duration_s + 0.5)
                faults.append(Fault(kill_s, "kill", rng.choice(processes), 0.0))
            if kind == "cold" and gateways:
                # The usual load does not reach the bound of a cold server.
                length = rng.uniform(*DURATIONS_S["crowd"])
                crowd_s = start_s + duration_s - rng.uniform(0.0, 0.5)
                faults.append(Fault(crowd_s, "crowd", rng.choice(gateways), length))
            if kind == "crowd" and rng.random() < 0.5:
                receiver = rng.choice([name for name in gateways if name != target])
                faults.append(Fault(start_s, "kill_receiver", receiver, duration_s))
        start_s += rng.uniform(0.5, 2.5)
    return faults
