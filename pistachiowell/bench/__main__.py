"""Measures the slopes of ``docs/CAPACITY.md``; ``make bench`` runs it."""

import dataclasses
import json
import sys

from absl import flags

from pistachiowell.bench import slopes_live, slopes_state, slopes_wire
from pistachiowell.bench.slopes import measurements, table_text
from pistachiowell.core.commandline import parse_flags

USAGE = "Usage: python -m pistachiowell.bench [--json] [GROUP ...]"
GROUPS = (slopes_wire, slopes_state, slopes_live)


def main(argv):
    """Runs the measurements named, or all."""
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
    slopes = []
    for name, function in chosen.items():
        if not names or name in names:
            slopes += function()
    if values.json:
        print(json.dumps([dataclasses.asdict(slope) for slope in slopes], indent=1))
    else:
        print(table_text(slopes))


if __name__ == "__main__":
    main(sys.argv)
