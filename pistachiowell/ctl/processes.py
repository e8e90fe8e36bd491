"""Asks all processes of the fleet one question."""

from dataclasses import dataclass

from absl import flags

from pistachiowell.core.errors import InvalidRequest, PistachiowellError
from pistachiowell.ctl.command import FLAGS, gather
from pistachiowell.ctl.revision_coverage import list_processes

flags.DEFINE_list(
    "process",
    [],
    "status, timeline: ask these HOST:PORT addresses and not those in the store.",
    flag_values=FLAGS,
)


@dataclass(frozen=True, slots=True)
class Answer:
    """What one process answered.

    Attributes:
        name: Name of the process, or its address if only that is known.
        reply: The reply message; None if the process did not answer.
    """

    name: str
    reply: object


async def ask_all(context, message, reply_class):
    """Asks every process of the fleet.

    Args:
        context: The ``Context``.
        message: The call.
        reply_class: Class of the reply; another reply counts as none.

    Returns:
        A list of ``Answer``.
    """

    async def ask(process):
        name, host, port = process
        try:
            reply = await context.call(host, port, message)
        except (PistachiowellError, ExceptionGroup):
            reply = None
        return Answer(name, reply if isinstance(reply, reply_class) else None)

    return await gather(ask, await _processes(context))


async def _processes(context):
    addresses = context.flags.process
    if not addresses:
        return await list_processes(context.store)
    return [_parse_address(address) for address in addresses]


def _parse_address(text):
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise InvalidRequest(f"{text!r} is no HOST:PORT.")
    return text, host, int(port)
