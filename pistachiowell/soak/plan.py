"""The faults of one soak, drawn from a seed."""

from dataclasses import dataclass
from random import Random

LONGEST_FAULT_S = 2.5
QUIET_END_S = 4.0


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that is injected from outside the programs.

    Attributes:
        at_s: Seconds from the start of the load.
        kind: ``kill``, ``pause``, ``restart`` or ``store``.
        target: Name of the process, or the mode of the store.
        for_s: Seconds that it lasts.
    """

    at_s: float
    kind: str
    target: str
    for_s: float


def draw_faults(seed, length_s, processes):
    """Draws faults that come in series and overlap; the end is quiet.

    Args:
        seed: Seed of the plan.
        length_s: Seconds of load.
        processes: Names of the processes.

    Returns:
        ``Fault`` in the order of their times.

    Examples:
        >>> draw_faults(1, 12.0, ["a"]) == draw_faults(1, 12.0, ["a"])
        True
    """
    rng = Random(seed)
    faults, at_s = [], 0.5
    while at_s < length_s - QUIET_END_S:
        for _ in range(rng.choice((1, 1, 2, 3))):
            kind = rng.choice(("kill", "pause", "restart", "store"))
            names = ("busy", "many", "silent") if kind == "store" else processes
            for_s = rng.uniform(0.2, LONGEST_FAULT_S)
            faults.append(Fault(at_s, kind, rng.choice(names), for_s))
        at_s += rng.uniform(0.5, 2.5)
    return faults
