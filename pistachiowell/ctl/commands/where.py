"""The command ``where``."""

from urllib.parse import urlencode

import anyio
import httpcore
import msgspec
from absl import flags

from pistachiowell.core.errors import (
    InvalidRequest,
    NotFound,
    error_class,
)
from pistachiowell.ctl.command import FLAGS, Result, command
from pistachiowell.ctl.table_files import require_args
from pistachiowell.ctl.where_text import report_text
from pistachiowell.gateway.data import PlacementReport

USAGE = (
    "where PATH|ROUTE --gateway HOST:PORT [--account NAME] [--host HOST]"
    " [--method M] [--key KEY] [--prompt_tokens N] [--output_tokens N]"
    " [--prefix ID:TOKENS,...] [--deadline_s S] [--rank N] [--fingerprint F]"
)
EXAMPLE = "where /chat/x --gateway 10.0.0.1:9100 --account acme --prompt_tokens 900"
TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 1_048_576
# Flags whose values the gateway gets under the same name, beside ``account``.
PARAMETERS = {
    "host": "value of the Host header, if several hosts have the path.",
    "method": "HTTP method.",
    "key": "the caller's id of the request.",
    "prompt_tokens": "tokens of the prompt.",
    "output_tokens": "upper bound of the tokens of the answer.",
    "prefix": "parts of the prompt as ID:TOKENS,...; the last one is not shared.",
    "deadline_s": "seconds that the caller waits.",
    "rank": "rank of the request; 0 is the most urgent.",
    "fingerprint": "fingerprint of the request, from the log of a gateway.",
}

flags.DEFINE_string(
    "gateway",
    "",
    "where: HOST:PORT of the metrics address of the gateway to ask.",
    flag_values=FLAGS,
)
for _name, _help in PARAMETERS.items():
    flags.DEFINE_string(_name, "", f"where: {_help}", flag_values=FLAGS)


class GatewayUnreachable(NotFound):
    """No gateway answers at the address."""

    remedy = "Check metrics_host and metrics_port in the settings of the gateway."


@command("where", usage=USAGE, example=EXAMPLE, needs_fleet=False)
async def where(context, args):
    """Shows where a gateway would send a request now, and why, without sending it."""
    del context
    require_args(args, 1, 1, USAGE)
    values = {name: FLAGS[name].value for name in ("account", *PARAMETERS)}
    target = {"path" if args[0].startswith("/") else "route": args[0]}
    query = {name: value for name, value in values.items() if value}
    report = await ask_gateway(FLAGS["gateway"].value, {**target, **query})
    return Result(msgspec.to_builtins(report), report_text(report))


async def ask_gateway(address, parameters):
    """Asks a gateway where a request would go.

    Args:
        address: Metrics address of the gateway as ``HOST:PORT``.
        parameters: Parameters of the question by name.

    Returns:
        The ``PlacementReport``.

    Raises:
        InvalidRequest: The address or the question is not valid.
        GatewayUnreachable: No gateway answers there.
        PistachiowellError: The gateway knows no such route or account, or is asked too
            often.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise InvalidRequest(f"Give --gateway HOST:PORT; {address!r} is no address.")
    url = f"http://{address}/where?{urlencode(parameters)}"
    status, body = await _fetch(url, address)
    try:
        if status == 200:
            return msgspec.json.decode(body, type=PlacementReport)
        error = msgspec.json.decode(body)["error"]
        code, message = error["code"], error["message"]
    except (msgspec.MsgspecError, KeyError, TypeError) as error:
        raise GatewayUnreachable(
            f"{address} is no gateway that answers this question (status {status})."
        ) from error
    raise error_class(code)(message)


async def _fetch(url, address):
    try:
        with anyio.fail_after(TIMEOUT_S):
            async with (
                httpcore.AsyncConnectionPool() as pool,
                pool.stream("GET", url) as answer,
            ):
                return answer.status, await _read(answer, address)
    except (OSError, httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise GatewayUnreachable(f"No gateway answers at {address}.") from error


async def _read(answer, address):
    body = b""
    async for part in answer.aiter_stream():
        body += part
        if len(body) > MAX_ANSWER_BYTES:
            raise GatewayUnreachable(f"The answer of {address} is too long.")
    return body
