"""The program ``pistachiowell-ctl``."""

import functools
import json
import sys

import anyio
from absl import app, flags
from loguru import logger

from pistachiowell.core.errors import PistachiowellError
from pistachiowell.ctl.command import (
    EXIT_USAGE,
    Context,
    exit_code,
    find_command,
    load_commands,
)
from pistachiowell.schema.generated.settings import CtlSettings
from pistachiowell.schema.settings import read_settings

DEFAULT_SETTINGS = "pistachiowell-ctl.yaml"

_SETTINGS = flags.DEFINE_string(
    "settings", DEFAULT_SETTINGS, "Path of the YAML settings file."
)
_JSON = flags.DEFINE_bool("json", False, "Print JSON.")
_VERBOSE = flags.DEFINE_bool("verbose", False, "Log the calls to standard error.")


def help_text(commands):
    """Returns the list of commands with their examples.

    Args:
        commands: ``Command`` by name.
    """
    lines = ["Usage: pistachiowell-ctl [--settings FILE] [--json] COMMAND ...", ""]
    for name in sorted(commands):
        entry = commands[name]
        lines.append(f"  {entry.usage}")
        lines.append(f"      {entry.summary}")
        lines.append(f"      Example: pistachiowell-ctl {entry.example}")
    return "\n".join(lines)


async def execute(words, context):
    """Runs one command line.

    Args:
        words: Positional words.
        context: The ``Context``.

    Returns:
        The ``Result``.
    """
    load_commands()
    found, args = find_command(words)
    return await found.run(context, args)


async def _run_with_store(words, settings):
    context = Context(settings, flags.FLAGS)
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


def _main(argv, commands):
    words = argv[1:]
    logger.remove()
    if _VERBOSE.value:
        logger.add(sys.stderr, level="DEBUG")
    if not words or words == ["help"]:
        print(help_text(commands))
        sys.exit(0 if words else EXIT_USAGE)
    try:
        found, _ = find_command(words)
        settings = None
        if found.name != "validate":
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


def _parse_flags(argv):
    flags.FLAGS.set_gnu_getopt(True)
    return flags.FLAGS(argv)


def run():
    """Starts the tool from the command line."""
    commands = load_commands()
    try:
        argv = _parse_flags(sys.argv)
    except flags.Error as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    app.run(
        functools.partial(_main, commands=commands),
        argv=argv[:1],
        flags_parser=lambda _: argv,
    )


if __name__ == "__main__":
    run()
