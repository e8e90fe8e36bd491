"""The faults of one soak, drawn from a seed."""

from dataclasses import dataclass
from random import Random

LONGEST_FAULT_S = 2.5
QUIET_END_S = 4.0
MODES = {
    "store": ("busy", "many", "silent"),
    "link": ("cut", "delay", "drop_up", "drop_down", "silent"),
}


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that is injected from outside the programs.

    Attributes:
        at_s: Seconds from the start of the load.
        kind: ``kill``, ``pause``, ``restart``, ``store`` or ``link``.
        target: Name of the process or link; empty for the store.
        for_s: Seconds that it lasts.
        mode: How the store or the link misbehaves.
    """

    at_s: float
    kind: str
    target: str
    for_s: float
    mode: str = ""


def draw_faults(seed, length_s, processes, links=()):
    """Draws faults that come in series and overlap; the end is quiet.

    Args:
        seed: Seed of the plan.
        length_s: Seconds of load.
        processes: Names of the processes.
        links: Names of the links.

    Returns:
        ``Fault`` in the order of their times.

    Examples:
        >>> draw_faults(1, 12.0, ["a"]) == draw_faults(1, 12.0, ["a"])
        True
    """
    rng = Random(seed)
    targets = dict.fromkeys(("kill", "pause", "restart"), processes)
    targets |= {"store": ("",), "link": links}
    kinds = [kind for kind, names in targets.items() if names]
    faults, at_s = [], 0.5
    while at_s < length_s - QUIET_END_S:
        for _ in range(rng.choice((1, 1, 2, 3))):
            kind = rng.choice(kinds)
            for_s = rng.uniform(0.2, LONGEST_FAULT_S)
            mode = rng.choice(MODES.get(kind, ("",)))
            faults.append(Fault(at_s, kind, rng.choice(targets[kind]), for_s, mode))
        at_s += rng.uniform(0.5, 2.5)
    return faults
