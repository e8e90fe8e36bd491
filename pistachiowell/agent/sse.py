"""Server-sent events of a model engine, and the token usage in its answers."""

import json
import re

from pistachiowell.core.errors import AnswerBroken
from pistachiowell.engines import MAX_EVENT_BYTES

END_OF_EVENT = b"\n\n"
DATA_PREFIX = b"data:"
DONE = b"[DONE]"
# More would be no count; links carry no larger integers.
MAX_TOKENS = 2**53

_USAGE_OBJECT = re.compile(rb'"usage"\s*:\s*\{')


class UsageReader:
    r"""Forwards an event stream and reads the token usage from it.

    Args:
        include_usage: Whether the caller asked for the usage event; otherwise it
            is removed from the forwarded stream.

    Attributes:
        prompt_tokens: Tokens of the prompt; 0 until the engine reports the usage.
        completion_tokens: Tokens generated; until the engine reports the usage, the
            number of events with a part of the answer.
        done: Whether the final ``[DONE]`` event has arrived.

    Examples:
        >>> reader = UsageReader(False)
        >>> usage = b'data: {"choices": [], "usage": {"prompt_tokens": 2, '
        >>> reader.feed(usage + b'"completion_tokens": 3}}\n\ndata: [DONE]\n\n')
        b'data: [DONE]\n\n'
        >>> reader.prompt_tokens, reader.completion_tokens, reader.done
        (2, 3, True)
    """

    __slots__ = (
        "_buffer",
        "_include_usage",
        "completion_tokens",
        "done",
        "prompt_tokens",
    )

    def __init__(self, include_usage):
        self._include_usage = include_usage
        self._buffer = b""
        self.prompt_tokens = 0
        self.completion_tokens = 0
        self.done = False

    def feed(self, data):
        """Processes bytes from the engine and returns the bytes to forward.

        Raises:
            AnswerBroken: An event does not end within ``MAX_EVENT_BYTES``.
        """
        # A line end may arrive in two parts.
        text = (self._buffer + data).replace(b"\r\n", b"\n")
        events = text.split(END_OF_EVENT)
        self._buffer = events.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise AnswerBroken(f"An event exceeds {MAX_EVENT_BYTES} bytes.")
        forwarded = [event for event in events if self._process_event(event)]
        return b"".join(event + END_OF_EVENT for event in forwarded)

    def _process_event(self, event):
        if not event.startswith(DATA_PREFIX):
            return True
        payload = event[len(DATA_PREFIX) :].strip()
        if payload == DONE:
            self.done = True
            return True
        # Decoding every event would cost more than all its other processing together.
        has_usage = _USAGE_OBJECT.search(payload)
        document = _decode_object(payload) if has_usage else {}
        usage = _usage_of(document)
        if usage is None:
            self.completion_tokens += 1
            return True
        self.prompt_tokens, self.completion_tokens = usage
        return self._include_usage or bool(document.get("choices"))


def usage_of_document(data):
    """Returns the token usage in a complete answer.

    Args:
        data: The body as bytes.

    Returns:
        A pair of prompt and completion tokens; zeros if the body has no usage, or one
        that is no number of tokens.

    Examples:
        >>> usage_of_document(b'{"usage": {"prompt_tokens": 1}}')
        (1, 0)
        >>> usage_of_document(b'{"usage": {"prompt_tokens": -1}}')
        (0, 0)
    """
    return _usage_of(_decode_object(data)) or (0, 0)


def _decode_object(data):
    try:
        document = json.loads(data)
    except (ValueError, RecursionError):
        return {}
    return document if isinstance(document, dict) else {}


def _usage_of(document):
    """Returns a pair of prompt and completion tokens; None without proper ones."""
    usage = document.get("usage")
    if not usage or not isinstance(usage, dict):
        return None
    counts = usage.get("prompt_tokens", 0), usage.get("completion_tokens", 0)
    return counts if all(map(_is_count, counts)) else None


def _is_count(value):
    return type(value) is int and 0 <= value <= MAX_TOKENS
