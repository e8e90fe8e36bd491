"""The request that an operator asks about, as the query string of a page."""

import re
from dataclasses import dataclass
from urllib.parse import parse_qsl

from pistachiowell.core.errors import InvalidRequest

MAX_QUERY_BYTES = 4_096
MAX_PARTS = 64
MAX_TOKENS = 10**9
MAX_DEADLINE_S = 86_400.0
MAX_RANK = 1_000

_COUNT = re.compile(r"[0-9]{1,10}")


@dataclass(frozen=True, slots=True)
class WhereQuestion:
    """A request that is not sent.

    Attributes:
        path: Path and query of the request; empty if the route is named.
        route: Name of the route; empty if the path is given.
        host: Value of the Host header; empty if the path belongs to one route only.
        method: HTTP method.
        account: Name of the client account; empty for none.
        key: The caller's id of the request; empty for none.
        prompt_tokens: Tokens of the prompt; None for a request without one.
        output_tokens: Upper bound of the tokens of the answer.
        parts: Pairs of id and tokens of the parts of the prompt.
        deadline_s: Seconds that the caller waits; None for the timeout of the route.
        rank: Rank of the request; None for that of its account or route.
        fingerprint: Fingerprint from the log; empty for that of a request without body.
    """

    path: str = ""
    route: str = ""
    host: str = ""
    method: str = "GET"
    account: str = ""
    key: str = ""
    prompt_tokens: int | None = None
    output_tokens: int = 0
    parts: tuple = ()
    deadline_s: float | None = None
    rank: int | None = None
    fingerprint: str = ""


def read_question(query):
    """Decodes the query string of a question.

    Args:
        query: The query string as bytes.

    Returns:
        A ``WhereQuestion``.

    Raises:
        InvalidRequest: It is too long, or a parameter is unknown or has no proper
            value.

    Examples:
        >>> question = read_question(b"path=/chat/x&account=acme&prefix=a:10,b:2")
        >>> question.path, question.parts
        ('/chat/x', (('a', 10), ('b', 2)))
    """
    if len(query) > MAX_QUERY_BYTES:
        raise InvalidRequest(f"The question exceeds {MAX_QUERY_BYTES} bytes.")
    try:
        pairs = parse_qsl(
            query.decode("ascii"),
            keep_blank_values=True,
            max_num_fields=2 * len(_READERS),
        )
    except ValueError as error:
        raise InvalidRequest("The question is no query string.") from error
    values = {}
    for name, text in pairs:
        reader = _READERS.get(name)
        if reader is None:
            known = ", ".join(_READERS)
            raise InvalidRequest(f"Parameter {name!r} is not known; use {known}.")
        field, read = reader
        values[field] = read(name, text)
    if bool(values.get("path")) == bool(values.get("route")):
        raise InvalidRequest("Give either a path or a route.")
    return WhereQuestion(**values)


def _text(name, text):
    del name
    return text


def _count(largest):
    def read(name, text):
        if not _COUNT.fullmatch(text) or int(text) > largest:
            raise InvalidRequest(f"{name} is no number from 0 to {largest}.")
        return int(text)

    return read


def _seconds(name, text):
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0.0 <= seconds <= MAX_DEADLINE_S:
        raise InvalidRequest(f"{name} is no number of seconds.")
    return seconds


def _parts(name, text):
    items = [item for item in text.split(",") if item]
    if len(items) > MAX_PARTS:
        raise InvalidRequest(f"{name} has more than {MAX_PARTS} parts.")
    parts = []
    for item in items:
        part_id, _, tokens = item.rpartition(":")
        if not part_id:
            raise InvalidRequest(f"{name} has a part that is not ID:TOKENS.")
        parts.append((part_id, _count(MAX_TOKENS)(name, tokens)))
    return tuple(parts)


# Field of the question and function of name and text, by name of the parameter.
_READERS = {
    "path": ("path", _text),
    "route": ("route", _text),
    "host": ("host", _text),
    "method": ("method", _text),
    "account": ("account", _text),
    "key": ("key", _text),
    "prompt_tokens": ("prompt_tokens", _count(MAX_TOKENS)),
    "output_tokens": ("output_tokens", _count(MAX_TOKENS)),
    "prefix": ("parts", _parts),
    "deadline_s": ("deadline_s", _seconds),
    "rank": ("rank", _count(MAX_RANK)),
    "fingerprint": ("fingerprint", _text),
}
