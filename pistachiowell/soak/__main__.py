"""Command line of the soak test.

Examples:
    Run ``python -m pistachiowell.soak --seeds 50 --first_seed 1 --logs /tmp/soak``.
"""

import sys
from functools import partial

import anyio
from absl import flags

from pistachiowell.core.commandline import parse_flags
from pistachiowell.soak.run import create_log_directory, soak

USAGE = (
    "Usage: --logs DIRECTORY [--seeds N] [--first_seed N] [--length_s S] [--planned]"
)


def main():
    """Runs one soak per seed and returns the exit code."""
    values = flags.FlagValues()
    define = {"flag_values": values}
    flags.DEFINE_string("logs", None, "Directory for settings and logs.", **define)
    flags.DEFINE_integer("seeds", 1, "Number of soaks.", **define)
    flags.DEFINE_integer("first_seed", 1, "Seed of the first one.", **define)
    flags.DEFINE_float("length_s", 15.0, "Seconds of load.", **define)
    flags.DEFINE_bool("planned", False, "Whether there is planned work only.", **define)
    if parse_flags(values, sys.argv, USAGE) or not values.logs:
        print(USAGE, file=sys.stderr)
        return 2
    failed = 0
    for seed in range(values.first_seed, values.first_seed + values.seeds):
        directory = create_log_directory(values.logs, seed)
        run = partial(soak, is_planned=values.planned)
        oracle = anyio.run(run, seed, values.length_s, directory)
        failed += bool(oracle.violations)
        print(
            f"seed {seed}: {dict(oracle.status_counts)} {oracle.violations or 'kept'}"
            f" ({oracle.checked}, losses judged: {oracle.losses.judged_count})"
        )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
