"""Command-line flags of the programs, separate from absl's global flags."""

import sys

from absl import flags

EXIT_USAGE = 2


def parse_flags(values, argv, usage):
    """Parses a command line.

    Args:
        values: ``flags.FlagValues`` with the program's flags.
        argv: The command line, program name first.
        usage: Usage line of the program, printed with an error or the help.

    Returns:
        The positional arguments. The program exits with the usage line on an invalid
        command line (status ``EXIT_USAGE``) and on ``--help`` (status 0).

    Examples:
        >>> values = flags.FlagValues()
        >>> _ = flags.DEFINE_bool("check", False, "Check.", flag_values=values)
        >>> parse_flags(values, ["tool", "--check", "file"], "Give a file.")
        ['file']
        >>> values.check
        True
    """
    flags.DEFINE_bool("help", False, "Show this help.", flag_values=values)
    try:
        rest = values(argv)[1:]
    except flags.Error as error:
        print(f"{error}\n{usage}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    if values.help:
        print(f"{usage}\n{values.get_help()}")
        sys.exit(0)
    return rest
