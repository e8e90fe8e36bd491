"""Start of the long-running programs from the command line."""

import functools
import signal
import sys

import anyio
from absl import app, flags

from pistachiowell.core.errors import SettingsInvalid
from pistachiowell.core.logs import configure_logs
from pistachiowell.schema.settings import read_settings

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the YAML settings file.")
_CHECK = flags.DEFINE_bool("check", False, "Check the settings file and exit.")

EXIT_SETTINGS = 2


def run_program(settings_class, serve):
    """Reads the settings and runs a program's main function.

    Args:
        settings_class: Generated settings class.
        serve: Async function that is given the settings and runs until the
            process shall end.
    """
    app.run(functools.partial(_main, settings_class, serve))


def _main(settings_class, serve, argv):
    if len(argv) > 1 or not _SETTINGS.value:
        print("Usage: give --settings FILE [--check].", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    try:
        settings = read_settings(_SETTINGS.value, settings_class)
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if _CHECK.value:
        print(f"{_SETTINGS.value}: valid.")
        return
    configure_logs(settings)
    anyio.run(serve, settings)


async def wait_for_signal():
    """Waits for SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
