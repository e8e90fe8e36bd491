"""Measures the marginal costs of ``docs/CAPACITY.md``; ``make bench`` runs it.

A marginal cost is what one more message, request or object costs one process.
"""

import dataclasses
import json
import sys

from absl import flags

from pistachiowell.bench import costs_live, costs_state, costs_wire
from pistachiowell.bench.marginal_costs import measurements, table_text
from pistachiowell.core.commandline import parse_flags

USAGE = "Usage: python -m pistachiowell.bench [--json] [GROUP ...]"
GROUPS = (costs_wire, costs_state, costs_live)


def main(argv):
    """Runs the named groups of measurements, or all, and prints their results.

    Args:
        argv: Command line.
    """
    values = flags.FlagValues()
    flags.DEFINE_bool("json", False, "Print JSON.", flag_values=values)
    names = parse_flags(values, argv, USAGE)
    chosen = measurements()
    unknown = set(names) - set(chosen)
    if unknown:
        print(
            f"Unknown {sorted(unknown)}; there are {sorted(chosen)}.", file=sys.stderr
        )
        sys.exit(2)
    costs = []
    for name, function in chosen.items():
        if not names or name in names:
            costs += function()
    if values.json:
        print(json.dumps([dataclasses.asdict(cost) for cost in costs], indent=1))
    else:
        print(table_text(costs))


if __name__ == "__main__":
    main(sys.argv)
