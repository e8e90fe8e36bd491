"""Command-line start of the long-running programs."""

import sys

import anyio
from absl import flags

from pistachiowell.core.commandline import EXIT_USAGE, parse_flags
from pistachiowell.core.errors import SettingsInvalid
from pistachiowell.core.logs import configure_logs
from pistachiowell.schema.settings import read_settings

_USAGE = "Usage: --settings FILE [--check]"


def run_program(settings_class, serve):
    """Reads the settings and runs the main function of a program.

    Args:
        settings_class: Generated settings class.
        serve: Async function that receives the settings and runs until the process
            must end.
    """
    settings = _read_command_line(settings_class)
    configure_logs(settings)
    anyio.run(serve, settings)


def _read_command_line(settings_class):
    values = flags.FlagValues()
    define = {"flag_values": values}
    flags.DEFINE_string("settings", None, "YAML settings file.", **define)
    flags.DEFINE_bool("check", False, "Check the settings and exit.", **define)
    rest = parse_flags(values, sys.argv, _USAGE)
    if rest or not values.settings:
        print(_USAGE, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        settings = read_settings(values.settings, settings_class)
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    if values.check:
        print(f"{values.settings}: valid.")
        sys.exit(0)
    return settings
