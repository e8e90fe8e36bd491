"""Registry of the commands of ``pistachiowell-ctl``.

A command is an async function in a module of ``pistachiowell.ctl.commands``; the
program imports all modules there. It receives the ``Context`` and the positional
arguments and returns a ``Result``; it fails by raising a ``PistachiowellError``::

    @command("get", usage="get [KIND [NAME]]", example="get route chat")
    async def get(context, args):
        '''Prints rows of the table.'''
        ...
        return Result(document={"rows": rows}, text=yaml_text)

The first line of the docstring is the help text. Flags of one command are defined
in its module by ``flags.DEFINE_...(..., flag_values=FLAGS)`` and read from
``context.flags``. ``FLAGS`` is separate from the global flags of ``absl``, so that the
flags of the other programs do not apply here.
"""

import datetime
import importlib
import pkgutil
from dataclasses import dataclass

import anyio
from absl import flags

from pistachiowell.core.clock import HybridClock
from pistachiowell.core.errors import InvalidRequest
from pistachiowell.core.ids import new_id
from pistachiowell.schema.generated.messages_requests import Hello
from pistachiowell.store.http import HttpStore
from pistachiowell.store.table_writer import TableWriter
from pistachiowell.wire import Handlers, LinkTls, connect

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REJECTED = 3
EXIT_CONFLICT = 4
EXIT_UNAVAILABLE = 5

_EXIT_BY_CODE = {
    "row_invalid": EXIT_REJECTED,
    "settings_invalid": EXIT_USAGE,
    "invalid_request": EXIT_USAGE,
    "row_conflict": EXIT_CONFLICT,
    "store_conflict": EXIT_CONFLICT,
    "store_unavailable": EXIT_UNAVAILABLE,
    "store_throttled": EXIT_UNAVAILABLE,
    "store_answer_lost": EXIT_UNAVAILABLE,
    "outcome_unresolved": EXIT_UNAVAILABLE,
}

FLAGS = flags.FlagValues()

flags.DEFINE_string(
    "account",
    "",
    "timeline, where: name of the client account.",
    flag_values=FLAGS,
)

_COMMANDS = {}


@dataclass(frozen=True, slots=True)
class Result:
    """Output and exit code of a command.

    Attributes:
        document: JSON document that is printed with ``--json``.
        text: Text that is printed otherwise.
        exit_code: Exit code of the process.
    """

    document: object
    text: str
    exit_code: int = EXIT_OK


@dataclass(frozen=True, slots=True)
class Command:
    """A registered command.

    Attributes:
        name: First words of the command line, such as ``move start``.
        usage: Command line with its arguments and flags, without the program's name.
        example: An example command line without the program's name.
        run: The async function that implements the command.
        needs_fleet: Whether the command needs the settings and the store.
    """

    name: str
    usage: str
    example: str
    run: object
    needs_fleet: bool = True

    @property
    def summary(self):
        """First line of the function's docstring."""
        return (self.run.__doc__ or "").strip().splitlines()[0]


class Context:
    """Settings, flags and store access of one run of a command.

    Args:
        settings: The ``CtlSettings``.
        flags: The parsed ``absl`` flag values.
        store: The platform's store; None for an ``HttpStore`` at the ``store_url`` of
            the settings.
    """

    __slots__ = ("_flags", "_settings", "_store", "_writer")

    def __init__(self, settings, flags, store=None):
        self._settings = settings
        self._flags = flags
        self._store = HttpStore(settings.store_url) if store is None else store
        self._writer = TableWriter(self._store, settings.retry_timeout_s)

    @property
    def settings(self):
        """The ``CtlSettings``."""
        return self._settings

    @property
    def flags(self):
        """The parsed flag values."""
        return self._flags

    @property
    def store(self):
        """The platform's store."""
        return self._store

    @property
    def writer(self):
        """The ``TableWriter``."""
        return self._writer

    async def call(self, host, port, message, timeout_s=2.0):
        """Sends one call to a process of the fleet and returns its reply.

        Args:
            host: IP address.
            port: TCP port for links from other processes.
            message: Instance of a message class.
            timeout_s: Maximum wait in seconds, for the connection and for the reply
                each.

        Raises:
            LinkLost: The connection failed or was closed.
            LinkTimeout: No reply arrived in time.
        """
        hello = Hello("ctl", self._settings.operator, new_id("ctl"), "")
        # Messages carry this clock's stamp, and a receiver moves its clock ahead to it.
        # The operator's machine may have a wrong clock, so a zero clock is sent; it
        # cannot move the clocks of the fleet.
        clock = HybridClock(lambda: 0)
        async with connect(
            host,
            port,
            hello,
            Handlers(),
            clock,
            tls=LinkTls.from_settings(self._settings),
            timeout_s=timeout_s,
        ) as link:
            return await link.call(message, timeout_s)


def now_utc():
    """Returns the current time in UTC."""
    return datetime.datetime.now(datetime.UTC)


def time_text(moment):
    """Returns a time in ISO 8601, UTC.

    Examples:
        >>> time_text(datetime.datetime(2026, 1, 2, tzinfo=datetime.timezone.utc))
        '2026-01-02T00:00:00Z'
    """
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def command(name, *, usage, example, needs_fleet=True):
    """Registers a command.

    Args:
        name: First words of the command line.
        usage: Command line with its arguments and flags.
        example: An example command line without the program's name.
        needs_fleet: Whether the command needs the settings and the store.

    Returns:
        A decorator that registers an async function and returns it.
    """

    def decorate(function):
        _COMMANDS[name] = Command(name, usage, example, function, needs_fleet)
        return function

    return decorate


def load_commands():
    """Imports all command modules.

    Returns:
        The registry, a mapping from names to ``Command``.
    """
    package = importlib.import_module("pistachiowell.ctl.commands")
    for module in pkgutil.iter_modules(package.__path__):
        if not module.ispkg:
            importlib.import_module(f"{package.__name__}.{module.name}")
    return _COMMANDS


def find_command(words):
    """Finds the command that a command line names.

    Args:
        words: Positional words of the command line.

    Returns:
        ``(command, args)``.

    Raises:
        InvalidRequest: There is no such command.
    """
    for count in (2, 1):
        found = _COMMANDS.get(" ".join(words[:count]))
        if found is not None and len(words) >= count:
            return found, words[count:]
    names = ", ".join(sorted(_COMMANDS))
    raise InvalidRequest(
        f"Unknown command {' '.join(words[:2])!r}; commands are {names}."
    )


def exit_code(error):
    """Returns the exit code of the program for an error.

    Args:
        error: A ``PistachiowellError``.
    """
    return _EXIT_BY_CODE.get(str(error.code), EXIT_FAILED)


async def gather(function, items, limit=32):
    """Calls an async function concurrently for all items.

    Args:
        function: Async function of one item.
        items: The items.
        limit: Maximum number of concurrent calls.

    Returns:
        The results in the order of the items.
    """
    results = [None] * len(items)
    limiter = anyio.CapacityLimiter(limit)

    async def run(index, item):
        async with limiter:
            results[index] = await function(item)

    async with anyio.create_task_group() as group:
        for index, item in enumerate(items):
            group.start_soon(run, index, item)
    return results
