"""Entry point of the program ``pistachiowell-ctl``."""

import json
import sys

import anyio
from absl import flags
from loguru import logger

from pistachiowell.core.commandline import EXIT_USAGE, parse_flags
from pistachiowell.core.errors import PistachiowellError
from pistachiowell.ctl.command import (
    FLAGS,
    Context,
    exit_code,
    find_command,
    load_commands,
)
from pistachiowell.schema.generated.settings import CtlSettings
from pistachiowell.schema.settings import read_settings

DEFAULT_SETTINGS = "pistachiowell-ctl.yaml"

_SETTINGS = flags.DEFINE_string(
    "settings", DEFAULT_SETTINGS, "Path of the YAML settings file.", flag_values=FLAGS
)
_JSON = flags.DEFINE_bool("json", False, "Print JSON.", flag_values=FLAGS)
_VERBOSE = flags.DEFINE_bool(
    "verbose", False, "Log the calls to standard error.", flag_values=FLAGS
)


def help_text(commands):
    """Returns the help text, which lists all commands with an example each.

    Args:
        commands: A mapping from names to ``Command``.
    """
    lines = ["Usage: pistachiowell-ctl [--settings FILE] [--json] COMMAND ...", ""]
    for name in sorted(commands):
        entry = commands[name]
        lines.append(f"  {entry.usage}")
        lines.append(f"      {entry.summary}")
        lines.append(f"      Example: pistachiowell-ctl {entry.example}")
    return "\n".join(lines)


async def execute(words, context):
    """Runs the command that a command line names.

    Args:
        words: Positional words of the command line.
        context: The ``Context``.

    Returns:
        The ``Result``.

    Raises:
        PistachiowellError: There is no such command, or it failed.
    """
    load_commands()
    found, args = find_command(words)
    return await found.run(context, args)


async def _run_with_store(words, settings):
    context = Context(settings, FLAGS)
    try:
        return await execute(words, context)
    finally:
        await context.store.aclose()


def _print_error(error):
    if _JSON.value:
        document = {
            "code": str(error.code),
            "message": error.message,
            "remedy": error.remedy,
        }
        print(json.dumps({"error": document}))
    else:
        print(error, file=sys.stderr)


def _main(words, commands):
    logger.remove()
    if _VERBOSE.value:
        logger.add(sys.stderr, level="DEBUG")
    if not words or words == ["help"]:
        print(help_text(commands))
        sys.exit(0 if words else EXIT_USAGE)
    try:
        found, _ = find_command(words)
        settings = None
        if found.needs_fleet:
            settings = read_settings(_SETTINGS.value, CtlSettings)
        result = anyio.run(_run, words, settings)
    except PistachiowellError as error:
        _print_error(error)
        sys.exit(exit_code(error))
    if _JSON.value:
        print(json.dumps(result.document))
    elif result.text:
        print(result.text)
    sys.exit(result.exit_code)


async def _run(words, settings):
    if settings is None:
        found, args = find_command(words)
        return await found.run(None, args)
    return await _run_with_store(words, settings)


def run():
    """Runs the program with the arguments of the process and exits."""
    commands = load_commands()
    FLAGS.set_gnu_getopt(True)
    words = parse_flags(FLAGS, sys.argv, help_text(commands))
    _main(words, commands)


if __name__ == "__main__":
    run()
