"""Sends one call to all processes of the fleet."""

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
class ProcessReply:
    """Reply of one process.

    Attributes:
        name: Name of the process, or its address if only that is known.
        reply: The reply message; None if there was none of the expected class.
    """

    name: str
    reply: object


async def call_all_processes(context, message, reply_class):
    """Sends a call to every process of the fleet and collects the replies.

    Args:
        context: The ``Context``.
        message: Instance of a message class.
        reply_class: Class of the expected reply; any other reply counts as none.

    Returns:
        A list of ``ProcessReply``.
    """

    async def call_process(process):
        name, host, port = process
        try:
            reply = await context.call(host, port, message)
        except (PistachiowellError, ExceptionGroup):
            reply = None
        return ProcessReply(name, reply if isinstance(reply, reply_class) else None)

    return await gather(call_process, await _selected_processes(context))


async def _selected_processes(context):
    addresses = context.flags.process
    if not addresses:
        return await list_processes(context.store)
    return [_parse_address(address) for address in addresses]


def _parse_address(text):
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise InvalidRequest(f"{text!r} is not HOST:PORT.")
    return text, host, int(port)
